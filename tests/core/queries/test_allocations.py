"""Test that hosts that see different members stay within the maximum."""

import collections
from typing import Any, Final

import pytest
from hypothesis import given, settings, strategies

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import dispatch, states
from fuchsiahaven.core.targets import allocator, grants, messages, snapshots
from tests.core import rig

MAX_CONNECTIONS: Final = 5
TARGETS: Final = tuple(
    configurations.Target(f't{number}', f'10.0.0.{number}:1', rig.DATA_CENTRE)
    for number in range(6)
)
GROUP: Final = configurations.Group(
    'web', (('kind', 'web'),), TARGETS, connections=MAX_CONNECTIONS
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


class DataCentre:
    """Drive several hosts of one data centre, each with its own member list."""

    def __init__(self) -> None:
        self.now = 0.0
        self.hosts: dict[str, states.State] = {}
        self.connections: dict[str, dict[str, int]] = {}

    def start_host(self, host: str) -> None:
        """Start a host whose targets have reported their holdings."""
        self.hosts[host] = states.make_state(rig.DATA_CENTRE, float)
        self.connections[host] = {}
        self.handle(host, messages.ConfigurationReceived(CONFIGURATION))
        for number, target in enumerate(TARGETS):
            holding = snapshots.Holding(1, number % 2, 2, *RANGES[number % 2])
            health = messages.Health(
                target.name, rig.LIVE, 1.0, 1, rig.LOAD, (holding,)
            )
            self.handle(host, messages.TargetProbed(target.name, health))

    def stop_host(self, host: str) -> None:
        """Stop a host; its connections are closed."""
        self.hosts.pop(host, None)
        self.connections.pop(host, None)

    def handle(self, host: str, event: messages.Event) -> None:
        """Let one host handle one event."""
        state, actions = dispatch.handle_event(
            self.hosts[host], event, self.now
        )
        self.hosts[host] = state
        for action in actions:
            if isinstance(action, messages.LimitConnections):
                self.connections[host][action.target.name] = action.connections

    def pass_time(self, seconds: float) -> None:
        """Let time pass in small steps; check the maximum at each step."""
        end_at = self.now + seconds
        while self.now < end_at:
            self.now += STEP_S
            for host in self.hosts:
                self.handle(host, messages.Tick())
            assert (
                max(self.count_connections().values(), default=0)
                <= MAX_CONNECTIONS
            )

    def count_connections(self) -> 'collections.Counter[str]':
        """Count the connections in use at each target."""
        connections: collections.Counter[str] = collections.Counter()
        for allocation in self.connections.values():
            connections.update(allocation)
        return connections


RANGES: Final = ((0, 32768), (32768, 65536))
#: With one host more, the reserve would be released for hosts below their
#: quota, and a target might refuse a connection while a host joins.
NAMES: Final = tuple('abcdef')
STEP_S: Final = 0.5
#: Which host joins or leaves, and the steps until each host is notified.
CHANGES: Final = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(NAMES),
        strategies.lists(
            strategies.integers(0, int(grants.SETTLE_DELAY_S / STEP_S) - 1),
            min_size=len(NAMES),
            max_size=len(NAMES),
        ),
    ),
    max_size=4,
)


@given(strategies.sets(strategies.sampled_from(NAMES)), CHANGES)
@settings(max_examples=60)
def test_slow_member_changes_keep_targets_within_max_connections(
    members: set[str], changes: list[tuple[str, list[int]]]
) -> None:
    """A host waits to use a connection until its former holder gave it up.

    Guards against targets that close connections whenever a host joins or
    leaves: some hosts are notified at once and use their new connections, while
    others, notified seconds later, still use the same ones.
    """
    data_centre = DataCentre()
    for member in sorted(members):
        data_centre.start_host(member)
    update_members(data_centre, members, [0] * len(NAMES))
    data_centre.pass_time(2 * grants.SETTLE_DELAY_S)
    for name, delays in changes:
        members ^= {name}
        if name in members:
            data_centre.start_host(name)
            data_centre.handle(name, messages.MembersChanged((name,), name))
        else:
            data_centre.stop_host(name)
        update_members(data_centre, members, delays)
        # The next change comes after the settle delay of this one.
        data_centre.pass_time(2 * grants.SETTLE_DELAY_S)
        expected = allocator.allocate(members, SHARDS, MAX_CONNECTIONS)
        actual = {
            host: drop_zeros(allocation)
            for host, allocation in data_centre.connections.items()
        }
        assert actual == {
            host: drop_zeros(allocation)
            for host, allocation in expected.items()
        }


def drop_zeros(allocation: allocator.Allocation) -> allocator.Allocation:
    """Leave out the targets without a connection."""
    return {target: count for target, count in allocation.items() if count}


def update_members(
    data_centre: DataCentre, members: set[str], delays: list[int]
) -> None:
    """Notify each member of all members after its own delay."""
    hosts = tuple(sorted(members))
    changed_at = data_centre.now
    for delay, host in sorted(zip(delays, NAMES, strict=True)):
        if host in members:
            data_centre.pass_time(changed_at + delay * STEP_S - data_centre.now)
            data_centre.handle(host, messages.MembersChanged(hosts, host))


def test_an_unrelated_change_allocates_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A group is allocated again only if its allocation inputs change.

    Guards against half a second of processor time on each host for each label
    change with thousands of targets: every new configuration makes the hosts
    allocate all groups again, with the same result.
    """
    data_centre = DataCentre()
    data_centre.start_host('a')
    data_centre.handle('a', messages.MembersChanged(NAMES * 2, 'a'))
    data_centre.pass_time(2 * grants.SETTLE_DELAY_S)
    calls: list[object] = []
    allocate = allocator.allocate

    def count_call(*arguments: Any) -> object:
        calls.append(arguments)
        return allocate(*arguments)

    monkeypatch.setattr(allocator, 'allocate', count_call)
    labelled = GROUP._replace(labels=(('kind', 'web'), ('tier', 'gold')))
    smaller = labelled._replace(targets=TARGETS[1:])
    call_counts = []
    for revision, group in enumerate((labelled, smaller), 2):
        configuration = CONFIGURATION._replace(
            revision=revision, groups=(group,)
        )
        data_centre.handle('a', messages.ConfigurationReceived(configuration))
        data_centre.pass_time(2 * grants.SETTLE_DELAY_S)
        call_counts.append(len(calls))
    assert call_counts == [0, len(SHARDS)]
