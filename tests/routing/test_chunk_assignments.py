"""Test how hosts share the cost of queries over many shards."""

import collections

from hypothesis import given, strategies

from fuchsiahaven.routing import (
    centre_health,
    chunk_assignments,
    configs,
    delegation_plans,
    deployments,
    events,
)
from tests.routing import router_rig

SHARDS = tuple(f'shard-{number:03}' for number in range(90))
GATHER = configs.Gather(SHARDS, 2, 0.9)
SEARCH = router_rig.make_route(GATHER)
NORTH = tuple(
    deployments.Host(f'north-{number}', f'10.0.2.{number}:1', 'north')
    for number in range(8)
)
SOUTH = tuple(
    deployments.Host(f'south-{number}', f'10.0.3.{number}:1', 'south')
    for number in range(8)
)


CENTRES = ('north', 'south', 'east', 'west', 'far')


def make_rig(hosts: tuple[deployments.Host, ...] = NORTH) -> router_rig.Rig:
    """Make one of several hosts with a near and a far target of each shard."""
    near = router_rig.make_instances(SHARDS, 1)
    far_pairs = router_rig.make_instances(SHARDS, 2, 'south')
    far = [one for one in far_pairs if one.name.endswith('-1')]
    rig = router_rig.Rig([SEARCH], [*near, *far])
    host_count = len(hosts) + 1
    rig.post(events.HostsChanged(host_count, (router_rig.HOST, *hosts)))
    return rig


def pop_delegates(rig: router_rig.Rig) -> list[events.Delegate]:
    """Remove and return the delegated requests since the last call."""
    delegates = [
        it for it in rig.other_actions if isinstance(it, events.Delegate)
    ]
    rig.other_actions = []
    return delegates


def test_delegates_a_wide_query_to_the_assigned_hosts() -> None:
    """Guard against a host of half a core that takes 65 ms for 90 shards.

    Six chunks of fifteen shards go to the assigned hosts. The host sends the
    chunks that are assigned to it itself.
    """
    rig = make_rig()
    rig.send_request()
    delegates = pop_delegates(rig)
    services = [it for one in delegates for it in one.delegated.services]
    services.extend(send.key.service for send in rig.pop_sent())
    assert sorted(services) == list(SHARDS)
    assert all(len(one.delegated.services) == 15 for one in delegates)
    assert len(delegates) >= 4


def test_all_hosts_compute_the_same_assignment() -> None:
    """Only two hosts of each data centre hold connections to a target."""
    chunk_key = chunk_assignments.ChunkKey('north', SHARDS[0])
    ranked = chunk_assignments.rank_hosts(chunk_key, [*NORTH, *SOUTH])
    assert {host.data_centre for host in ranked} == {'north'}
    reranked = chunk_assignments.rank_hosts(
        chunk_key, list(reversed([*NORTH, *SOUTH]))
    )
    assert ranked == reranked
    wide_services = frozenset(SHARDS)
    hosts = [*NORTH, *SOUTH]
    assert (
        chunk_assignments.count_sharers(SHARDS[0], wide_services, hosts, 16)
        == 4
    )
    assert (
        chunk_assignments.count_sharers('other', wide_services, hosts, 16) == 16
    )


def test_hedges_through_the_second_host_when_the_first_is_silent() -> None:
    """Guard against queries that each wait for a paused host.

    The first assigned host has not reported after half of the objective. The
    parts go to the second one, which has not been asked yet.
    """
    rig = make_rig()
    rig.send_request()
    first = pop_delegates(rig)
    rig.advance_time(0.06)
    second = pop_delegates(rig)
    by_services = {one.delegated.services[0]: one.helper for one in first}
    assert second
    for one in second:
        assert one.delegated.is_retry
        assert by_services.get(one.delegated.services[0]) != one.helper


def test_reassigns_only_the_chunks_of_a_removed_host() -> None:
    """The ranking of the other hosts stays the same."""
    for shard in SHARDS[::15]:
        chunk_key = chunk_assignments.ChunkKey('north', shard)
        before = chunk_assignments.rank_hosts(chunk_key, NORTH)
        after = chunk_assignments.rank_hosts(chunk_key, NORTH[1:])
        assert [it for it in before if it != NORTH[0]] == after


@given(strategies.integers(1, 120), strategies.integers(1, 6))
def test_shares_of_the_slack_add_up_to_at_most_one(
    host_count: int, centres: int
) -> None:
    """All hosts together stay within the slack, assigned or not."""
    centre_count = min(host_count, centres)
    assigned = chunk_assignments.count_slack_sharers(
        centre_count, host_count, assigned=True
    )
    others = chunk_assignments.count_slack_sharers(
        centre_count, host_count, assigned=False
    )
    assert (
        chunk_assignments.HOSTS_PER_CHUNK * centre_count / assigned
        + host_count / others
        <= 1.000001
    )


def make_far_rig(name: str = 'far-1') -> router_rig.Rig:
    """Make a host without near targets; two other data centres have some."""
    targets = [
        *router_rig.make_instances(SHARDS, 1),
        *[
            one._replace(name=f'{one.name}-south', id=f'{one.name}-south')
            for one in router_rig.make_instances(SHARDS, 1, 'south')
        ],
    ]
    rig = router_rig.Rig([SEARCH], targets)
    host = deployments.Host(name, '10.0.9.1:1', 'far')
    neighbour = deployments.Host('far-9', '10.0.9.9:1', 'far')
    rig.router.host = host
    hosts = (host, neighbour, *NORTH, *SOUTH)
    rig.post(events.HostsChanged(len(hosts), hosts))
    return rig


def test_hosts_without_targets_spread_over_the_data_centres_with_them() -> None:
    """Guard against one of two data centres with targets doing most work.

    If all other hosts choose the largest data centre with the last name, its
    targets queue requests while the second replica of each shard is idle.
    """
    centre_counts = collections.Counter[str]()
    for number in range(40):
        rig = make_far_rig(f'far-{number}')
        rig.send_request()
        helpers = {one.helper.data_centre for one in pop_delegates(rig)}
        assert len(helpers) == 1
        centre_counts.update(helpers)
    assert min(centre_counts['north'], centre_counts['south']) >= 10


def test_gathers_far_parts_in_few_data_centres() -> None:
    """Guard against a third of all parts crossing data centres one by one.

    Each shard has its two targets in two of five data centres in turn, as in
    the largest deployment. The own data centre holds two fifths of the shards.
    Parts spread evenly over the others form groups of three, too small for a
    helper.
    """
    for number in range(8):
        rig = make_scattered_rig(f'north-{number}')
        rig.send_request()
        far = [
            it for it in pop_delegates(rig) if it.helper.data_centre != 'north'
        ]
        assert len({it.helper.data_centre for it in far}) <= 2
        # Of 54 far shards the data centre that covers most holds 36.
        assert sum(len(it.delegated.services) for it in far) >= 36


def make_scattered_rig(name: str) -> router_rig.Rig:
    """Make a host in one of five data centres with two fifths of the shards."""
    targets = [
        one._replace(data_centre=CENTRES[(position + number) % len(CENTRES)])
        for position, shard in enumerate(SHARDS)
        for number, one in enumerate(router_rig.make_instances([shard]))
    ]
    rig = router_rig.Rig([SEARCH], targets)
    rig.router.host = deployments.Host(name, '10.0.0.1:1', CENTRES[0])
    hosts = tuple(
        deployments.Host(
            f'{centre}-{number}', f'10.0.{position}.{number}:1', centre
        )
        for position, centre in enumerate(CENTRES)
        for number in range(8)
    )
    rig.post(events.HostsChanged(len(hosts), hosts))
    return rig


def test_hedges_go_to_the_data_centre_of_the_other_target() -> None:
    """Guard against hedges that are sent from far away and return too late.

    The assigned hosts of the own data centre, which has no targets, hold no
    connections to targets. Opening one takes 6 ms of the 30 ms that remain of a
    quick query.
    """
    rig = make_far_rig()
    rig.send_request()
    first = pop_delegates(rig)[0]
    pending_parts = tuple(
        events.MissingPart(service, _find_target(rig, service, first), True)
        for service in first.delegated.services[:2]
    )
    report = events.DelegationReport((), b'', pending_parts, (), is_last=False)
    rig.post(events.DelegationReportReceived(first.key, report))
    rig.advance_time(0)
    (second,) = pop_delegates(rig)
    assert second.delegated.services == first.delegated.services[:2]
    centres = {first.helper.data_centre, second.helper.data_centre}
    assert centres == {'north', 'south'}


def _find_target(
    rig: router_rig.Rig, service: str, delegate: events.Delegate
) -> str:
    centre = delegate.helper.data_centre
    targets = rig.router.directory.by_service[service]
    return next(one.name for one in targets if one.data_centre == centre)


class HelperRig:
    """Own a host that is assigned to a chunk with slow targets."""

    def __init__(self) -> None:
        """Start a host that knows the other hosts."""
        self.rig = make_rig()
        self._last_number = 100

    def handle_request(
        self, avoided_targets: tuple[str, ...] = ()
    ) -> list[events.SendAttempt]:
        """Handle a delegated request for one part; return what is sent."""
        self._last_number += 1
        now = self.rig.now
        request = events.Request(
            f'id-{self._last_number}', 'GET', '/', '', (), b'', now, now + 0.8
        )
        delegated = events.DelegatedRequest(
            request,
            'route',
            0.1,
            2,
            SHARDS[:1],
            now + 0.8,
            avoided_targets,
            counts_load=True,
            is_retry=bool(avoided_targets),
        )
        self.rig.post(
            events.DelegatedRequestReceived(self._last_number, delegated)
        )
        return self.rig.pop_sent()

    def pop_reports(self) -> list[events.DelegationReport]:
        """Remove and return the reports to the delegating host."""
        actions = [
            it
            for it in self.rig.other_actions
            if isinstance(it, events.SendDelegationReport)
        ]
        self.rig.other_actions = []
        return [action.report for action in actions]


def test_sends_a_retry_to_another_target_and_its_answer_at_once() -> None:
    """The delegating host has little time left, so no report is held back."""
    helper_rig = HelperRig()
    (first,) = helper_rig.handle_request()
    (second,) = helper_rig.handle_request((first.instance.name,))
    assert second.instance != first.instance
    helper_rig.rig.answer(second, b'x' * 16)
    assert b'x' * 16 in [report.body for report in helper_rig.pop_reports()]


def test_refuses_retries_beyond_its_share_of_the_slack() -> None:
    """Guard against a slow shard that never recovers from its extra load.

    Of a slack of 40 for all hosts, one of two assigned hosts in one data centre
    has a fraction of 0.3, less a margin. Beyond that and a fifth of its
    requests it sends nothing and reports that nothing arrived.
    """
    helper_rig = HelperRig()
    (first,) = helper_rig.handle_request()
    sent = [
        helper_rig.handle_request((first.instance.name,)) for _ in range(30)
    ]
    assert sum(1 for it in sent if it) == 10
    missing_parts = helper_rig.pop_reports()[-1].lost
    assert not any(part.may_have_arrived for part in missing_parts)


def test_a_pending_retry_makes_no_data_centre_silent() -> None:
    """Guard against one refusal in 200 requests on a deployment without faults.

    A query is answered while retried parts are still pending. Their data centre
    sends nothing more, because nothing else is requested there. If it counts as
    cut off after 0.3 s, the next query is refused, and its assigned hosts are
    left out as silent.
    """
    rig = make_far_rig()
    rig.send_request()
    first = pop_delegates(rig)
    for one in first:
        pending_parts = tuple(
            events.MissingPart(service, _find_target(rig, service, one), True)
            for service in one.delegated.services[:1]
        )
        parts = tuple(
            events.ReceivedPart(service, f'signed {service}')
            for service in one.delegated.services[1:]
        )
        report = events.DelegationReport(
            parts, b'', pending_parts, (), is_last=False
        )
        rig.post(events.DelegationReportReceived(one.key, report))
    rig.advance_time(0)
    assert len(pop_delegates(rig)) >= centre_health.MIN_SILENT_PEERS
    rig.advance_time(0.1)
    assert rig.pop_outcome()
    for _ in range(6):
        rig.advance_time(0.1)
        rig.post(events.ReviewDue())
    assert not rig.router.centre_health.list_silent()
    assert not any(
        isinstance(it, events.TargetStatusReport) for it in rig.other_actions
    )


def test_measures_the_latency_of_a_helper_by_its_first_report() -> None:
    """Guard against assigned hosts that are skipped although they are fast.

    If each later report of a request counts as an answer that took no time, the
    host looks silent after 25 ms of the 30 ms that it usually takes.
    """
    rig = make_far_rig()
    rig.send_request()
    one = pop_delegates(rig)[0]
    rig.advance_time(0.03)
    for service in one.delegated.services[:5]:
        part = events.ReceivedPart(service, f'signed {service}')
        report = events.DelegationReport((part,), b'', (), (), is_last=False)
        rig.post(events.DelegationReportReceived(one.key, report))
    health = rig.router.helper_health.get(one.helper.name)
    assert abs(health.stats.latency - 0.03) < 0.001


@given(
    strategies.dictionaries(
        strategies.text(max_size=3),
        strategies.sets(strategies.sampled_from(CENTRES), max_size=3),
        max_size=30,
    )
)
def test_ranks_data_centres_until_all_parts_are_covered(
    centres_by_part: dict[str, set[str]],
) -> None:
    """The own data centre is first; each later one covers more parts."""
    host = deployments.Host('host-1', '10.0.0.1:1', CENTRES[0])
    order = delegation_plans.rank_centres(host, centres_by_part)
    assert order[0] == host.data_centre
    assert len(set(order)) == len(order)
    assert all(
        set(order) & part_centres
        for part_centres in centres_by_part.values()
        if part_centres
    )
    uncovered = [
        part_centres
        for part_centres in centres_by_part.values()
        if part_centres
    ]
    for position, centre in enumerate(order):
        rest = [
            part_centres
            for part_centres in uncovered
            if centre not in part_centres
        ]
        assert not position or len(rest) < len(uncovered)
        uncovered = rest
