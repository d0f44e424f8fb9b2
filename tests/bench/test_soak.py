"""Run the soak for a few seconds with a seed of its own."""

import asyncio
from pathlib import Path

import pytest

from bench.soak import hosts, runs

#: In a run of the first seed a spoilt way to the store, a planned stop, a kill,
#: a pause and a spoilt way to targets fell into these seconds; in one of the
#: second, two restores of the store and three spoilt ways to targets.
SEEDS = (4, 6)
SECONDS = 3.0
HOSTS = 3


@pytest.mark.parametrize('seed', SEEDS)
def test_no_check_fails_under_injected_faults(
    tmp_path: Path, seed: int
) -> None:
    """Real hosts, as processes of their own, under one seed's faults."""
    result = asyncio.run(runs.run_seed(seed, SECONDS, HOSTS, tmp_path))
    assert not result.violations
    assert result.served > 0


def test_gives_each_port_to_one_host_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Symptom: in some starts one host never becomes ready.

    Ports are chosen before the hosts listen. Two hosts were given one port,
    and the second could not listen at it.
    """
    monkeypatch.setattr(hosts, 'PORTS', range(18_000, 18_040))
    found = [hosts.find_port() for _ in range(20)]
    assert len(set(found)) == 20
