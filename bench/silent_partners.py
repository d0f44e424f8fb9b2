"""Compare failure detection with and without other traffic as a sign of life.

Simulated time: `python -m bench.silent_partners [--hosts N] [--seeds N]`.
"""

import argparse
import json
import random
import statistics

from fuchsiahaven.core.members import member_states
from tests.core import networks


def main() -> None:
    """Print the median of each figure, with and without other traffic."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--hosts', type=int, default=30)
    parser.add_argument('--seeds', type=int, default=5)
    options = parser.parse_args()
    for count_traffic in (True, False):
        timings = member_states.Timings(count_traffic=count_traffic)
        runs = [run(options.hosts, it, timings) for it in range(options.seeds)]
        figures = {
            name: statistics.median(one[name] for one in runs)
            for name in runs[0]
        }
        print(json.dumps({'count_traffic': count_traffic, **figures}))


def run(
    hosts: int, seed: int, timings: member_states.Timings
) -> dict[str, float]:
    """Disturb and kill hosts; return suspicions and convergence times."""
    network = networks.Network(hosts, seed, timings)
    wait_until_converged(network)
    figures: dict[str, float] = {}
    network.is_cut = lambda one, other: other == 'h5'
    figures['unreachable_suspicions'] = count_suspicions(network, 120)
    network.is_cut = lambda one, other: False
    wait_until_converged(network)
    network.loss_fraction = 0.3
    figures['loss_suspicions'] = count_suspicions(network, 120)
    network.loss_fraction = 0
    wait_until_converged(network)
    rng = random.Random(seed)
    figures['pause_suspicions'] = 0
    for _ in range(30):
        network.frozen = {f'h{rng.randrange(hosts)}'}
        figures['pause_suspicions'] += count_suspicions(
            network, rng.uniform(1, 5)
        )
        network.frozen = set()
        network.run(1)
    wait_until_converged(network)
    network.kill(f'h{hosts - 1}')
    figures['one_killed_s'] = wait_until_converged(network)
    for number in range(hosts // 3):
        network.kill(f'h{hosts - 2 - number}')
    figures['third_killed_s'] = wait_until_converged(network)
    return figures


def count_suspicions(network: networks.Network, seconds: float) -> int:
    """Run the network and count the suspicions that hosts report."""
    network.reports.clear()
    network.run(seconds)
    texts = [report.text for _, _, report in network.reports]
    assert 'member is dead' not in texts
    return texts.count('member is suspect')


def wait_until_converged(network: networks.Network) -> float:
    """Run the network until all hosts agree; return the seconds."""
    started_at = network.now
    while not network.has_converged():
        network.run(0.25)
    seconds = network.now - started_at
    network.run(20)
    return round(seconds, 2)


if __name__ == '__main__':
    main()
