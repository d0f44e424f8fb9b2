"""Test any order of writes, restores, network cuts and polls of hosts."""

from collections.abc import Callable
from typing import Final

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.routing import store_model

HOSTS: Final = 3
TARGETS: Final = 3
#: Longer than any fact is kept or delayed.
SETTLE_S: Final = 40.0

numbers = st.integers(0, TARGETS - 1)
hosts = st.integers(0, HOSTS - 1)
reads = st.tuples(st.just('read'), hosts, st.booleans(), st.booleans())
polls = st.tuples(st.just('poll'), hosts, hosts)
durations = st.tuples(st.just('advance'), st.sampled_from((0.1, 0.7, 2.5)))
targets = st.tuples(st.sampled_from(('start', 'leave', 'end')), numbers)
restores = st.tuples(st.just('restore'), st.integers(0, 5), st.integers(1, 3))
steps = st.one_of(
    reads,
    polls,
    durations,
    targets,
    reads,
    polls,
    durations,
    targets,
    restores,
    st.tuples(st.just('version')),
    st.tuples(st.just('evacuate'), numbers),
    st.tuples(st.sampled_from(('cut', 'kill')), hosts),
)


class World:
    """Own a store and the hosts that follow it."""

    def __init__(self) -> None:
        """Start hosts that have read the store once."""
        self.store = store_model.Store()
        self._start_count = 0
        for number in range(TARGETS):
            self.store.start_target(number)
        self.hosts = [self._start() for _ in range(HOSTS)]
        for host in self.hosts:
            host.read(full=True, noticed_outage=False)
        self.steps: dict[str, Callable[..., None]] = {
            'version': self.store.change_version,
            'start': self.store.start_target,
            'leave': self.store.mark_leaving,
            'end': self.store.end_target,
            'evacuate': self.store.toggle_evacuation,
            'restore': self.store.restore,
            'advance': self.store.advance,
            'read': self._read,
            'poll': self._poll,
            'cut': self._toggle_cut,
            'kill': self._kill,
        }

    def settle(self) -> None:
        """Let the store recover and all hosts poll one that reads it."""
        first = self.hosts[0]
        for _ in range(int(SETTLE_S)):
            self.store.advance(1)
            first.read(full=False, noticed_outage=False)
            for host in self.hosts[1:]:
                host.poll(first)

    def _start(self) -> store_model.Host:
        self._start_count += 1
        return store_model.Host(self.store, self._start_count)

    def _read(self, host: int, full: bool, noticed_outage: bool) -> None:
        if not self.hosts[host].is_cut_off:
            self.hosts[host].read(full=full, noticed_outage=noticed_outage)

    def _poll(self, host: int, other: int) -> None:
        first, second = self.hosts[host], self.hosts[other]
        if first is not second and first.is_cut_off == second.is_cut_off:
            first.poll(second)

    def _toggle_cut(self, host: int) -> None:
        self.hosts[host].is_cut_off = not self.hosts[host].is_cut_off

    def _kill(self, host: int) -> None:
        self.hosts[host] = self._start()


@settings(max_examples=400)
@given(st.lists(steps, min_size=20, max_size=60))
def test_hosts_converge_to_the_store(
    history: list[tuple[object, ...]],
) -> None:
    """Guard against hosts that go back to, or keep, outdated facts.

    At each step no host goes back to a lower version, nor uses a start of a
    target after it was seen leaving. In the end all hosts hold what the store
    does.
    """
    world = World()
    for name, *arguments in history:
        world.steps[str(name)](*arguments)
    world.settle()
    for host in world.hosts:
        assert host.list_values() == world.store.wanted
