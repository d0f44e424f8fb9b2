"""Test hosts with different cores behind one balancer, in simulated time."""

from bench import setups, simulation, targets, trial

#: Two large hosts in each of four data centres; they delegate and are delegated
#: parts of queries with a short objective.
SETUP = setups.Setup(
    hosts=40,
    data_centres=4,
    rate=40.0,
    objective=0.059,
    timeout=0.6,
    coverage=0.85,
    part_cost=0.00005,
    delegation_cost=0.0004,
    caller_delay=0.0105,
    cores=(2.151, 2.151, 0.361),
)
LOAD = targets.TargetLoad(work_s=0.011, pause_s=0.12, pause_interval_s=3.0)
SECONDS = 2.0
#: Numbers of the large hosts of the first data centre.
LARGE_HOSTS = frozenset((0, 4))


def score_setup(setup: setups.Setup, seed: int) -> trial.Score:
    """Simulate a setup and return its score."""
    return trial.compute_score(
        simulation.Simulation(setup, LOAD, seed).run(SECONDS), setup
    )


def test_hosts_that_announce_cores_answer_sooner() -> None:
    """Symptom: the smallest hosts delay every answer."""
    seeds = range(2)
    announced = [score_setup(SETUP, seed).worth for seed in seeds]
    unannounced = [
        score_setup(SETUP._replace(announces_cores=False), seed).worth
        for seed in seeds
    ]
    assert sum(announced) > sum(unannounced)


def test_losing_all_large_hosts_costs_no_more_with_announced_cores() -> None:
    """Symptom: hosts that replace two failed ones at once get no requests.

    If work is not assigned by cores, the same two hosts have few chunks.
    """
    losing_power = SETUP._replace(
        power_loss_at=0.7, powerless_hosts=LARGE_HOSTS
    )
    for seed in range(2):
        score = score_setup(losing_power, seed)
        unannounced = score_setup(
            losing_power._replace(announces_cores=False), seed
        )
        assert score.failed <= unannounced.failed
        assert score.worth > unannounced.worth


def test_a_host_twice_as_large_is_not_overloaded_first() -> None:
    """Symptom: answers fail at a load that is served if no cores are known."""
    setup = SETUP._replace(rate=150.0, cores=(0.722, 0.361))
    announced = score_setup(setup, 0)
    unannounced = score_setup(setup._replace(announces_cores=False), 0)
    assert announced.failed <= unannounced.failed
    assert announced.worth > unannounced.worth
