"""Test the selection of replicas."""

from hypothesis import given
from hypothesis import strategies as st

from fuchsiahaven.core.targets import ejections, messages, target_stats

NOW = 100.0
DRAWS = (0.3, 0.7)
PAIR = ('a', 'b')


def make_stats(latency: float, in_flight: int = 0) -> target_stats.TargetStats:
    return target_stats.TargetStats(
        in_flight, latency, measured_at=NOW, open_connections=9
    )


def is_ejected(stats: target_stats.TargetStats, now: float) -> bool:
    return now < stats.failure_record.ejected_until


def test_no_candidates_give_none() -> None:
    assert target_stats.select_replica((), {}, NOW, DRAWS) is None


def test_selects_the_target_with_fewer_in_flight() -> None:
    stats = {'a': make_stats(0.01, 1), 'b': make_stats(0.01, 0)}
    assert target_stats.select_replica(PAIR, stats, NOW, DRAWS) == 'b'


def test_prefers_an_open_connection_to_a_new_one() -> None:
    stats = {
        'a': make_stats(0.005)._replace(open_connections=0),
        'b': make_stats(0.008),
    }
    assert target_stats.select_replica(PAIR, stats, NOW, DRAWS, 0.006) == 'b'
    assert target_stats.select_replica(PAIR, stats, NOW, DRAWS, 0.001) == 'a'


def test_a_failing_target_is_ejected_and_returns_by_a_trial() -> None:
    """A failing replica gets no requests until a trial succeeds.

    Guards against a lost replica that still gets its share of the requests:
    three connections break, then time passes.
    """
    stats = {'a': make_stats(0.001), 'b': make_stats(0.1)}
    for _ in range(3):
        stats['a'] = target_stats.record_fault(stats['a'], NOW)
    stats['a'] = target_stats.eject(stats, 'a', PAIR, PAIR, NOW)
    assert is_ejected(stats['a'], NOW)
    assert target_stats.select_replica(PAIR, stats, NOW, DRAWS) == 'b'
    later = NOW + ejections.MIN_EJECTION_S
    assert target_stats.select_replica(PAIR, stats, later, DRAWS) == 'a'
    stats['a'] = target_stats.record_sent(stats['a'])
    assert target_stats.select_replica(PAIR, stats, later, DRAWS) == 'b'
    stats['a'] = target_stats.record_answer(stats['a'], later, 0.001)
    assert not stats['a'].failure_record.ejected_until


def test_the_last_replica_of_a_shard_is_never_ejected() -> None:
    stats = {'a': make_stats(0.01), 'b': make_stats(0.01)}
    for name in PAIR:
        for _ in range(3):
            stats[name] = target_stats.record_fault(stats[name], NOW)
        stats[name] = target_stats.eject(stats, name, PAIR, PAIR, NOW)
    assert is_ejected(stats['a'], NOW)
    assert not is_ejected(stats['b'], NOW)


@given(st.lists(st.integers(0, 39)), st.floats(0.0, 60.0))
def test_ejections_are_bounded_and_leave_every_shard_a_replica(
    failing: list[int], duration: float
) -> None:
    """A fault of the network does not eject the whole group.

    Guards against a host that has no searcher left to use: its own link drops
    packets, and each target in turn seems to fail and is ejected.
    """
    members = tuple(str(number) for number in range(40))
    stats = {name: make_stats(0.01) for name in members}
    now = NOW
    for number in failing:
        now += duration / 40
        shard = members[number // 2 * 2 : number // 2 * 2 + 2]
        name = members[number]
        for _ in range(3):
            stats[name] = target_stats.record_fault(stats[name], now)
        stats[name] = target_stats.eject(stats, name, shard, members, now)
        ejected = {
            member for member in members if is_ejected(stats[member], now)
        }
        assert len(ejected) <= target_stats.MAX_EJECTED_FRACTION * len(members)
        assert not ejected.issuperset(shard)
        selected = target_stats.select_replica(shard, stats, now, DRAWS)
        assert selected not in ejected


def test_a_cancelled_sub_request_still_counts_as_a_sample() -> None:
    """A slow target is detected although its sub-requests are cancelled.

    Guards against a slow replica that causes a hedge for every query, for
    hours: a hedge answers before each of its sub-requests, which are cancelled,
    and only answers count as samples.
    """
    slow = make_stats(0.005)
    for _ in range(10):
        slow = target_stats.record_cancelled(
            target_stats.record_sent(slow), NOW, 0.02
        )
        slow = target_stats.record_cancelled_end(slow)
    stats = {'a': slow, 'b': make_stats(0.005)}
    assert slow.latency > 0.015
    assert target_stats.select_replica(PAIR, stats, NOW, DRAWS) == 'b'


def test_a_straggler_that_recovered_is_used_again() -> None:
    """A target that was avoided is tried again and its estimate corrected.

    Guards against one replica that serves the whole shard long after the other
    was slow: that one gets no requests, so nothing corrects its estimate.
    """
    stats = {'a': make_stats(0.1), 'b': make_stats(0.005)}
    assert target_stats.select_replica(PAIR, stats, NOW, DRAWS) == 'b'
    later = NOW + 90
    stats['b'] = make_stats(0.005)._replace(measured_at=later)
    assert target_stats.select_replica(PAIR, stats, later, DRAWS) == 'a'
    stats['a'] = target_stats.record_answer(stats['a'], later, 0.005)
    assert stats['a'].latency < 0.01


def test_one_slow_answer_changes_the_estimate_little() -> None:
    stats = target_stats.record_answer(make_stats(0.005, 1), NOW + 0.01, 10.0)
    assert stats.latency < 0.01


def test_a_load_report_expires_and_weighs_less_than_latency() -> None:
    full = messages.Load(in_flight=2, queued=90, slots=2)
    stats = {
        'a': target_stats.record_load(make_stats(0.005), full, NOW),
        'b': make_stats(0.005),
    }
    assert target_stats.select_replica(PAIR, stats, NOW, DRAWS) == 'b'
    stats['b'] = make_stats(0.01)
    assert target_stats.select_replica(PAIR, stats, NOW, DRAWS) == 'a'
    late = NOW + 2 * target_stats.LOAD_FADE_S
    faded = target_stats.estimate_cost(stats['a'], late, 0.0)
    assert faded == target_stats.estimate_cost(make_stats(0.005), late, 0.0)


def test_a_probe_ends_an_ejection_where_trials_are_not_allowed() -> None:
    """A target of a group that gets only refunds is used again.

    Guards against refund targets that are ejected one after the other and never
    used again: refunds are not sent as trials, the group gets no other
    requests, and only an answered trial ends an ejection.
    """
    record = ejections.FailureRecord(
        failures=3.0, updated_at=NOW, ejected_until=NOW + 1
    )
    stats = {
        'a': make_stats(0.001)._replace(failure_record=record),
        'b': make_stats(0.1),
    }
    later = NOW + 2
    for name, probed in (('b', False), ('a', True)):
        if probed:
            stats['a'] = target_stats.record_probe(stats['a'], later)
        selected = target_stats.select_replica(
            PAIR, stats, later, DRAWS, allow_trials=False
        )
        assert selected == name
