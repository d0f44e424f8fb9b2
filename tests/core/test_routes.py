"""Test the choice of replicas."""

from fuchsiahaven.core import messages, routes

NOW = 100.0
DRAWS = (0.3, 0.7)
PAIR = ('a', 'b')


def make_stats(latency: float, in_flight: int = 0) -> routes.TargetStats:
    return routes.TargetStats(in_flight, latency, heard=NOW, idle=1, opened=1)


def test_no_candidates_give_none() -> None:
    assert routes.pick_replica((), {}, NOW, DRAWS) is None


def test_fewer_in_flight_wins() -> None:
    stats = {'a': make_stats(0.01, 1), 'b': make_stats(0.01, 0)}
    assert routes.pick_replica(PAIR, stats, NOW, DRAWS) == 'b'


def test_a_warm_connection_beats_a_new_one() -> None:
    stats = {
        'a': make_stats(0.005)._replace(idle=0),
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
        stats['a'] = routes.note_broken(
            stats['a'], NOW, messages.Fault.CONNECTION_LOST, 0.0
        )
    stats['a'] = routes.eject(stats, 'a', PAIR, PAIR, NOW)
    assert routes.is_ejected(stats['a'], NOW)
    assert routes.pick_replica(PAIR, stats, NOW, DRAWS) == 'b'
    later = NOW + routes.EJECT_S
    assert routes.pick_replica(PAIR, stats, later, DRAWS) == 'a'
    stats['a'] = routes.note_sent(stats['a'])
    assert routes.pick_replica(PAIR, stats, later, DRAWS) == 'b'
    stats['a'] = routes.note_answered(stats['a'], later, 0.001)
    assert not stats['a'].record.ejected_until


def test_the_last_replica_of_a_shard_is_never_ejected() -> None:
    stats = {'a': make_stats(0.01), 'b': make_stats(0.01)}
    for name in PAIR:
        for _ in range(3):
            stats[name] = routes.note_broken(
                stats[name], NOW, messages.Fault.CONNECTION_LOST, 0.0
            )
        stats[name] = routes.eject(stats, name, PAIR, PAIR, NOW)
    assert routes.is_ejected(stats['a'], NOW)
    assert not routes.is_ejected(stats['b'], NOW)
