"""Check that changes reach all hosts and never go back, whatever fails."""

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from fuchsiahaven.core.configuration import configurations, patches, revisions
from fuchsiahaven.core.configuration import revision_messages as messages
from tests.core import deliveries

#: A check falls due within this time on every host.
CHECKED_S = 100.0
#: A watch ends within this time, whatever becomes of it.
WATCHED_S = 11.0


def start(count: int = 9) -> deliveries.Deliveries:
    """Start hosts and let them find the first revision."""
    world = deliveries.Deliveries(count)
    world.run(5)
    assert world.list_revisions() == {1}
    return world


def find_watchers(world: deliveries.Deliveries) -> tuple[str, ...]:
    """Name the hosts that watch."""
    return next(iter(world.hosts.values())).order[:2]


def test_a_change_costs_each_host_one_message() -> None:
    """Bring a change everywhere at once, by one push to each other host."""
    world = start(30)
    world.pushes = 0
    world.platform.change('second')
    world.run(0.2)
    assert world.list_revisions() == {2}
    world.run(1)
    assert world.pushes <= 31


@pytest.mark.parametrize('dead', [1, 2, 5])
def test_dead_hosts_in_the_tree_are_gone_around(dead: int) -> None:
    """Serve those below a host that died unnoticed.

    Symptom: a part of the data centre gets a change late. Sequence: hosts
    die, the first watcher among them; a change is accepted before gossip
    has noticed. Cause: whoever stands below them in the tree hears nothing.
    """
    world = start(20)
    order = next(iter(world.hosts.values())).order
    for name in (order[0], *order[2 : dead + 1]):
        world.hosts.pop(name)
    world.platform.change('second')
    world.run(1)
    assert world.list_revisions() == {2}


def test_silent_watch_is_ended_and_the_change_found() -> None:
    """Find a change although all watches have gone silent.

    Symptom: operators' changes take hold minutes late. Sequence: the
    connections of the watches are dropped by something in between without
    a word; a change is accepted. Cause: a wait without a bound.
    """
    # The checks of other hosts would find it too, in their time.
    rules = revisions.Rules(check_s=10_000)
    world = deliveries.Deliveries(9, rules)
    world.run(5)
    world.platform.silent = True
    world.run(1)
    world.platform.silent = False
    world.platform.change('second')
    world.run(1)
    assert world.list_revisions() == {1}
    world.run(WATCHED_S)
    assert world.list_revisions() == {2}


def test_silent_watch_is_made_up_for_by_checks() -> None:
    """Find a change by the checks of other hosts while watches stay silent.

    Symptom and sequence as above, but the platform's watches never answer
    again. Cause: only one way for a change to come in.
    """
    world = start()
    world.platform.silent = True
    world.platform.change('second')
    world.run(CHECKED_S)
    assert world.list_revisions() == {2}


def test_older_copy_is_reported_everywhere_and_followed_nowhere() -> None:
    """Keep the revision in force when the platform returns with an old one.

    Symptom: accepted changes vanish after an outage. Sequence: down for an
    hour, restored from a copy, then changed by operators until its numbers
    pass ours. Cause: "take what the platform holds", or "take the higher
    number".
    """
    world = start()
    for number in range(5):
        world.platform.change(f'change {number}')
        world.run(1)
    world.platform.down = True
    world.run(3600)
    world.platform.down = False
    world.platform.number = 2
    world.platform.revision = 2
    world.platform.changes = world.platform.changes[:2]
    world.run(CHECKED_S)
    assert world.list_revisions() == {6}
    assert messages.Fault.PLATFORM_OLDER in world.list_faults()
    for number in range(6):
        world.platform.change(f'other {number}')
        world.run(1)
    assert world.list_revisions() == {6}
    assert messages.Fault.PLATFORM_FORKED in world.list_faults()


def test_fresh_host_starts_from_members_while_the_platform_is_down() -> None:
    """Give a new host what the others have, without the platform.

    Symptom: hosts replaced during an outage refuse all searches. Cause:
    only the platform is asked for the configuration.
    """
    world = start()
    world.platform.down = True
    for name in ('h3', 'h4', find_watchers(world)[0]):
        world.hosts.pop(name)
        world.run(1)
        world.add(name)
    world.run(10)
    assert world.list_revisions() == {1}


def test_all_hosts_replaced_at_once_while_the_platform_is_down() -> None:
    """Wait, honest about it, and serve when the platform is back."""
    world = start()
    world.platform.down = True
    for name in tuple(world.hosts):
        world.hosts.pop(name)
    world.run(1)
    for number in range(9):
        world.add(f'h{number}')
    world.run(60)
    assert world.list_revisions() == {0}
    assert messages.Fault.PLATFORM_DOWN in world.list_faults()
    world.platform.down = False
    world.run(10)
    assert world.list_revisions() == {1}


def test_host_that_is_cut_off_catches_up() -> None:
    """Bring a host up to date that missed more than members keep.

    Symptom: a host serves an old configuration after a cut. Sequence: cut
    off from members and platform, forty changes, healed.
    """
    world = start()
    world.cut = {'h4'}
    for number in range(40):
        world.platform.change(f'change {number}')
        world.run(1)
    assert world.list_revisions() == {1, 41}
    world.cut = set()
    world.run(20)
    assert world.list_revisions() == {41}


def test_forged_revision_is_not_taken_from_one_member() -> None:
    """Refuse a revision that one member alone vouches for.

    Symptom: one host that runs wild puts a configuration into force that no
    operator made, and as its number is high nothing accepted ever replaces
    it. Sequence: it pushes revision 1000 to all and tells of it in gossip.
    Cause: any higher number is taken from anybody.
    """
    world = start()
    base = world.hosts['h0'].in_force
    forged = patches.stamp(configurations.Configuration(1000))
    patch = patches.diff(base, forged)
    order = world.hosts['h0'].order
    wild = order[-1]
    taken = world.hosts[wild]._replace(in_force=forged)
    world.hosts[wild] = taken
    for _ in range(3):
        for name in order[:-1]:
            world.send(name, messages.Pushed(wild, patch))
            world.send(name, messages.Heard(wild, forged.stamp))
        world.run(30)
    world.hosts.pop(wild)
    assert world.list_revisions() == {1}
    assert messages.Fault.UNVOUCHED in world.list_faults()
    world.platform.change('second')
    world.run(1)
    assert world.list_revisions() == {2}


class Spread(stateful.RuleBasedStateMachine):
    """Change, cut, kill and restore; in the end all hold the highest."""

    def __init__(self) -> None:
        """Start seven hosts."""
        super().__init__()
        self.world = start(7)

    @stateful.rule(seconds=st.integers(0, 3))
    def change(self, seconds: int) -> None:
        """Accept a change."""
        self.world.platform.change(f'at {self.world.now}')
        self.world.run(seconds)

    @stateful.rule(
        down=st.booleans(), silent=st.booleans(), seconds=st.integers(0, 30)
    )
    def disturb(self, down: bool, silent: bool, seconds: int) -> None:
        """Change what is wrong with the platform."""
        self.world.platform.down = down
        self.world.platform.silent = silent
        self.world.run(seconds)

    @stateful.rule(
        names=st.sets(st.integers(0, 6)),
        loss=st.floats(0, 0.5),
        seconds=st.integers(0, 30),
    )
    def cut(self, names: set[int], loss: float, seconds: int) -> None:
        """Cut hosts off from all others and the platform."""
        self.world.cut = {f'h{number}' for number in names}
        self.world.loss = loss
        self.world.run(seconds)

    @stateful.rule(name=st.integers(0, 6), seconds=st.integers(0, 5))
    def replace(self, name: int, seconds: int) -> None:
        """Replace a host by a fresh one; the others keep what they have."""
        self.world.hosts.pop(f'h{name}', None)
        self.world.run(seconds)
        self.world.add(f'h{name}')

    def teardown(self) -> None:
        """Heal everything and demand that all hold what was accepted."""
        world = self.world
        world.platform.down = False
        world.platform.silent = False
        world.cut = set()
        world.loss = 0
        world.run(CHECKED_S)
        assert world.list_revisions() == {world.platform.revision}
        digests = {it.in_force.stamp for it in world.hosts.values()}
        assert len(digests) == 1


Spread.TestCase.settings = settings(
    max_examples=40, stateful_step_count=15, deadline=None
)
TestSpread = Spread.TestCase
