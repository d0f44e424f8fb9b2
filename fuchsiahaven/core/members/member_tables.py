"""Keep the table of members, the news to send and the partners."""

import math
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.core.members import members

#: Each host gossips with its successor in this many rings. Few partners need
#: few open connections, and hosts that each gossip with three random partners
#: spread news about as fast as hosts that gossip with any member.
RING_COUNT: Final = 3
#: News are sent this often, times the binary logarithm of the member count.
RETRANSMIT_FACTOR: Final = 2
MAX_NEWS: Final = 8
#: Bounds of one message and of one table, whatever other hosts send.
MAX_DIFFERING_ENTRIES: Final = 40
MAX_MEMBERS: Final = 1000


class Entry(NamedTuple):
    """Hold one member, the time of its standing and of its last message.

    Both times are seconds on this host's monotonic clock.
    """

    member: members.Member
    standing_since: float
    last_heard_at: float


class Table(NamedTuple):
    """Hold all members, this host included.

    `sends_left` counts how often each member is still to be sent as news;
    `partners` are the members that this host probes in turn.
    """

    own_name: str
    entries: Mapping[str, Entry]
    sends_left: Mapping[str, int]
    digest: members.TableDigest
    partners: tuple[str, ...] = ()


def build_table(own: members.Member, now: float) -> Table:
    """Build a table that holds this host alone."""
    entries = {own.name: Entry(own, now, now)}
    return Table(
        own.name, entries, {own.name: 1}, members.compute_digest((own,))
    )


def get_own(table: Table) -> members.Member:
    """Return the entry of this host as it reports itself."""
    return table.entries[table.own_name].member


def list_present(table: Table) -> tuple[members.Member, ...]:
    """List the members that take part, this host included, by name."""
    listed = (entry.member for entry in table.entries.values())
    return tuple(sorted(member for member in listed if not member.is_gone))


def find_member(table: Table, name: str) -> members.Member | None:
    """Find a member by name."""
    entry = table.entries.get(name)
    return entry.member if entry else None


def set_member(table: Table, member: members.Member, now: float) -> Table:
    """Set a member and schedule sending it as news."""
    previous = table.entries.get(member.name)
    last_heard_at = previous.last_heard_at if previous else now
    entries = {**table.entries, member.name: Entry(member, now, last_heard_at)}
    present = sum(not entry.member.is_gone for entry in entries.values())
    send_count = RETRANSMIT_FACTOR * math.ceil(math.log2(present + 1)) + 1
    sends_left = {**table.sends_left, member.name: send_count}
    return _update_derived(
        table._replace(entries=entries, sends_left=sends_left)
    )


def merge_reports(
    table: Table, reports: Iterable[members.Member], now: float
) -> tuple[Table, tuple[members.Member, ...]]:
    """Merge newer reports into the table, and return them.

    Reports about this host itself are ignored. An older report schedules
    sending the newer one again, because its sender has missed that.
    """
    accepted = []
    for report in reports:
        current = find_member(table, report.name)
        if _is_ignored(table, report, current):
            continue
        if current is None or members.is_newer(report, current):
            table = set_member(table, report, now)
            accepted.append(report)
        else:
            table = schedule_send(table, report.name)
    return table, tuple(accepted)


def schedule_send(table: Table, name: str) -> Table:
    """Schedule sending a member at least once more."""
    remaining = max(1, table.sends_left.get(name, 0))
    return table._replace(sends_left={**table.sends_left, name: remaining})


def record_sign_of_life(table: Table, name: str, now: float) -> Table:
    """Record a sign of life of a member."""
    entry = table.entries.get(name)
    if entry is None:
        return table
    entries = {**table.entries, name: entry._replace(last_heard_at=now)}
    return table._replace(entries=entries)


def choose_news(table: Table) -> tuple[Table, tuple[members.Member, ...]]:
    """Choose the news of the next message, and count the sending.

    News that were sent least often come first.
    """
    names = sorted(
        (name for name in table.sends_left if name in table.entries),
        key=lambda name: (-table.sends_left[name], name),
    )[:MAX_NEWS]
    chosen = tuple(table.entries[name].member for name in names)
    remaining = {
        name: count - (name in names)
        for name, count in table.sends_left.items()
    }
    sends_left = {name: count for name, count in remaining.items() if count > 0}
    return table._replace(sends_left=sends_left), chosen


def list_differing(
    table: Table, buckets: tuple[str, ...]
) -> tuple[members.Member, ...]:
    """List the members of the buckets in which the other table differs."""
    own_buckets = table.digest.buckets
    differing = {
        bucket
        for bucket, (own, other) in enumerate(
            zip(own_buckets, buckets, strict=True)
        )
        if own != other
    }
    listed = (entry.member for entry in table.entries.values())
    selected = (
        it for it in listed if members.compute_bucket(it.name) in differing
    )
    return tuple(selected)[:MAX_DIFFERING_ENTRIES]


def reset_standing_since(table: Table, name: str, now: float) -> Table:
    """Restart the time since which a member has its standing."""
    entry = table.entries[name]._replace(standing_since=now)
    return table._replace(entries={**table.entries, name: entry})


def shift_times(table: Table, gap_s: float) -> Table:
    """Shift all times by the length of a pause of this host."""
    entries = {
        name: entry._replace(
            standing_since=entry.standing_since + gap_s,
            last_heard_at=entry.last_heard_at + gap_s,
        )
        for name, entry in table.entries.items()
    }
    return table._replace(entries=entries)


def expire_gone(table: Table, now: float, forget_after_s: float) -> Table:
    """Remove members that have been gone for `forget_after_s`."""
    kept = {
        name: entry
        for name, entry in table.entries.items()
        if not entry.member.is_gone
        or now - entry.standing_since < forget_after_s
    }
    if len(kept) == len(table.entries):
        return table
    sends_left = {
        name: count for name, count in table.sends_left.items() if name in kept
    }
    return table._replace(entries=kept, sends_left=sends_left)


def _is_ignored(
    table: Table, report: members.Member, current: members.Member | None
) -> bool:
    if report.name == table.own_name or report == current:
        return True
    # Unknown members that are gone are of no use, and a faulty member must not
    # fill the memory with invented ones.
    is_full = len(table.entries) >= MAX_MEMBERS
    return current is None and (report.is_gone or is_full)


def _update_derived(table: Table) -> Table:
    present = list_present(table)
    names = tuple(member.name for member in present)
    partners: list[str] = []
    for ring in range(RING_COUNT):
        ranking = rendezvous.rank(f'ring {ring}', (*names, table.own_name))
        position = ranking.index(table.own_name)
        successors = (*ranking[position + 1 :], *ranking[:position])
        partners.extend(
            [name for name in successors if name not in partners][:1]
        )
    return table._replace(
        digest=members.compute_digest(present), partners=tuple(partners)
    )
