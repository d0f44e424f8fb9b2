"""Run the soak: `python -m bench.soak --seed 7 --seconds 20`.

Each seed draws its own faults, in series and overlapping. Exit code 1 and a
line for each broken promise; the logs of the hosts stay in the folder named.
"""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Final

from bench.soak import play

SECONDS: Final = 20.0


def main() -> int:
    """Play the seeds and tell what was broken."""
    parser = argparse.ArgumentParser(prog='bench.soak', description=__doc__)
    parser.add_argument('--seed', type=int, action='append', default=[])
    parser.add_argument('--seconds', type=float, default=SECONDS)
    parser.add_argument('--hosts', type=int, default=4)
    chosen = parser.parse_args()
    broken = 0
    for seed in chosen.seed or [1]:
        folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        result = asyncio.run(
            play.play(seed, chosen.seconds, chosen.hosts, folder)
        )
        broken += len(result.faults)
        print(
            f'seed {seed}: {result.asked} asked, {result.served} served, '
            f'{len(result.faults)} broken promises, logs in {folder}'
        )
        for fault in result.faults:
            print(f'  {fault}')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
