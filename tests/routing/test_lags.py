"""Test the lag of hosts, and how other hosts use it."""

import json

from hypothesis import given, strategies

from fuchsiahaven.routing import (
    chunk_assignments,
    configs,
    delegation_codecs,
    deployments,
    events,
    lags,
)
from tests.routing import router_rig

SHARDS = tuple(f'shard-{number:03}' for number in range(90))
SEARCH = router_rig.make_route(configs.Gather(SHARDS, 2, 0.9))
HOSTS = tuple(
    deployments.Host(f'host-{number}', f'10.0.2.{number}:1', 'north')
    for number in range(2, 10)
)
SECONDS = strategies.floats(0, 20)


def make_rig() -> router_rig.Rig:
    """Make a host among others of its data centre."""
    rig = router_rig.Rig([SEARCH], router_rig.make_instances(SHARDS, 1))
    rig.post(events.HostsChanged(len(HOSTS) + 1, (router_rig.HOST, *HOSTS)))
    return rig


def find_other_pair(rig: router_rig.Rig) -> tuple[deployments.Host, ...]:
    """Find two other hosts that are assigned to one chunk."""
    hosts = rig.router.centre_health.list_hosts('north')
    for shard in SHARDS[:: chunk_assignments.SHARDS_PER_CHUNK]:
        ranked = chunk_assignments.rank_hosts(
            chunk_assignments.ChunkKey('north', shard), hosts
        )
        pair = tuple(ranked[: chunk_assignments.HOSTS_PER_CHUNK])
        if router_rig.HOST not in pair:
            return pair
    raise AssertionError('this host is assigned to all chunks')


def count_delegated(rig: router_rig.Rig, name: str) -> int:
    """Send some requests; count how often a host gets parts of them."""
    count = 0
    for _ in range(40):
        rig.send_request()
        delegates = [
            it for it in rig.other_actions if isinstance(it, events.Delegate)
        ]
        rig.other_actions = []
        count += sum(it.helper.name == name for it in delegates)
        for delegate in delegates:
            report = events.DelegationReport((), b'', (), (), is_last=True)
            lag = rig.router.controls.lags.get_lag(
                delegate.helper.name, rig.now
            )
            rig.post(
                events.DelegationReportReceived(
                    delegate.key, report._replace(lag_s=lag)
                )
            )
    return count


def test_keeps_the_largest_lag_until_it_has_decayed() -> None:
    """Guard against a timer in time that hides a stall just before."""
    lag = lags.record_delay(lags.NO_LAG, 0.08, 1.0)
    lag = lags.record_delay(lag, 0.001, 1.01)
    assert lags.compute_reported(lag, 1.01) > 0.07
    assert lags.compute_reported(lag, 2.0) == 0.04
    assert lags.compute_reported(lag, 9.0) == 0


@given(SECONDS, SECONDS)
def test_hands_nothing_over_to_a_host_with_the_same_lag(
    first: float, second: float
) -> None:
    """Work would only move around if all hosts are behind."""
    fraction = lags.compute_handover(first, second)
    assert 0 <= fraction < 1
    assert lags.compute_handover(first, first) == 0
    assert not (fraction and lags.compute_handover(second, first))


def test_a_delegation_report_encodes_a_lag_only_if_there_is_one() -> None:
    """Hosts of the previous version ignore it; without lag it costs nothing."""
    report = events.DelegationReport((), b'', (), (), is_last=True)
    for lag, encoded_ms in ((0.0, None), (0.0004, None), (0.03, 30)):
        line = delegation_codecs.encode_report(report._replace(lag_s=lag))
        assert json.loads(line).get('lag') == encoded_ms
        decoded = delegation_codecs.decode_report(line)
        assert decoded.lag_s == (encoded_ms or 0) / 1000


def test_hosts_of_equal_capacity_measure_no_lag() -> None:
    """Deployments with one kind of host behave as before."""
    for capacity, expected in ((HOSTS[0].capacity, 0), (0.36, 0.5)):
        host_lags = lags.Lags()
        host_lags.update_hosts((*HOSTS, HOSTS[0]._replace(capacity=capacity)))
        host_lags.record_own(0.5, 1.0)
        assert host_lags.compute_own(1.0) == expected


def test_hands_work_of_a_lagging_host_to_the_next_assigned_one() -> None:
    """Guard against queries that wait for a host without processor time."""
    usual = make_rig()
    first, second = find_other_pair(usual)
    rig = make_rig()
    rig.router.controls.lags.update_host(first.name, 0.1, rig.now)
    before = (
        count_delegated(usual, first.name),
        count_delegated(usual, second.name),
    )
    after = (
        count_delegated(rig, first.name),
        count_delegated(rig, second.name),
    )
    assert after[0] < before[0]
    assert after[1] > before[1]


def test_ignores_a_lag_that_has_decayed() -> None:
    """A host that was behind has its work back within seconds."""
    rig = make_rig()
    first, _ = find_other_pair(rig)
    rig.router.controls.lags.update_host(first.name, 0.1, rig.now)
    rig.advance_time(6.0)
    assert rig.router.controls.lags.get_lag(first.name, rig.now) == 0
