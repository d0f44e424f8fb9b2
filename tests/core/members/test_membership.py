"""Test which hosts of a data centre are live, over a faulty network."""

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from fuchsiahaven.core.members import member_messages as messages
from fuchsiahaven.core.members import member_tables as tables
from fuchsiahaven.core.members import members, membership
from tests.core import networks

CONVERGENCE_TIMEOUT_S = 90.0


def wait_for_convergence(network: networks.Network) -> None:
    """Run the network until all hosts agree; fail if they do not in time."""
    deadline = network.now + CONVERGENCE_TIMEOUT_S
    while not network.has_converged() and network.now < deadline:
        network.run(1)
    live_by_host = {name: state.live for name, state in network.hosts.items()}
    assert network.has_converged(), live_by_host


def list_accused(network: networks.Network) -> set[str]:
    """List the members that any host reported as suspect or dead."""
    return {
        report.name
        for _, _, report in network.reports
        if report.text.endswith(('suspect', 'dead'))
    }


def start_network(count: int) -> networks.Network:
    """Start hosts and run them until they have found each other."""
    network = networks.Network(count)
    wait_for_convergence(network)
    network.run(5)
    network.reports.clear()
    return network


@pytest.mark.parametrize('count', [2, 8, 30])
def test_members_killed_together_are_declared_dead(count: int) -> None:
    """Declare hosts dead that were killed together.

    Guards against connections of targets that stay allocated to dead hosts.
    A rack fails and with it a third of the members, helpers among them, and
    dead helpers confirm nothing.
    """
    network = start_network(count)
    for number in range(max(1, count // 3)):
        network.kill(f'h{count - 1 - number}')
    wait_for_convergence(network)


def test_one_way_cut_makes_no_suspect() -> None:
    """Bypass a cut in one direction between two hosts.

    Guards against a healthy host that is declared dead: h1 cannot open
    connections to h2, while h2 reaches h1, and the failed probes of one host
    are taken for proof.
    """
    network = start_network(8)
    network.is_cut = lambda one, other: (one, other) == ('h1', 'h2')
    network.run(60)
    assert not list_accused(network)


def test_unreachable_member_is_not_suspected_repeatedly() -> None:
    """Treat a member as alive that sends messages but cannot be reached.

    Guards against news of one member that fill all messages while its port
    is cut off: h5 reaches all hosts and refutes, no host reaches h5, and the
    next probe makes it suspect again because its own messages do not count.
    """
    network = start_network(8)
    network.is_cut = lambda one, other: other == 'h5'
    network.run(100)
    reporters = [
        host for _, host, report in network.reports if report.name == 'h5'
    ]
    assert reporters.count('h0') < 40
    assert 'h5' in network.hosts['h0'].live


def test_exchange_without_a_reported_end_expires() -> None:
    """Declare a member dead although the end of an exchange is not reported.

    Guards against a dead member that stays live for ever: an error in a
    thread of the edge loses the end of a helper's exchange, and the indirect
    probe waits for it without a limit.
    """
    network = start_network(3)
    network.dropped_relays = 2
    network.kill('h2')
    wait_for_convergence(network)
    assert not network.dropped_relays


def test_lossy_network_makes_no_member_dead() -> None:
    """Give suspects time to refute.

    Guards against connections that are reallocated all the time on a bad
    network: a third of the messages is lost, so probes and helpers sometimes
    fail together, and members are declared dead without time to refute.
    """
    network = start_network(12)
    network.loss_fraction = 0.3
    network.run(60)
    texts = [report.text for _, _, report in network.reports]
    assert 0 < texts.count('member is suspect') < 400
    assert 'member is dead' not in texts


def test_isolated_host_makes_no_suspects_at_first() -> None:
    """Make no member suspect while no helper answers either.

    Guards against a host that, after a short failure of its own network,
    reports all other members as suspect, because it takes the silence of all
    hosts for their failure.
    """
    network = start_network(8)
    network.is_cut = lambda one, other: 'h3' in {one, other}
    network.run(8)
    reporters = {host for _, host, _ in network.reports}
    assert 'h3' not in reporters


def test_sender_gets_its_own_entry_despite_much_news() -> None:
    """Send a member its own entry however much other news there is.

    Guards against a healthy host that stays dead while a rack is replaced:
    more members change than one message holds, and the sender is dead in the
    table of the receiver. A member can refute only the reports it receives.
    """
    state = start_network(20).hosts['h0']
    sender = state.table.entries['h7'].member
    table = tables.set_member(
        state.table, sender._replace(standing=members.Standing.DEAD), 0
    )
    for number in range(10, 20):
        other = table.entries[f'h{number}'].member
        table = tables.set_member(table, other._replace(incarnation=9), 0)
    gossip = messages.Gossip(sender, networks.DATA_CENTRE, state.stamp, '')
    # Its own entry was sent so often that other news come first.
    table = table._replace(sends_left={**table.sends_left, 'h7': 1})
    _, actions = membership.handle_event(
        state._replace(table=table),
        messages.RequestReceived(1, gossip),
        0,
        float,
    )
    replies = [it for it in actions if isinstance(it, messages.Respond)]
    assert members.Standing.DEAD in {
        it.standing for it in replies[0].gossip.news
    }


@pytest.mark.parametrize('pause_s', [3, 60, 1000])
def test_paused_host_makes_no_suspects_after_the_pause(pause_s: float) -> None:
    """Let a host detect its own pause.

    Guards against a paused host that has healthy hosts declared dead: h3 is
    paused with probes under way, resumes, and finds them all overdue. Probes
    that fail during a pause are no evidence against other members.
    """
    network = start_network(8)
    network.frozen.add('h3')
    network.run(pause_s)
    network.frozen.clear()
    wait_for_convergence(network)
    network.run(20)
    assert list_accused(network) <= {'h3'}


def test_both_halves_merge_after_a_cut() -> None:
    """Merge two halves again after each declared the other dead.

    Guards against halves that stay separate for ever after a cut: two halves
    cannot reach each other for five minutes, then the network recovers. Dead
    members are not probed, so no message would reach the other half.
    """
    network = start_network(8)
    half = {'h0', 'h1', 'h2', 'h3'}
    network.is_cut = lambda one, other: (one in half) != (other in half)
    network.run(300)
    assert network.hosts['h0'].live == tuple(sorted(half))
    network.is_cut = lambda one, other: False
    wait_for_convergence(network)


def test_stale_news_does_not_bring_back_a_member_that_left() -> None:
    """Keep a member removed although a resumed host still lists it.

    Guards against connections allocated to a host that left: h3 is paused,
    h5 leaves, h3 resumes and reports h5 as alive, and stale reports are
    merged without regard to their order.
    """
    network = start_network(8)
    network.frozen.add('h3')
    network.send('h5', messages.LeaveRequested())
    network.run(1)
    assert 'h5' not in network.hosts['h0'].staying
    network.send('h5', messages.ServingEnded())
    network.run(0.5)
    network.kill('h5')
    network.run(4)
    assert 'h5' not in network.hosts['h0'].live
    network.frozen.clear()
    stale = messages.Gossip(
        tables.get_own(network.hosts['h3'].table),
        networks.DATA_CENTRE,
        network.hosts['h0'].stamp,
        '',
        (members.Member('h5', 'h5', 1, members.Standing.ALIVE),),
    )
    network.send('h0', messages.RequestReceived(0, stale))
    for _ in range(40):
        network.run(0.25)
        assert 'h5' not in network.hosts['h0'].live
    wait_for_convergence(network)


@pytest.mark.parametrize('at_once', [True, False])
def test_all_hosts_replaced(at_once: bool) -> None:
    """Agree on the new hosts when all are replaced under the same names.

    Guards against new hosts that are taken for their dead predecessors: all
    hosts are killed, one after another or at once, and started again with
    the first incarnation, while others list a higher incarnation as dead.
    """
    network = start_network(8)
    for number in range(8):
        network.kill(f'h{number}')
        if not at_once:
            network.run(15)
            network.add(f'h{number}')
            wait_for_convergence(network)
    if at_once:
        for number in range(8):
            network.add(f'h{number}')
    wait_for_convergence(network)


def test_forged_reports_have_no_lasting_effect() -> None:
    """Recover from reports that all members are dead in high incarnations.

    Guards against a faulty member that removes all others for good. It sends
    reports of death with incarnations slightly and far above the current
    ones, and hundreds of members that do not exist. Without a bound the
    report with the highest incarnation takes precedence for ever.
    """
    network = start_network(4)
    state = network.hosts['h0']
    dead = members.Standing.DEAD
    sender = tables.get_own(network.hosts['h1'].table)
    for name in ('h0', 'h1', 'h2', 'h3'):
        for incarnation in (
            5,
            members.MAX_INCARNATION_INCREASE,
            members.MAX_INCARNATION,
        ):
            forged = members.Member(name, name, incarnation, dead)
            gossip = messages.Gossip(
                sender, networks.DATA_CENTRE, state.stamp, '', (forged,)
            )
            network.send('h0', messages.RequestReceived(0, gossip))
    wait_for_convergence(network)
    unknown_members = tuple(
        members.Member(f'x{number}', '1', 1, members.Standing.ALIVE)
        for number in range(tables.MAX_MEMBERS)
    )
    table, _ = tables.merge_reports(state.table, unknown_members, network.now)
    assert len(table.entries) == tables.MAX_MEMBERS


def test_probing_continues_after_the_clock_jumps_back() -> None:
    """Continue probing after the monotonic clock of a moved host jumps back."""
    network = start_network(3)
    state = network.hosts['h0']
    start = network.now - 500
    request_count = 0
    for tick in range(40):
        state, actions = membership.handle_event(
            state,
            messages.Tick(),
            start + tick * networks.TICK_INTERVAL_S,
            lambda: 0.5,
        )
        request_count += sum(
            isinstance(it, messages.SendRequest) for it in actions
        )
    assert request_count >= 9


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Kill, add, freeze and cut off hosts; in the end all agree."""

    def __init__(self) -> None:
        """Start five hosts."""
        super().__init__()
        self.network = start_network(5)
        self.names = [f'h{number}' for number in range(5)]

    @stateful.rule(name=st.integers(2, 4), seconds=st.integers(0, 20))
    def kill(self, name: int, seconds: int) -> None:
        """Kill a host that is not a seed."""
        self.network.hosts.pop(f'h{name}', None)
        self.network.frozen.discard(f'h{name}')
        self.network.run(seconds)

    @stateful.rule(name=st.integers(2, 4))
    def restart(self, name: int) -> None:
        """Start a killed host again."""
        if f'h{name}' not in self.network.hosts:
            self.network.add(f'h{name}')

    @stateful.rule(name=st.integers(0, 4), seconds=st.integers(0, 30))
    def freeze(self, name: int, seconds: int) -> None:
        """Pause a host."""
        self.network.frozen.add(f'h{name}')
        self.network.run(seconds)
        self.network.frozen.discard(f'h{name}')

    @stateful.rule(
        one=st.integers(0, 4),
        other=st.integers(0, 4),
        loss_fraction=st.floats(0, 0.4),
        seconds=st.integers(0, 60),
    )
    def cut(
        self, one: int, other: int, loss_fraction: float, seconds: int
    ) -> None:
        """Cut one direction, or cut off one host if both ends are the same."""
        self.network.loss_fraction = loss_fraction
        ends = (f'h{one}', f'h{other}')
        self.network.is_cut = lambda a, b: (
            ends[0] in {a, b} if one == other else (a, b) == ends
        )
        self.network.run(seconds)

    def teardown(self) -> None:
        """Restore the network and check that all hosts agree."""
        self.network.loss_fraction = 0
        self.network.is_cut = lambda one, other: False
        wait_for_convergence(self.network)


MembershipMachine.TestCase.settings = settings(
    max_examples=30, stateful_step_count=12, deadline=None
)
TestMembership = MembershipMachine.TestCase
