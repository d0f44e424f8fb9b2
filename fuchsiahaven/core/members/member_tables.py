"""Keep the table of members, the news to pass on and the partners."""

import math
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.core.members import members

#: Each host talks to its successor in so many rings. Few partners keep few
#: connections open, and hosts that each talk to three others at random spread
#: news about as fast as hosts that talk to anybody.
RINGS: Final = 3
#: How often one piece of news is sent, times the logarithm of the members.
RETELLINGS: Final = 2
MAX_NEWS: Final = 8
#: Bounds one message and one table, whatever members send.
MAX_ENTRIES: Final = 40
MAX_MEMBERS: Final = 1000


class Entry(NamedTuple):
    """Hold one member, since when it stands so and when it was heard.

    Both times are seconds on this host's monotonic clock.
    """

    member: members.Member
    since: float
    heard: float


class Table(NamedTuple):
    """Hold all members, this host included.

    `news` counts how often each member is still to be told; `partners` are
    the members that this host talks to in turn.
    """

    name: str
    entries: Mapping[str, Entry]
    news: Mapping[str, int]
    digest: members.Digest
    partners: tuple[str, ...] = ()


def build(own: members.Member, now: float) -> Table:
    """Start with this host alone."""
    entries = {own.name: Entry(own, now, now)}
    return Table(own.name, entries, {own.name: 1}, members.sum_up((own,)))


def read_own(table: Table) -> members.Member:
    """Return this host as it reports itself."""
    return table.entries[table.name].member


def list_present(table: Table) -> tuple[members.Member, ...]:
    """List the members that take part, this host included, by name."""
    found = (entry.member for entry in table.entries.values())
    return tuple(sorted(member for member in found if not member.gone))


def find(table: Table, name: str) -> members.Member | None:
    """Return a member, or None."""
    entry = table.entries.get(name)
    return entry.member if entry else None


def put(table: Table, member: members.Member, now: float) -> Table:
    """Set a member and have it passed on."""
    before = table.entries.get(member.name)
    heard = before.heard if before else now
    entries = {**table.entries, member.name: Entry(member, now, heard)}
    present = sum(not entry.member.gone for entry in entries.values())
    tellings = RETELLINGS * math.ceil(math.log2(present + 1)) + 1
    news = {**table.news, member.name: tellings}
    return _refresh(table._replace(entries=entries, news=news))


def merge(
    table: Table, reports: Iterable[members.Member], now: float
) -> tuple[Table, tuple[members.Member, ...]]:
    """Take newer reports in; give them back, and leave this host's alone.

    An older report is answered by telling the newer one again: whoever sent
    it missed that.
    """
    taken = []
    for report in reports:
        known = find(table, report.name)
        if _is_useless(table, report, known):
            continue
        if known is None or members.is_newer(report, known):
            table = put(table, report, now)
            taken.append(report)
        else:
            table = tell(table, report.name)
    return table, tuple(taken)


def tell(table: Table, name: str) -> Table:
    """Have a member passed on at least once more."""
    left = max(1, table.news.get(name, 0))
    return table._replace(news={**table.news, name: left})


def note_heard(table: Table, name: str, now: float) -> Table:
    """Note a sign of life."""
    entry = table.entries.get(name)
    if entry is None:
        return table
    entries = {**table.entries, name: entry._replace(heard=now)}
    return table._replace(entries=entries)


def choose_news(table: Table) -> tuple[Table, tuple[members.Member, ...]]:
    """Choose what to tell next, the least told first, and count it."""
    names = sorted(
        (name for name in table.news if name in table.entries),
        key=lambda name: (-table.news[name], name),
    )[:MAX_NEWS]
    chosen = tuple(table.entries[name].member for name in names)
    left = {name: count - (name in names) for name, count in table.news.items()}
    news = {name: count for name, count in left.items() if count > 0}
    return table._replace(news=news), chosen


def list_differing(
    table: Table, buckets: tuple[str, ...]
) -> tuple[members.Member, ...]:
    """List the members of the buckets in which another table differs."""
    ours = table.digest.buckets
    differing = {
        place
        for place, (one, other) in enumerate(zip(ours, buckets, strict=True))
        if one != other
    }
    found = (entry.member for entry in table.entries.values())
    listed = (it for it in found if members.find_bucket(it.name) in differing)
    return tuple(listed)[:MAX_ENTRIES]


def restart(table: Table, name: str, now: float) -> Table:
    """Begin the time anew that a member has stood as it does."""
    entry = table.entries[name]._replace(since=now)
    return table._replace(entries={**table.entries, name: entry})


def shift(table: Table, gap: float) -> Table:
    """Leave a pause of this host out of all times."""
    entries = {
        name: entry._replace(since=entry.since + gap, heard=entry.heard + gap)
        for name, entry in table.entries.items()
    }
    return table._replace(entries=entries)


def forget(table: Table, now: float, forget_s: float) -> Table:
    """Forget members that have been gone for long."""
    kept = {
        name: entry
        for name, entry in table.entries.items()
        if not entry.member.gone or now - entry.since < forget_s
    }
    if len(kept) == len(table.entries):
        return table
    news = {name: left for name, left in table.news.items() if name in kept}
    return table._replace(entries=kept, news=news)


def _is_useless(
    table: Table, report: members.Member, known: members.Member | None
) -> bool:
    if report.name == table.name or report == known:
        return True
    # Strangers that are gone are of no use, and a member that sends garbage
    # must not fill the memory.
    full = len(table.entries) >= MAX_MEMBERS
    return known is None and (report.gone or full)


def _refresh(table: Table) -> Table:
    present = list_present(table)
    names = tuple(member.name for member in present)
    partners: list[str] = []
    for ring in range(RINGS):
        order = rendezvous.rank(f'ring {ring}', (*names, table.name))
        place = order.index(table.name)
        rest = (*order[place + 1 :], *order[:place])
        partners.extend([name for name in rest if name not in partners][:1])
    return table._replace(
        digest=members.sum_up(present), partners=tuple(partners)
    )
