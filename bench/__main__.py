"""Measure the tier: `python -m bench run SCENARIO`, `python -m bench list`."""

import argparse
import json
import sys
from pathlib import Path

from bench import capacity, footprint, records, runs, scenarios, testbeds
from standins import layouts

EXAMPLES = """examples:
  python -m bench list
  python -m bench run steady --deployment santiago --seconds 20
  python -m bench run straggler --policy standard --against baseline --rounds 3
"""


def main() -> int:
    """Run the command that the arguments name; return the exit code."""
    options = _parse()
    if options.command == 'list':
        for scenario in scenarios.SCENARIOS.values():
            print(f'{scenario.name:18}{scenario.summary}')
        return 0
    if options.command == 'footprint':
        footprint.main(print)
        return 0
    if options.command == 'capacity':
        capacity.main(print)
        return 0
    results = _run_rounds(options)
    report = records.compare(results)
    report.extend(
        f'{figures.policy}: {figures.refusals} {figures.faults} {figures.limit}'
        for figures in results
    )
    print('\n'.join(report))
    if options.json:
        text = json.dumps([figures._asdict() for figures in results], indent=1)
        Path(options.json).write_text(text, encoding='utf-8')
    return 0


def _run_rounds(options: argparse.Namespace) -> list[records.Figures]:
    policies = [options.policy]
    if options.against:
        policies.append(options.against)
    results = []
    for round_number in range(options.rounds):
        # The order alternates so that a drift of the machine affects both.
        policies.reverse()
        for policy in policies:
            results.append(_run_round(options, policy, round_number))
            print(json.dumps(results[-1]._asdict()), file=sys.stderr)
    return results


def _run_round(
    options: argparse.Namespace, policy: str, round_number: int
) -> records.Figures:
    scenario = scenarios.SCENARIOS[options.scenario]
    plan = testbeds.Plan(
        options.deployment,
        options.first_port or next(testbeds.find_free_ports()),
        policy,
        options.hosts,
        scenario.data_centres,
    )
    seed = options.seed + round_number
    run_options = runs.RunOptions(
        scenario, plan, options.seconds, options.rate, seed
    )
    return runs.run(run_options)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        'bench',
        description=__doc__,
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest='command', required=True)
    commands.add_parser('list', help='list the scenarios')
    commands.add_parser(
        'capacity', help='extrapolate costs to the intended size'
    )
    commands.add_parser(
        'footprint', help="measure the memory and time of a host's decisions"
    )
    run_parser = commands.add_parser('run', help='run one scenario')
    run_parser.add_argument('scenario', choices=tuple(scenarios.SCENARIOS))
    run_parser.add_argument(
        '--deployment', choices=tuple(layouts.SERVICES), default='santiago'
    )
    run_parser.add_argument('--policy', default='standard')
    run_parser.add_argument('--against', help='another policy, run alternately')
    run_parser.add_argument('--seconds', type=float, default=20)
    run_parser.add_argument(
        '--rate', type=float, default=40, help='requests per second'
    )
    run_parser.add_argument('--rounds', type=int, default=1)
    run_parser.add_argument('--seed', type=int, default=1)
    run_parser.add_argument(
        '--hosts', type=int, default=2, help='per data centre'
    )
    run_parser.add_argument(
        '--first-port', type=int, help='default: a free port range'
    )
    run_parser.add_argument(
        '--json', help='write the figures of each round to this file'
    )
    return parser.parse_args()


sys.exit(main())
