"""Test that changes reach all hosts and are never reverted, with faults."""

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from fuchsiahaven.core.configuration import configurations, patches, revisions
from fuchsiahaven.core.configuration import revision_messages as messages
from tests.core import revision_network

#: Every host checks the platform within this time.
MAX_CHECK_DELAY_S = 100.0
#: Every watch ends within this time, even without an answer.
MAX_WATCH_S = 11.0


def start(count: int = 9) -> revision_network.RevisionNetwork:
    """Start hosts and wait until they have the first revision."""
    network = revision_network.RevisionNetwork(count)
    network.run(5)
    assert network.list_revisions() == {1}
    return network


def find_watchers(network: revision_network.RevisionNetwork) -> tuple[str, ...]:
    """Return the hosts that watch the platform."""
    return next(iter(network.hosts.values())).ranking[:2]


def test_a_change_costs_each_host_one_message() -> None:
    """A change reaches every host at once, by one push to each of them."""
    network = start(30)
    network.pushes = 0
    network.platform.change('second')
    network.run(0.2)
    assert network.list_revisions() == {2}
    network.run(1)
    assert network.pushes <= 31


@pytest.mark.parametrize('dead', [1, 2, 5])
def test_dead_hosts_in_the_tree_are_bypassed(dead: int) -> None:
    """Guard against changes that reach part of a data centre late.

    Hosts die, the first watcher among them, and a change is accepted before
    gossip has detected it. Their descendants in the tree must get the push
    from others.
    """
    network = start(20)
    ranking = next(iter(network.hosts.values())).ranking
    for name in (ranking[0], *ranking[2 : dead + 1]):
        network.hosts.pop(name)
    network.platform.change('second')
    network.run(1)
    assert network.list_revisions() == {2}


def test_silent_watch_is_ended_and_the_change_found() -> None:
    """Guard against changes that take effect minutes late.

    A middlebox silently drops the connections of the watches, and a change is
    accepted. Without a timeout the watches would wait for ever.
    """
    # A long check interval, so that no check of another host finds the change.
    timings = revisions.Timings(check_interval_s=10_000)
    network = revision_network.RevisionNetwork(9, timings)
    network.run(5)
    network.platform.drops_watches = True
    network.run(1)
    network.platform.drops_watches = False
    network.platform.change('second')
    network.run(1)
    assert network.list_revisions() == {1}
    network.run(MAX_WATCH_S)
    assert network.list_revisions() == {2}


def test_checks_make_up_for_silent_watches() -> None:
    """Guard against changes that take effect minutes late.

    As above, but the platform's watches never answer again, so the checks of
    other hosts have to find the change.
    """
    network = start()
    network.platform.drops_watches = True
    network.platform.change('second')
    network.run(MAX_CHECK_DELAY_S)
    assert network.list_revisions() == {2}


def test_older_copy_is_reported_everywhere_and_followed_nowhere() -> None:
    """Guard against accepted changes that vanish after an outage.

    The platform is down for an hour, is restored from an old copy, and then
    accepts changes until its revision exceeds the one in force. Hosts must
    follow neither the old copy nor the higher revision.
    """
    network = start()
    for number in range(5):
        network.platform.change(f'change {number}')
        network.run(1)
    network.platform.down = True
    network.run(3600)
    network.platform.down = False
    network.platform.store_revision = 2
    network.platform.revision = 2
    network.platform.changes = network.platform.changes[:2]
    network.run(MAX_CHECK_DELAY_S)
    assert network.list_revisions() == {6}
    assert messages.Fault.PLATFORM_OLDER in network.list_faults()
    for number in range(6):
        network.platform.change(f'other {number}')
        network.run(1)
    assert network.list_revisions() == {6}
    assert messages.Fault.PLATFORM_FORKED in network.list_faults()


def test_fresh_host_starts_from_members_while_the_platform_is_down() -> None:
    """Guard against new hosts that refuse all searches during an outage.

    A host that is replaced while the platform is down has to get the
    configuration from other members.
    """
    network = start()
    network.platform.down = True
    for name in ('h3', 'h4', find_watchers(network)[0]):
        network.hosts.pop(name)
        network.run(1)
        network.add(name)
    network.run(10)
    assert network.list_revisions() == {1}


def test_all_hosts_replaced_at_once_while_the_platform_is_down() -> None:
    """Hosts report the outage and start to serve once the platform is back."""
    network = start()
    network.platform.down = True
    for name in tuple(network.hosts):
        network.hosts.pop(name)
    network.run(1)
    for number in range(9):
        network.add(f'h{number}')
    network.run(60)
    assert network.list_revisions() == {0}
    assert messages.Fault.PLATFORM_DOWN in network.list_faults()
    network.platform.down = False
    network.run(10)
    assert network.list_revisions() == {1}


def test_a_partitioned_host_catches_up() -> None:
    """Guard against an old configuration after a network partition.

    A host is cut off from members and platform during forty changes, which
    are more than members keep as patches, and then reconnected.
    """
    network = start()
    network.partitioned = {'h4'}
    for number in range(40):
        network.platform.change(f'change {number}')
        network.run(1)
    assert network.list_revisions() == {1, 41}
    network.partitioned = set()
    network.run(20)
    assert network.list_revisions() == {41}


def test_forged_revision_is_not_taken_from_one_member() -> None:
    """Guard against a forged configuration from one faulty host.

    The host pushes revision 1000 to all others and claims it in gossip. If
    any higher revision is accepted from any member, a configuration that no
    operator made is put into force, and no accepted change ever replaces it.
    """
    network = start()
    base = network.hosts['h0'].in_force
    forged = patches.stamp_configuration(configurations.Configuration(1000))
    patch = patches.diff(base, forged)
    ranking = network.hosts['h0'].ranking
    faulty = ranking[-1]
    updated = network.hosts[faulty]._replace(in_force=forged)
    network.hosts[faulty] = updated
    for _ in range(3):
        for name in ranking[:-1]:
            network.send(name, messages.PatchReceived(faulty, patch))
            network.send(name, messages.StampReceived(faulty, forged.stamp))
        network.run(30)
    network.hosts.pop(faulty)
    assert network.list_revisions() == {1}
    assert messages.Fault.UNVOUCHED in network.list_faults()
    network.platform.change('second')
    network.run(1)
    assert network.list_revisions() == {2}


class Spread(stateful.RuleBasedStateMachine):
    """Make changes and faults; in the end all hosts have the last revision."""

    def __init__(self) -> None:
        """Start seven hosts."""
        super().__init__()
        self.network = start(7)

    @stateful.rule(seconds=st.integers(0, 3))
    def change(self, seconds: int) -> None:
        """Accept a change."""
        self.network.platform.change(f'at {self.network.now}')
        self.network.run(seconds)

    @stateful.rule(
        down=st.booleans(), silent=st.booleans(), seconds=st.integers(0, 30)
    )
    def disturb(self, down: bool, silent: bool, seconds: int) -> None:
        """Change the faults of the platform."""
        self.network.platform.down = down
        self.network.platform.drops_watches = silent
        self.network.run(seconds)

    @stateful.rule(
        names=st.sets(st.integers(0, 6)),
        loss=st.floats(0, 0.5),
        seconds=st.integers(0, 30),
    )
    def cut(self, names: set[int], loss: float, seconds: int) -> None:
        """Cut hosts off from the platform and all other hosts."""
        self.network.partitioned = {f'h{number}' for number in names}
        self.network.loss_fraction = loss
        self.network.run(seconds)

    @stateful.rule(name=st.integers(0, 6), seconds=st.integers(0, 5))
    def replace(self, name: int, seconds: int) -> None:
        """Replace a host by a new one, which has nothing in force."""
        self.network.hosts.pop(f'h{name}', None)
        self.network.run(seconds)
        self.network.add(f'h{name}')

    def teardown(self) -> None:
        """End all faults and check that all hosts hold what was accepted."""
        network = self.network
        network.platform.down = False
        network.platform.drops_watches = False
        network.partitioned = set()
        network.loss_fraction = 0
        network.run(MAX_CHECK_DELAY_S)
        assert network.list_revisions() == {network.platform.revision}
        digests = {it.in_force.stamp for it in network.hosts.values()}
        assert len(digests) == 1


Spread.TestCase.settings = settings(
    max_examples=40, stateful_step_count=15, deadline=None
)
TestSpread = Spread.TestCase
