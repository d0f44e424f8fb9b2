"""Decode what operators, targets and hosts keep in the platform's store."""

import base64
import ipaddress
import json
import math
from collections.abc import Mapping
from typing import Any, Final

from fuchsiahaven.core import suspects
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.platform import tenants
from fuchsiahaven.routing import (
    capacities,
    configs,
    deployments,
    facts,
    instances,
    suspect_codecs,
)

CONFIGURATION: Final = 'op/config'
INSTANCES: Final = 'servers/'
HOSTS: Final = 'fuchsiahaven/hosts/'
#: By the digest of a request that ends the targets that run it.
QUARANTINES: Final = 'fuchsiahaven/quarantines/'
#: Keys by which operators have data centres evacuated; removing one takes the
#: order back.
EVACUATIONS: Final = 'op/evacuate/'
MILLISECONDS: Final = 1000
#: What a target says of itself, and whether it is leaving then. Any other
#: word is not known, and an entry with it names no target to use.
STATES: Final = {'ready': False, 'draining': True}
LAST_PORT: Final = 65_535
#: What reading a value raises where its bytes or its shape are wrong. Text
#: nested too deeply ends in the last.
FAULTS: Final = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
#: Characters of a reason that are kept: it may quote what was written.
LONGEST_REASON: Final = 200
REPEATS: Final = {
    'idempotent': configurations.Repeat.IDEMPOTENT,
    'non_idempotent': configurations.Repeat.AT_MOST_ONCE,
}


class Malformed(Exception):
    """Report a record or an answer that is not as documented."""


def name_key(name: str) -> facts.Key | None:
    """Tell what a key of the store is about; None if it is not ours to read."""
    if name == CONFIGURATION:
        return facts.Key(facts.Subject.CONFIGURATION, '')
    if name.startswith(INSTANCES):
        return facts.Key(facts.Subject.INSTANCE, name[len(INSTANCES) :])
    if name.startswith(HOSTS):
        return facts.Key(facts.Subject.HOST, name[len(HOSTS) :])
    if name.startswith(QUARANTINES):
        return facts.Key(facts.Subject.QUARANTINE, name[len(QUARANTINES) :])
    if name.startswith(EVACUATIONS):
        return facts.Key(facts.Subject.EVACUATION, name[len(EVACUATIONS) :])
    return None


def read_value(key: facts.Key, encoded: str) -> facts.Value:
    """Decode the value of a key; raises Malformed."""
    if key.subject is facts.Subject.EVACUATION:
        # The key alone is the order. Were a value that somebody spoilt to
        # undo it, targets would get work that operators have forbidden.
        return deployments.Evacuation(key.name)
    try:
        row = json.loads(base64.b64decode(encoded, validate=True))
        return _read_value(key, row)
    except FAULTS as error:
        reason = f'{key.subject} {key.name}: {describe(error)}'
        raise Malformed(reason[:LONGEST_REASON]) from None


def read_configuration(text: bytes) -> configs.Configuration:
    """Read a configuration as operators write it; raises Malformed."""
    key = facts.Key(facts.Subject.CONFIGURATION, '')
    read = read_value(key, base64.b64encode(text).decode())
    assert isinstance(read, configs.Configuration)
    return read


def describe(error: Exception) -> str:
    """Describe a fault of what was read, without the text itself.

    The error of an encoding holds all that was read, and with it keys.
    """
    if isinstance(error, UnicodeError):
        return f'{type(error).__name__}()'
    return repr(error)


def write_host(host: deployments.Host) -> tuple[str, str]:
    """Write the key and the value by which other hosts find this one."""
    row: dict[str, str | float] = {
        'address': host.address,
        'zone': host.data_centre,
    }
    row.update(capacities.encode_capacity(host.capacity))
    text = json.dumps(row)
    return f'{HOSTS}{host.name}', base64.b64encode(text.encode()).decode()


def write_quarantine(news: suspects.News) -> tuple[str, str]:
    """Write the key and the value by which hosts learn of a quarantine."""
    text = json.dumps(suspect_codecs.encode_report(news))
    key = f'{QUARANTINES}{news.identity.digest}'
    return key, base64.b64encode(text.encode()).decode()


def _read_value(key: facts.Key, row: Mapping[str, Any]) -> facts.Value:
    match key.subject:
        case facts.Subject.CONFIGURATION:
            return _read_configuration(row)
        case facts.Subject.INSTANCE:
            return _read_instance(key.name, row)
        case facts.Subject.QUARANTINE:
            return _read_quarantine(key.name, row)
        case _:
            capacity = capacities.decode_capacity(row)
            return deployments.Host(
                key.name, row['address'], row['zone'], capacity
            )


def _read_configuration(row: Mapping[str, Any]) -> configs.Configuration:
    return configs.Configuration(
        int(row['version']),
        tuple(_read_route(route) for route in row['routes']),
        tuple(
            configs.Service(
                service['name'],
                int(service['max_connections']),
                _read_rate(service.get('warmup_per_s', 0)),
            )
            for service in row['services']
        ),
        _read_limits(row.get('limits', {})),
        tenants.read_customers(row),
    )


def _read_rate(told: object) -> float:
    """Read a rate strictly: shares of it are counted in whole requests."""
    if isinstance(told, (int, float)) and not isinstance(told, bool):
        if math.isfinite(told) and told >= 0:
            return float(told)
    raise ValueError(f'no rate: {told!r}')


def _read_limits(row: Mapping[str, Any]) -> configs.Limits:
    usual = configs.Limits()
    head_ms = row.get('header_timeout_ms', usual.head * MILLISECONDS)
    idle_ms = row.get('idle_timeout_ms', usual.idle * MILLISECONDS)
    return configs.Limits(
        int(row.get('max_header_bytes', usual.head_bytes)),
        int(row.get('max_body_bytes', usual.body_bytes)),
        head_ms / MILLISECONDS,
        idle_ms / MILLISECONDS,
    )


def _read_route(row: Mapping[str, Any]) -> configs.Route:
    return configs.Route(
        row['name'],
        row['host'].lower(),
        row['prefix'],
        # The field is named type; it says only whether a request may repeat.
        REPEATS[row['type']],
        row['timeout_ms'] / MILLISECONDS,
        # Also the time within which a merged answer is worth most, not the
        # mean latency that its name suggests.
        row['target_latency_ms'] / MILLISECONDS,
        int(row.get('max_attempts', 1)),
        int(row.get('priority', 0)),
        _read_way(row),
        tenants.read_public(row),
    )


def _read_way(row: Mapping[str, Any]) -> configs.RouteAction:
    match row:
        case {'gather': shards}:
            return configs.Gather(
                tuple(shards), int(row['top_k']), float(row['min_coverage'])
            )
        case {'traffic_split': parts}:
            return configs.Split(tuple(_read_weighted(it) for it in parts))
    return configs.Single(row['service'])


def _read_weighted(row: Mapping[str, Any]) -> configs.Weighted:
    return configs.Weighted(row['service'], float(row['weight']))


def _read_instance(name: str, row: Mapping[str, Any]) -> instances.Instance:
    """Read a target's entry strictly: anybody may have written it.

    A value of another type that is taken as it comes would fail only when
    the target is chosen, as an error in the middle of a query.
    """
    born = _read_whole(row.get('born', 0))
    slots = _read_whole(row['slots'])
    if not slots:
        raise ValueError('no slots')
    return instances.Instance(
        instances.make_start_name(name, born),
        name,
        _read_text(row['service']),
        _read_address(row['address']),
        _read_text(row['zone']),
        slots,
        STATES[row['state']],
        _read_whole(row['warmup_left_ms']) / MILLISECONDS,
        born,
    )


def _read_quarantine(digest: str, row: Mapping[str, Any]) -> suspects.News:
    news = suspect_codecs.decode_report(row)
    if news.identity.digest != digest:
        raise ValueError('the entry of another request')
    return news


def _read_text(told: object) -> str:
    if isinstance(told, str) and told:
        return told
    raise ValueError(f'no text: {told!r}')


def _read_whole(told: object) -> int:
    # A truth value is a number in this language, but not in an entry.
    if isinstance(told, int) and not isinstance(told, bool):
        if 0 <= told <= tenants.LARGEST_WHOLE:
            return told
    raise ValueError(f'no whole number: {told!r}')


def _read_address(told: object) -> str:
    ip, _, port = _read_text(told).rpartition(':')
    ipaddress.IPv4Address(ip)
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= LAST_PORT):
        raise ValueError(f'no port: {told!r}')
    return f'{ip}:{port}'
