"""Run the soak test for a few seconds with fixed seeds."""

import asyncio
from pathlib import Path

import pytest

from bench.soak import hosts, runs

#: A run of the first seed had disturbed connections to the store, a graceful
#: stop, a kill, a pause and disturbed connections to targets within this time;
#: one of the second had two restores of the store and three disturbances of
#: connections to targets.
SEEDS = (4, 6)
SECONDS = 3.0
HOSTS = 3


@pytest.mark.parametrize('seed', SEEDS)
def test_no_check_fails_under_injected_faults(
    tmp_path: Path, seed: int
) -> None:
    """Real hosts as separate processes run under the faults of one seed."""
    result = asyncio.run(runs.run_seed(seed, SECONDS, HOSTS, tmp_path))
    assert not result.violations
    assert result.served > 0


def test_gives_each_port_to_one_host_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Symptom: in some starts one host never becomes ready.

    Ports are chosen before the hosts listen. If two hosts get the same port,
    the second one cannot listen.
    """
    monkeypatch.setattr(hosts, 'PORTS', range(18_000, 18_040))
    found = [hosts.find_port() for _ in range(20)]
    assert len(set(found)) == 20
