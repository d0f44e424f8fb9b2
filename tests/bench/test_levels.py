"""Test how evenly load lies on targets and data centres."""

import pytest

from bench import levels, model, shapes, targets


def test_tells_the_busiest_of_data_centres_and_targets() -> None:
    """Two data centres, one of which does three times as much."""
    worked = {'shard-0-0': 1.0, 'shard-1-0': 5.0, 'shard-0-1': 2.0}
    ending = model.Ending(0.1, 1.0)
    result = model.Result((ending, ending), 0, 30, worked=worked)
    found = levels.measure(result)
    assert found.centre == pytest.approx(1.5)
    assert found.target == pytest.approx(5 / (8 / 3))
    assert found.crossed == 15


def test_levels_the_load_of_callers_without_near_targets() -> None:
    """Symptom: one data centre carries all callers of one that has no target.

    Four data centres, the one most asked without targets of its own; demand
    swings by 0.55 in 17 s, and targets are of unlike speed and slow at times.
    """
    shape = shapes.Shape(
        hosts=60, data_centres=4, bare=1, pull=1.3, swing=0.55, rate=30.0
    )
    load = targets.Load(
        work=0.01,
        pause=0.12,
        every=3,
        share=0.15,
        slow=2.5,
        speeds=(0.8, 1.0, 1.3),
    )
    played = model.Fleet(shape, load, 1).play(4)
    assert levels.measure(played).centre < 1.3
