"""Test how evenly load is spread over targets and data centres."""

import pytest

from bench import imbalance, setups, simulation, targets


def test_measures_the_busiest_data_centre_and_target() -> None:
    """Two data centres, one of which has three times the load."""
    busy_s = {'shard-0-0': 1.0, 'shard-1-0': 5.0, 'shard-0-1': 2.0}
    ending = simulation.Ending(0.1, 1.0)
    result = simulation.Result((ending, ending), 0, 30, busy_s=busy_s)
    measured = imbalance.measure(result)
    assert measured.data_centre_factor == pytest.approx(1.5)
    assert measured.target_factor == pytest.approx(5 / (8 / 3))
    assert measured.crossed_bytes == 15


def test_balances_callers_without_local_targets() -> None:
    """Symptom: one data centre serves all callers of one without targets.

    Of four data centres the one with most queries has no targets. The rate
    varies by 0.55 with a period of 17 s; targets differ in speed, and some are
    slow.
    """
    setup = setups.Setup(
        hosts=60,
        data_centres=4,
        targetless_data_centres=1,
        targetless_weight=1.3,
        swing_fraction=0.55,
        rate=30.0,
    )
    load = targets.TargetLoad(
        work_s=0.01,
        pause_s=0.12,
        pause_interval_s=3,
        troubled_fraction=0.15,
        slow_factor=2.5,
        speed_factors=(0.8, 1.0, 1.3),
    )
    result = simulation.Simulation(setup, load, 1).run(4)
    assert imbalance.measure(result).data_centre_factor < 1.3
