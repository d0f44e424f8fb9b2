"""Run the soak test: `python -m bench.soak --seed 7 --seconds 20`.

Each seed draws its own faults, in series and overlapping. Violations are
printed one per line and give exit code 1; the hosts' logs stay in a temporary
folder, which is printed.
"""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Final

from bench.soak import runs

DEFAULT_SECONDS: Final = 20.0


def main() -> int:
    """Run each seed and print the violations; return the exit code."""
    parser = argparse.ArgumentParser(prog='bench.soak', description=__doc__)
    parser.add_argument('--seed', type=int, action='append', default=[])
    parser.add_argument('--seconds', type=float, default=DEFAULT_SECONDS)
    parser.add_argument('--hosts', type=int, default=4)
    options = parser.parse_args()
    violations = 0
    for seed in options.seed or [1]:
        folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        result = asyncio.run(
            runs.run_seed(seed, options.seconds, options.hosts, folder)
        )
        violations += len(result.violations)
        print(
            f'seed {seed}: {result.sent} sent, {result.served} served, '
            f'{len(result.violations)} violations, logs in {folder}'
        )
        for violation in result.violations:
            print(f'  {violation}')
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main())
