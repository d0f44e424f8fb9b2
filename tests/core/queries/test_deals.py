"""Test that hosts which see different members keep under a target's cap."""

import collections
from typing import Any, Final

import pytest
from hypothesis import given, settings, strategies

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import dispatch, states
from fuchsiahaven.core.targets import grants, messages, seats, snapshots
from tests.core import rig

CAP: Final = 5
TARGETS: Final = tuple(
    configurations.Target(f't{number}', f'10.0.0.{number}:1', rig.CENTRE)
    for number in range(6)
)
GROUP: Final = configurations.Group(
    'web', (('kind', 'web'),), TARGETS, connections=CAP
)
SHARDS: Final = [
    [target.name for target in TARGETS[number::2]] for number in (0, 1)
]
CONFIGURATION: Final = configurations.Configuration(
    1,
    (GROUP,),
    (configurations.Selector('all', 'price-check', 'kind=web'),),
    (configurations.RequestClass('price-check'),),
)


class Centre:
    """Drive several hosts of one data centre, each with its own news."""

    def __init__(self) -> None:
        self.now = 0.0
        self.hosts: dict[str, states.State] = {}
        self.seats: dict[str, dict[str, int]] = {}

    def begin(self, host: str) -> None:
        """Start a host whose targets have told what they hold."""
        self.hosts[host] = states.start(rig.CENTRE, float)
        self.seats[host] = {}
        self.tell(host, messages.Configured(CONFIGURATION))
        for number, target in enumerate(TARGETS):
            holding = snapshots.Holding(1, number % 2, 2, *HALVES[number % 2])
            health = messages.Health(
                target.name, rig.LIVE, 1.0, 1, rig.LOAD, (holding,)
            )
            self.tell(host, messages.Probed(target.name, health))

    def end(self, host: str) -> None:
        """Let a host end; its connections end with it."""
        self.hosts.pop(host, None)
        self.seats.pop(host, None)

    def tell(self, host: str, event: messages.Event) -> None:
        """Let one event happen at one host."""
        state, actions = dispatch.handle(self.hosts[host], event, self.now)
        self.hosts[host] = state
        for action in actions:
            if isinstance(action, messages.Allot):
                self.seats[host][action.target.name] = action.seats

    def pass_time(self, seconds: float) -> None:
        """Let time pass in small steps, and check the caps at each."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for host in self.hosts:
                self.tell(host, messages.Ticked())
            assert max(self.load().values(), default=0) <= CAP

    def load(self) -> 'collections.Counter[str]':
        """Count the seats in use at each target."""
        load: collections.Counter[str] = collections.Counter()
        for row in self.seats.values():
            load.update(row)
        return load


HALVES: Final = ((0, 32768), (32768, 65536))
#: With one host more, the reserve would be given up for the hosts left short
#: and a target may have to refuse a connection while a host joins.
NAMES: Final = tuple('abcdef')
STEP_S: Final = 0.5
#: Who joins or leaves, and how late each host hears of it.
CHANGES: Final = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(NAMES),
        strategies.lists(
            strategies.integers(0, int(grants.SETTLE_S / STEP_S) - 1),
            min_size=len(NAMES),
            max_size=len(NAMES),
        ),
    ),
    max_size=4,
)


@given(strategies.sets(strategies.sampled_from(NAMES)), CHANGES)
@settings(max_examples=60)
def test_news_that_travels_slowly_keeps_targets_under_their_cap(
    members: set[str], changes: list[tuple[str, list[int]]]
) -> None:
    """Take no seat before its former holder has had time to give it up.

    Symptom: targets close connections whenever a host joins or leaves.
    Sequence: a member more; some hosts hear of it at once and use their new
    seats; others, who hear of it seconds later, still use the same ones.
    Cause: each host counts on its own view of the deal.
    """
    centre = Centre()
    for member in sorted(members):
        centre.begin(member)
    hear_all(centre, members, [0] * len(NAMES))
    centre.pass_time(2 * grants.SETTLE_S)
    for name, delays in changes:
        members ^= {name}
        if name in members:
            centre.begin(name)
            centre.tell(name, messages.MembersChanged((name,), name))
        else:
            centre.end(name)
        hear_all(centre, members, delays)
        # The next change comes when this one has settled.
        centre.pass_time(2 * grants.SETTLE_S)
        dealt = seats.deal(members, SHARDS, CAP)
        used = {host: drop_none(row) for host, row in centre.seats.items()}
        assert used == {host: drop_none(row) for host, row in dealt.items()}


def drop_none(row: seats.Row) -> seats.Row:
    """Leave out the targets without a seat."""
    return {target: count for target, count in row.items() if count}


def hear_all(centre: Centre, members: set[str], delays: list[int]) -> None:
    """Let each member hear of all members after its own delay."""
    named = tuple(sorted(members))
    changed = centre.now
    for delay, host in sorted(zip(delays, NAMES, strict=True)):
        if host in members:
            centre.pass_time(changed + delay * STEP_S - centre.now)
            centre.tell(host, messages.MembersChanged(named, host))


def test_a_change_that_moves_no_seat_deals_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Deal a group again only for what its deal depends on.

    Symptom: with thousands of targets each change of a label costs a host
    half a second of processor time. Sequence: an operator changes a label;
    every host deals the seats of all groups anew and finds them the same.
    Cause: any new configuration counted as a reason to deal.
    """
    centre = Centre()
    centre.begin('a')
    centre.tell('a', messages.MembersChanged(NAMES * 2, 'a'))
    centre.pass_time(2 * grants.SETTLE_S)
    dealt: list[object] = []
    real = seats.deal

    def count(*given: Any) -> object:
        dealt.append(given)
        return real(*given)

    monkeypatch.setattr(seats, 'deal', count)
    labelled = GROUP._replace(labels=(('kind', 'web'), ('tier', 'gold')))
    smaller = labelled._replace(targets=TARGETS[1:])
    costs = []
    for revision, group in enumerate((labelled, smaller), 2):
        configuration = CONFIGURATION._replace(
            revision=revision, groups=(group,)
        )
        centre.tell('a', messages.Configured(configuration))
        centre.pass_time(2 * grants.SETTLE_S)
        costs.append(len(dealt))
    assert costs == [0, len(SHARDS)]
