"""Test how far hosts are behind their work, and what others make of it."""

import json

from hypothesis import given, strategies

from fuchsiahaven.routing import (
    assist_codecs,
    configs,
    duties,
    events,
    lags,
    places,
)
from tests.routing import router_rig

SHARDS = tuple(f'shard-{number:03}' for number in range(90))
SEARCH = router_rig.make_route(configs.Gather(SHARDS, 2, 0.9))
HOSTS = tuple(
    places.Host(f'host-{number}', f'10.0.2.{number}:1', 'north')
    for number in range(2, 10)
)
SECONDS = strategies.floats(0, 20)


def make_rig() -> router_rig.Rig:
    """Make a host among others of its data centre."""
    rig = router_rig.Rig([SEARCH], router_rig.make_instances(SHARDS, 1))
    rig.post(events.HostsChanged(len(HOSTS) + 1, (router_rig.HOST, *HOSTS)))
    return rig


def find_pair(rig: router_rig.Rig) -> tuple[places.Host, ...]:
    """Find two hosts on duty for one chunk that are others."""
    hosts = rig.router.centre_health.list_hosts('north')
    for shard in SHARDS[:: duties.CHUNK]:
        ranked = duties.rank_hosts(duties.Duty('north', shard), hosts)
        pair = tuple(ranked[: duties.ON_DUTY])
        if router_rig.HOST not in pair:
            return pair
    raise AssertionError('this host is on duty for all')


def count_asked(rig: router_rig.Rig, name: str) -> int:
    """Ask a few times; count how often a host is asked for parts."""
    asked = 0
    for _ in range(40):
        rig.send_request()
        found = [
            it for it in rig.other_actions if isinstance(it, events.Delegate)
        ]
        rig.other_actions = []
        asked += sum(it.helper.name == name for it in found)
        for one in found:
            share = events.DelegationReport((), b'', (), (), is_last=True)
            lag = rig.router.controls.lags.fade(one.helper.name, rig.now)
            rig.post(
                events.DelegationReportReceived(
                    one.key, share._replace(lag_s=lag)
                )
            )
    return asked


def test_the_worst_counts_until_it_has_faded() -> None:
    """Symptom: one timer that fires in time hides a stall just before."""
    lag = lags.note(lags.NONE, 0.08, 1.0)
    lag = lags.note(lag, 0.001, 1.01)
    assert lags.tell(lag, 1.01) > 0.07
    assert lags.tell(lag, 2.0) == 0.04
    assert lags.tell(lag, 9.0) == 0


@given(SECONDS, SECONDS)
def test_leaves_nothing_to_a_host_that_is_as_far_behind(
    first: float, second: float
) -> None:
    """Hosts that are all behind keep their work; it would only move about."""
    share = lags.count_share(first, second)
    assert 0 <= share < 1
    assert lags.count_share(first, first) == 0
    assert not (share and lags.count_share(second, first))


def test_a_share_tells_the_lag_only_where_there_is_one() -> None:
    """Hosts of the version before pass over it; on time, it costs nothing."""
    share = events.DelegationReport((), b'', (), (), is_last=True)
    for lag, told in ((0.0, None), (0.0004, None), (0.03, 30)):
        line = assist_codecs.write_share(share._replace(lag_s=lag))
        assert json.loads(line).get('lag') == told
        read = assist_codecs.read_share(line)
        assert read.lag_s == (told or 0) / 1000


def test_hosts_that_are_alike_measure_no_lag() -> None:
    """Deployments with one kind of host are served as before."""
    for capacity, told in ((HOSTS[0].capacity, 0), (0.36, 0.5)):
        known = lags.Lags()
        known.note_hosts((*HOSTS, HOSTS[0]._replace(capacity=capacity)))
        known.note_own(0.5, 1.0)
        assert known.tell_own(1.0) == told


def test_leaves_work_of_a_host_that_is_behind_to_the_next_on_duty() -> None:
    """Symptom: each query waits for a host without processor time."""
    usual = make_rig()
    first, second = find_pair(usual)
    rig = make_rig()
    rig.router.controls.lags.note(first.name, 0.1, rig.now)
    before = (count_asked(usual, first.name), count_asked(usual, second.name))
    after = (count_asked(rig, first.name), count_asked(rig, second.name))
    assert after[0] < before[0]
    assert after[1] > before[1]


def test_asks_again_once_what_was_told_has_faded() -> None:
    """A host that was behind has its work back within seconds."""
    rig = make_rig()
    first, _ = find_pair(rig)
    rig.router.controls.lags.note(first.name, 0.1, rig.now)
    rig.advance_time(6.0)
    assert rig.router.controls.lags.fade(first.name, rig.now) == 0
