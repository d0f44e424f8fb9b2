"""Test the parsing of the platform's settings file."""

from pathlib import Path

import pytest

from fuchsiahaven.platform import settings
from fuchsiahaven.routing import deployments

TEXT = """node=front-north-1
ip=10.1.0.9
zone=north
zones.north=land
zones.south=land
listen.front=10.1.0.9:8104
listen.ready=10.1.0.9:8108
listen.control=10.1.0.9:8106
internal_ports=7380,7395
seeds=10.1.0.9:8106,10.2.0.21:8106
heartbeat_ms=1200
bounds.grace_s=6
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=56
platform.address=10.200.1.7:8102
a.field=that nobody knows
"""


def test_parses_a_file() -> None:
    """Times are converted to seconds; unknown keys are ignored."""
    reading = settings.parse_text(TEXT)
    assert reading.settings is not None
    assert reading.settings.host.name == 'front-north-1'
    assert reading.settings.host.address == '10.1.0.9:8106'
    assert reading.settings.data_centres == ('north', 'south')
    assert len(reading.settings.seeds) == 2
    assert reading.settings.heartbeat_s == 1.2
    assert reading.settings.extra_load.slack == 56


@pytest.mark.parametrize(
    ('line', 'expected'),
    [('', False), ('bootstrap=true', True), ('bootstrap=false', False)],
)
def test_parses_whether_the_whole_system_starts(
    line: str, expected: bool
) -> None:
    """Without the key the host starts in a running system."""
    reading = settings.parse_text(f'{TEXT}{line}\n')
    assert reading.settings is not None
    assert reading.settings.first_start == expected


def test_parses_the_limit_on_cold_targets() -> None:
    """The limit is optional; one that is not finite is ignored."""
    limit = 'bounds.warmup_overage=1.5\nbounds.warmup_slack=5\n'
    infinite = limit.replace('=5', '=inf')
    for text, expected in (
        (TEXT, None),
        (TEXT + limit, (1.5, 5)),
        (TEXT + infinite, None),
    ):
        reading = settings.parse_text(text)
        assert reading.settings is not None
        assert reading.settings.warm_up == expected


@pytest.mark.parametrize(
    ('rate', 'expected'),
    [('150', 150), ('many', 400), ('0', 400), ('nan', 400)],
)
def test_parses_the_write_rate_of_the_store(rate: str, expected: float) -> None:
    """An invalid rate is replaced by the default."""
    text = f'{TEXT}platform.writes_per_s={rate}\n'
    reading = settings.parse_text(text)
    assert reading.settings is not None
    assert reading.settings.store_writes_per_s == expected


@pytest.mark.parametrize(
    ('apply_ms', 'delay_factor'),
    [('3000', 1), ('1500', 0.5), ('9000', 1), ('', 1)],
)
def test_delays_scale_with_the_apply_bound(
    apply_ms: str, delay_factor: float
) -> None:
    """Delays shrink for a bound below the default, and never grow."""
    reading = settings.parse_text(f'{TEXT}bounds.config_apply_ms={apply_ms}\n')
    assert reading.settings is not None
    assert reading.settings.delay_factor == delay_factor


@pytest.mark.parametrize('name', settings.REQUIRED_KEYS)
def test_names_a_missing_key(name: str) -> None:
    """A file without a required key is rejected with the key's name."""
    lines = [it for it in TEXT.splitlines() if not it.startswith(f'{name}=')]
    reading = settings.parse_text('\n'.join(lines))
    assert reading.settings is None
    assert [fault.name for fault in reading.faults] == [name]


def test_names_every_fault_at_once() -> None:
    """Two values are not numbers: both are reported."""
    text = TEXT.replace('=56', '=many').replace('=1200', '=often')
    names = {fault.name for fault in settings.parse_text(text).faults}
    assert names == {'bounds.retry_slack', 'heartbeat_ms'}


def test_reports_a_file_that_ends_within_a_character(tmp_path: Path) -> None:
    """Guard against a process that ends when its file is partly written."""
    path = tmp_path / 'boot.conf'
    path.write_bytes(f'{TEXT}a=é'.encode()[:-1])
    reading = settings.read_file(path)
    assert reading.settings is None
    assert [fault.name for fault in reading.faults] == [str(path)]


def test_peer_address_defaults_to_the_first_internal_port() -> None:
    """Without `listen.control` peers use the first of `internal_ports`."""
    lines = [it for it in TEXT.splitlines() if 'listen.control' not in it]
    reading = settings.parse_text('\n'.join(lines))
    assert reading.settings is not None
    assert reading.settings.host.address == '10.1.0.9:7380'


@pytest.mark.parametrize(
    ('lines', 'expected'),
    [
        ('', deployments.UNKNOWN_CAPACITY),
        ('limits.cpu_share=0.717\nlimits.cores=3\n', 2.151),
        ('limits.cpu_share=0.361\n', 0.361),
        ('limits.cores=3\n', deployments.UNKNOWN_CAPACITY),
        (
            'limits.cpu_share=nan\nlimits.cores=3\n',
            deployments.UNKNOWN_CAPACITY,
        ),
        ('limits.cpu_share=much\n', deployments.UNKNOWN_CAPACITY),
    ],
)
def test_parses_the_capacity_of_this_host(lines: str, expected: float) -> None:
    """Capacity is cores times the CPU share; unknown without the share."""
    reading = settings.parse_text(TEXT + lines)
    assert reading.settings is not None
    assert reading.settings.host.capacity == expected
