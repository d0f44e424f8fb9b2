"""Parse the settings file that the platform gives each process."""

import math
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Final, NamedTuple

from fuchsiahaven.routing import capacities, deployments

PATH_VARIABLE: Final = 'FUCHSIAHAVEN_SETTINGS'
MS_PER_S: Final = 1000
BYTES_PER_MEGABIT: Final = 125_000
#: Writes a second that the store accepts, if the file does not state it.
DEFAULT_WRITES_PER_S: Final = 400.0
#: Keys that every settings file must have.
REQUIRED_KEYS: Final = (
    'node',
    'zone',
    'ip',
    'listen.front',
    'listen.ready',
    'internal_ports',
    'platform.address',
    'bounds.retry_budget_ratio',
    'bounds.retry_slack',
    'bounds.retry_window_s',
    'bounds.grace_s',
    'heartbeat_ms',
)
#: Optional keys: the limit on requests to cold targets.
WARM_UP_KEYS: Final = ('bounds.warmup_overage', 'bounds.warmup_slack')
#: Optional keys: by how much customers' quotas may be exceeded.
QUOTA_KEYS: Final = (
    'bounds.quota_window_s',
    'bounds.quota_overage',
    'bounds.quota_slack',
)


class Fault(NamedTuple):
    """Describe what is wrong with one key of a settings file."""

    name: str
    text: str


class Reading(NamedTuple):
    """Hold the settings, or None and every fault that was found."""

    settings: deployments.Settings | None
    faults: tuple[Fault, ...]


def find_path() -> Path | None:
    """Find the path of the settings file in the environment."""
    path = os.environ.get(PATH_VARIABLE)
    return Path(path) if path else None


def read_file(path: Path) -> Reading:
    """Read and parse a settings file."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Reading(None, (Fault(str(path), str(error)),))
    return parse_text(text)


def parse_text(text: str) -> Reading:
    """Parse lines of the form `a.b=value`; unknown keys are ignored."""
    values = dict(
        line.strip().split('=', 1) for line in text.splitlines() if '=' in line
    )
    faults = [
        Fault(name, 'is missing')
        for name in REQUIRED_KEYS
        if not values.get(name)
    ]
    if faults:
        return Reading(None, tuple(faults))
    numbers = _parse_numbers(values, faults)
    if faults:
        return Reading(None, tuple(faults))
    return Reading(_build_settings(values, numbers), ())


def _parse_numbers(
    values: Mapping[str, str], faults: list[Fault]
) -> dict[str, float]:
    numbers = {}
    for name in REQUIRED_KEYS:
        if not name.startswith('bounds.') and name != 'heartbeat_ms':
            continue
        try:
            numbers[name] = float(values[name])
        except ValueError:
            faults.append(Fault(name, f'{values[name]!r} is not a number'))
    return numbers


def _build_settings(
    values: Mapping[str, str], numbers: Mapping[str, float]
) -> deployments.Settings:
    ports = values['internal_ports'].split(',')
    # Other hosts list this host as a seed by its control port, so it has to
    # answer them there.
    peer_address = values.get('listen.control') or f'{values["ip"]}:{ports[0]}'
    return deployments.Settings(
        deployments.Host(
            values['node'],
            peer_address,
            values['zone'],
            _parse_capacity(values),
        ),
        tuple(
            name.partition('.')[2]
            for name in values
            if name.startswith('zones.')
        ),
        values['listen.front'],
        values['listen.ready'],
        f'{values["ip"]}:{ports[-1]}',
        tuple(seed for seed in values.get('seeds', '').split(',') if seed),
        values['platform.address'],
        deployments.ExtraLoadLimit(
            numbers['bounds.retry_budget_ratio'],
            numbers['bounds.retry_slack'],
            numbers['bounds.retry_window_s'],
        ),
        numbers['heartbeat_ms'] / MS_PER_S,
        numbers['bounds.grace_s'],
        _parse_link_rate(values.get('limits.link_mbps', '')),
        _parse_warm_up(values),
        values.get('bootstrap') == 'true',
        _parse_positive(
            values.get('platform.writes_per_s', ''), DEFAULT_WRITES_PER_S
        ),
        _parse_positive(
            values.get('bounds.config_apply_ms', ''),
            deployments.DEFAULT_APPLY_S * MS_PER_S,
        )
        / MS_PER_S,
        _parse_quota(values),
        _parse_revoke_s(values),
    )


def _parse_capacity(values: Mapping[str, str]) -> float:
    """Parse this host's capacity in cores; UNKNOWN_CAPACITY if not given."""
    try:
        cores = float(values.get('limits.cores', '1'))
        capacity = cores * float(values['limits.cpu_share'])
    except (KeyError, ValueError):
        return deployments.UNKNOWN_CAPACITY
    return capacities.clamp(capacity)


def _parse_quota(
    values: Mapping[str, str],
) -> deployments.QuotaTolerance | None:
    """Parse by how much quotas may be exceeded; None if not given."""
    try:
        window_s, overage, slack = [
            float(values.get(key, '')) for key in QUOTA_KEYS
        ]
    except ValueError:
        return None
    if not all(math.isfinite(number) for number in (window_s, overage, slack)):
        return None
    if window_s <= 0:
        return None
    return deployments.QuotaTolerance(
        window_s, max(0.0, overage), max(0.0, slack)
    )


def _parse_revoke_s(values: Mapping[str, str]) -> float | None:
    """Parse the seconds after which a removed key is refused on all hosts.

    Return None where the deployment does not bound that time.
    """
    if values.get('bounds.strict_revoke') != 'true':
        return None
    revoke_ms = _parse_positive(values.get('bounds.revoke_ms', ''), 0)
    return revoke_ms / MS_PER_S or None


def _parse_warm_up(values: Mapping[str, str]) -> deployments.WarmUpLimit | None:
    """Parse the limit on requests to cold targets; None if not given."""
    texts = [values.get(name, '') for name in WARM_UP_KEYS]
    try:
        overage, slack = [max(0.0, float(text)) for text in texts]
    except ValueError:
        return None
    is_finite = math.isfinite(overage) and math.isfinite(slack)
    return deployments.WarmUpLimit(overage, slack) if is_finite else None


def _parse_positive(text: str, default: float) -> float:
    """Parse a number above 0; return the default for anything else."""
    try:
        number = float(text)
    except ValueError:
        return default
    return number if math.isfinite(number) and number > 0 else default


def _parse_link_rate(text: str) -> float:
    """Parse the rate of a host's link, in bytes a second; 0 if not given."""
    try:
        return max(0.0, float(text)) * BYTES_PER_MEGABIT
    except ValueError:
        return 0.0
