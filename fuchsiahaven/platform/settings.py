"""Read the settings file that the platform gives each process."""

import math
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Final, NamedTuple

from fuchsiahaven.routing import capacities, deployments

VARIABLE: Final = 'FUCHSIAHAVEN_SETTINGS'
MILLISECONDS: Final = 1000
BYTES_OF_MEGABIT: Final = 125_000
#: Writes a second that the store takes where that is not told.
USUAL_WRITES: Final = 400.0
#: Names that every settings file has.
REQUIRED: Final = (
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
#: Names that only files have whose deployments bound cold targets.
WARM_UP: Final = ('bounds.warmup_overage', 'bounds.warmup_slack')
#: Names that only files have whose deployments bound customers' requests.
QUOTA: Final = (
    'bounds.quota_window_s',
    'bounds.quota_overage',
    'bounds.quota_slack',
)


class Fault(NamedTuple):
    """Say what is wrong with one line of a settings file."""

    name: str
    text: str


class Reading(NamedTuple):
    """Return the settings, or every fault that was found."""

    settings: deployments.Settings | None
    faults: tuple[Fault, ...]


def find_path() -> Path | None:
    """Find the settings file that the environment names."""
    named = os.environ.get(VARIABLE)
    return Path(named) if named else None


def read_file(path: Path) -> Reading:
    """Read a settings file."""
    try:
        text = path.read_text()
    except OSError as error:
        return Reading(None, (Fault(str(path), str(error)),))
    return read_text(text)


def read_text(text: str) -> Reading:
    """Read the lines `a.b=value`; names that are not known are ignored."""
    lines = dict(
        line.strip().split('=', 1) for line in text.splitlines() if '=' in line
    )
    faults = [
        Fault(name, 'is missing') for name in REQUIRED if not lines.get(name)
    ]
    if faults:
        return Reading(None, tuple(faults))
    numbers = _read_numbers(lines, faults)
    if faults:
        return Reading(None, tuple(faults))
    return Reading(_build(lines, numbers), ())


def _read_numbers(
    lines: Mapping[str, str], faults: list[Fault]
) -> dict[str, float]:
    numbers = {}
    for name in REQUIRED:
        if not name.startswith('bounds.') and name != 'heartbeat_ms':
            continue
        try:
            numbers[name] = float(lines[name])
        except ValueError:
            faults.append(Fault(name, f'{lines[name]!r} is not a number'))
    return numbers


def _build(
    lines: Mapping[str, str], numbers: Mapping[str, float]
) -> deployments.Settings:
    ports = lines['internal_ports'].split(',')
    # Other hosts are told the seeds' addresses, so the port that the seeds
    # name is the one where this host answers other hosts.
    peers = lines.get('listen.control') or f'{lines["ip"]}:{ports[0]}'
    return deployments.Settings(
        deployments.Host(
            lines['node'], peers, lines['zone'], _read_capacity(lines)
        ),
        tuple(
            name.partition('.')[2]
            for name in lines
            if name.startswith('zones.')
        ),
        lines['listen.front'],
        lines['listen.ready'],
        f'{lines["ip"]}:{ports[-1]}',
        tuple(seed for seed in lines.get('seeds', '').split(',') if seed),
        lines['platform.address'],
        deployments.ExtraLoadLimit(
            numbers['bounds.retry_budget_ratio'],
            numbers['bounds.retry_slack'],
            numbers['bounds.retry_window_s'],
        ),
        numbers['heartbeat_ms'] / MILLISECONDS,
        numbers['bounds.grace_s'],
        _read_link(lines.get('limits.link_mbps', '')),
        _read_warm_up(lines),
        lines.get('bootstrap') == 'true',
        _read_figure(lines.get('platform.writes_per_s', ''), USUAL_WRITES),
        _read_figure(
            lines.get('bounds.config_apply_ms', ''),
            deployments.DEFAULT_APPLY_S * MILLISECONDS,
        )
        / MILLISECONDS,
        _read_quota(lines),
        _read_revoke(lines),
    )


def _read_capacity(lines: Mapping[str, str]) -> float:
    """Read what this host can do, in cores; UNTOLD where it is not told."""
    try:
        cores = float(lines.get('limits.cores', '1'))
        capacity = cores * float(lines['limits.cpu_share'])
    except (KeyError, ValueError):
        return deployments.UNKNOWN_CAPACITY
    return capacities.clamp(capacity)


def _read_quota(lines: Mapping[str, str]) -> deployments.QuotaTolerance | None:
    """Read by how much quotas may be exceeded; not every deployment has any."""
    try:
        window, overage, slack = [float(lines.get(it, '')) for it in QUOTA]
    except ValueError:
        return None
    if not all(math.isfinite(it) for it in (window, overage, slack)):
        return None
    if window <= 0:
        return None
    return deployments.QuotaTolerance(
        window, max(0.0, overage), max(0.0, slack)
    )


def _read_revoke(lines: Mapping[str, str]) -> float | None:
    """Read how soon a key is dead everywhere; None where that may take long."""
    if lines.get('bounds.strict_revoke') != 'true':
        return None
    revoke = _read_figure(lines.get('bounds.revoke_ms', ''), 0)
    return revoke / MILLISECONDS or None


def _read_warm_up(lines: Mapping[str, str]) -> deployments.WarmUpLimit | None:
    """Read the bound on cold targets; not every deployment has one."""
    told = [lines.get(name, '') for name in WARM_UP]
    try:
        overage, slack = [max(0.0, float(it)) for it in told]
    except ValueError:
        return None
    bounded = math.isfinite(overage) and math.isfinite(slack)
    return deployments.WarmUpLimit(overage, slack) if bounded else None


def _read_figure(told: str, usual: float) -> float:
    """Read a figure above 0; one that is not told is as usual."""
    try:
        figure = float(told)
    except ValueError:
        return usual
    return figure if math.isfinite(figure) and figure > 0 else usual


def _read_link(told: str) -> float:
    """Read what a host's link carries; one that is not told is not known."""
    try:
        return max(0.0, float(told)) * BYTES_OF_MEGABIT
    except ValueError:
        return 0.0
