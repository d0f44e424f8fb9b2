"""Run the soak for a few seconds with a seed of its own."""

import asyncio
from pathlib import Path

from bench.soak import play

#: In a run of this seed a spoilt way to the store, a planned stop, a kill, a
#: pause and a spoilt way to targets fell into these seconds.
SEED = 4
SECONDS = 3.0
HOSTS = 3


def test_keeps_every_promise_under_faults_from_outside(tmp_path: Path) -> None:
    """Real hosts, as processes of their own, under one seed's faults."""
    result = asyncio.run(play.play(SEED, SECONDS, HOSTS, tmp_path))
    assert not result.faults
    assert result.served > 0
