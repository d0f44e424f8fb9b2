"""Test the choice of replicas."""

from hypothesis import given
from hypothesis import strategies as st

from fuchsiahaven.core.targets import ejections, messages, routes

NOW = 100.0
DRAWS = (0.3, 0.7)
PAIR = ('a', 'b')


def make_stats(latency: float, in_flight: int = 0) -> routes.TargetStats:
    return routes.TargetStats(in_flight, latency, heard=NOW, opened=9)


def is_out(one: routes.TargetStats, now: float) -> bool:
    return now < one.record.until


def test_no_candidates_give_none() -> None:
    assert routes.pick_replica((), {}, NOW, DRAWS) is None


def test_fewer_in_flight_wins() -> None:
    stats = {'a': make_stats(0.01, 1), 'b': make_stats(0.01, 0)}
    assert routes.pick_replica(PAIR, stats, NOW, DRAWS) == 'b'


def test_a_warm_connection_beats_a_new_one() -> None:
    stats = {
        'a': make_stats(0.005)._replace(opened=0),
        'b': make_stats(0.008),
    }
    assert routes.pick_replica(PAIR, stats, NOW, DRAWS, 0.006) == 'b'
    assert routes.pick_replica(PAIR, stats, NOW, DRAWS, 0.001) == 'a'


def test_a_failing_target_is_ejected_and_returns_by_a_trial() -> None:
    """A dead replica takes no traffic until one sub-request proves it.

    Symptom: a lost replica keeps receiving its share and breaks it.
    Sequence: three broken connections, then time passes.
    Cause: without ejection each query learns of the loss anew.
    """
    stats = {'a': make_stats(0.001), 'b': make_stats(0.1)}
    for _ in range(3):
        stats['a'] = routes.note_broken(stats['a'], NOW)
    stats['a'] = routes.eject(stats, 'a', PAIR, PAIR, NOW)
    assert is_out(stats['a'], NOW)
    assert routes.pick_replica(PAIR, stats, NOW, DRAWS) == 'b'
    later = NOW + ejections.SHORTEST_S
    assert routes.pick_replica(PAIR, stats, later, DRAWS) == 'a'
    stats['a'] = routes.note_sent(stats['a'])
    assert routes.pick_replica(PAIR, stats, later, DRAWS) == 'b'
    stats['a'] = routes.note_answered(stats['a'], later, 0.001)
    assert not stats['a'].record.until


def test_the_last_replica_of_a_shard_is_never_ejected() -> None:
    stats = {'a': make_stats(0.01), 'b': make_stats(0.01)}
    for name in PAIR:
        for _ in range(3):
            stats[name] = routes.note_broken(stats[name], NOW)
        stats[name] = routes.eject(stats, name, PAIR, PAIR, NOW)
    assert is_out(stats['a'], NOW)
    assert not is_out(stats['b'], NOW)


@given(st.lists(st.integers(0, 39)), st.floats(0.0, 60.0))
def test_ejections_are_bounded_and_leave_every_shard_a_replica(
    failing: list[int], pause: float
) -> None:
    """A fault of the network does not empty the group.

    Symptom: this host alone reports that no searcher can be reached.
    Sequence: its own link drops packets, each target seems to fail in turn.
    Cause: ejection without a bound blames the targets for it.
    """
    members = tuple(str(number) for number in range(40))
    stats = {name: make_stats(0.01) for name in members}
    now = NOW
    for number in failing:
        now += pause / 40
        shard = members[number // 2 * 2 : number // 2 * 2 + 2]
        name = members[number]
        for _ in range(3):
            stats[name] = routes.note_broken(stats[name], now)
        stats[name] = routes.eject(stats, name, shard, members, now)
        out = {one for one in members if is_out(stats[one], now)}
        assert len(out) <= routes.EJECT_SHARE * len(members)
        assert not out.issuperset(shard)
        picked = routes.pick_replica(shard, stats, now, DRAWS)
        assert picked not in out


def test_a_straggler_whose_sub_requests_are_cancelled_is_still_found() -> None:
    """Hedges do not hide the target that makes them necessary.

    Symptom: one slow replica draws a hedge for every query, for hours.
    Sequence: each of its sub-requests is overtaken by a hedge and cancelled,
    so that no latency of it is ever noted.
    Cause: only answers counted as samples.
    """
    slow = make_stats(0.005)
    for _ in range(10):
        slow = routes.note_cancelled(routes.note_sent(slow), NOW, 0.02)
        slow = routes.note_ended(slow)
    stats = {'a': slow, 'b': make_stats(0.005)}
    assert slow.latency > 0.015
    assert routes.pick_replica(PAIR, stats, NOW, DRAWS) == 'b'


def test_a_straggler_that_recovered_is_used_again() -> None:
    """An avoided target is tried again and believed soon.

    Symptom: long after a slow spell one replica carries the whole shard.
    Sequence: the target is avoided, so nothing corrects its estimate.
    Cause: an estimate that does not age.
    """
    stats = {'a': make_stats(0.1), 'b': make_stats(0.005)}
    assert routes.pick_replica(PAIR, stats, NOW, DRAWS) == 'b'
    later = NOW + 90
    stats['b'] = make_stats(0.005)._replace(heard=later)
    assert routes.pick_replica(PAIR, stats, later, DRAWS) == 'a'
    stats['a'] = routes.note_answered(stats['a'], later, 0.005)
    assert stats['a'].latency < 0.01


def test_one_random_slow_answer_does_not_condemn_a_target() -> None:
    one = routes.note_answered(make_stats(0.005, 1), NOW + 0.01, 10.0)
    assert one.latency < 0.01


def test_a_load_report_fades_and_never_outweighs_what_was_measured() -> None:
    full = messages.Load(in_flight=2, queued=90, slots=2)
    stats = {
        'a': routes.note_load(make_stats(0.005), full, NOW),
        'b': make_stats(0.005),
    }
    assert routes.pick_replica(PAIR, stats, NOW, DRAWS) == 'b'
    stats['b'] = make_stats(0.01)
    assert routes.pick_replica(PAIR, stats, NOW, DRAWS) == 'a'
    late = NOW + 2 * routes.HINT_FADES_S
    faded = routes.estimate_cost(stats['a'], late, 0.0)
    assert faded == routes.estimate_cost(make_stats(0.005), late, 0.0)


def test_a_group_without_trials_gets_its_targets_back_by_probes() -> None:
    """An ejected target of a group of refunds comes back.

    Symptom: one refund target after the other falls out of use for good.
    Sequence: a target is ejected; refunds are no trials; nothing else comes.
    Cause: only an answered trial ended an ejection.
    """
    record = ejections.Record(failures=3.0, noted=NOW, until=NOW + 1)
    stats = {
        'a': make_stats(0.001)._replace(record=record),
        'b': make_stats(0.1),
    }
    later = NOW + 2
    for name, vouch in (('b', False), ('a', True)):
        if vouch:
            stats['a'] = routes.note_probed(stats['a'], later)
        picked = routes.pick_replica(PAIR, stats, later, DRAWS, trials=False)
        assert picked == name
