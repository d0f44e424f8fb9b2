"""Decode and encode the records of the platform's store."""

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

CONFIGURATION_KEY: Final = 'op/config'
INSTANCE_PREFIX: Final = 'servers/'
HOST_PREFIX: Final = 'fuchsiahaven/hosts/'
#: Followed by the digest of a request that crashes the targets that run it.
QUARANTINE_PREFIX: Final = 'fuchsiahaven/quarantines/'
#: Followed by a data centre that operators evacuate; removing the key ends the
#: evacuation.
EVACUATION_PREFIX: Final = 'op/evacuate/'
MS_PER_S: Final = 1000
#: The states that a target reports, and whether it is leaving in each. An
#: instance with any other state is malformed.
LEAVING_BY_STATE: Final = {'ready': False, 'draining': True}
MAX_PORT: Final = 65_535
#: Exceptions that decoding a malformed value raises. JSON that is nested too
#: deeply raises RecursionError.
DECODE_ERRORS: Final = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
#: Characters of an error text that are kept, as it may quote the value.
MAX_REASON_LENGTH: Final = 200
REPEAT_BY_TYPE: Final = {
    'idempotent': configurations.Repeat.IDEMPOTENT,
    'non_idempotent': configurations.Repeat.AT_MOST_ONCE,
}


class MalformedError(Exception):
    """Report a record or an answer of the store that cannot be decoded."""


def parse_key(text: str) -> facts.Key | None:
    """Parse a key of the store; return None for a key of another system."""
    if text == CONFIGURATION_KEY:
        return facts.Key(facts.Subject.CONFIGURATION, '')
    if text.startswith(INSTANCE_PREFIX):
        return facts.Key(facts.Subject.INSTANCE, text[len(INSTANCE_PREFIX) :])
    if text.startswith(HOST_PREFIX):
        return facts.Key(facts.Subject.HOST, text[len(HOST_PREFIX) :])
    if text.startswith(QUARANTINE_PREFIX):
        return facts.Key(
            facts.Subject.QUARANTINE, text[len(QUARANTINE_PREFIX) :]
        )
    if text.startswith(EVACUATION_PREFIX):
        return facts.Key(
            facts.Subject.EVACUATION, text[len(EVACUATION_PREFIX) :]
        )
    return None


def decode_value(key: facts.Key, encoded: str) -> facts.Value:
    """Decode the value of a key. Raises MalformedError."""
    if key.subject is facts.Subject.EVACUATION:
        # The key alone orders the evacuation. If a malformed value cancelled
        # it, targets would get work that operators have forbidden.
        return deployments.Evacuation(key.name)
    try:
        row = json.loads(base64.b64decode(encoded, validate=True))
        return _decode_row(key, row)
    except DECODE_ERRORS as error:
        reason = f'{key.subject} {key.name}: {describe_error(error)}'
        raise MalformedError(reason[:MAX_REASON_LENGTH]) from None


def decode_configuration(text: bytes) -> configs.Configuration:
    """Decode a configuration in JSON. Raises MalformedError."""
    key = facts.Key(facts.Subject.CONFIGURATION, '')
    decoded = decode_value(key, base64.b64encode(text).decode())
    assert isinstance(decoded, configs.Configuration)
    return decoded


def describe_error(error: Exception) -> str:
    """Describe a decoding error without the decoded text.

    The repr of a UnicodeError contains all of the input, including keys.
    """
    if isinstance(error, UnicodeError):
        return f'{type(error).__name__}()'
    return repr(error)


def encode_host(host: deployments.Host) -> tuple[str, str]:
    """Encode the key and value by which other hosts find this host."""
    row: dict[str, str | float] = {
        'address': host.address,
        'zone': host.data_centre,
    }
    row.update(capacities.encode_capacity(host.capacity))
    text = json.dumps(row)
    return f'{HOST_PREFIX}{host.name}', base64.b64encode(text.encode()).decode()


def encode_quarantine(report: suspects.News) -> tuple[str, str]:
    """Encode the key and value that announce a quarantine to all hosts."""
    text = json.dumps(suspect_codecs.encode_report(report))
    key = f'{QUARANTINE_PREFIX}{report.identity.digest}'
    return key, base64.b64encode(text.encode()).decode()


def _decode_row(key: facts.Key, row: Mapping[str, Any]) -> facts.Value:
    match key.subject:
        case facts.Subject.CONFIGURATION:
            return _decode_configuration(row)
        case facts.Subject.INSTANCE:
            return _decode_instance(key.name, row)
        case facts.Subject.QUARANTINE:
            return _decode_quarantine(key.name, row)
        case _:
            capacity = capacities.decode_capacity(row)
            return deployments.Host(
                key.name, row['address'], row['zone'], capacity
            )


def _decode_configuration(row: Mapping[str, Any]) -> configs.Configuration:
    return configs.Configuration(
        int(row['version']),
        tuple(_decode_route(route) for route in row['routes']),
        tuple(
            configs.Service(
                service['name'],
                int(service['max_connections']),
                _decode_rate(service.get('warmup_per_s', 0)),
            )
            for service in row['services']
        ),
        _decode_limits(row.get('limits', {})),
        tenants.decode_customers(row),
    )


def _decode_rate(value: object) -> float:
    """Decode a rate; one that is not finite and 0 or more is malformed.

    Fractions of the rate are later rounded to whole requests, which would fail
    for infinity or NaN.
    """
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        if math.isfinite(value) and value >= 0:
            return float(value)
    raise ValueError(f'not a rate: {value!r}')


def _decode_limits(row: Mapping[str, Any]) -> configs.Limits:
    defaults = configs.Limits()
    head_ms = row.get('header_timeout_ms', defaults.head * MS_PER_S)
    idle_ms = row.get('idle_timeout_ms', defaults.idle * MS_PER_S)
    return configs.Limits(
        int(row.get('max_header_bytes', defaults.head_bytes)),
        int(row.get('max_body_bytes', defaults.body_bytes)),
        head_ms / MS_PER_S,
        idle_ms / MS_PER_S,
    )


def _decode_route(row: Mapping[str, Any]) -> configs.Route:
    return configs.Route(
        row['name'],
        row['host'].lower(),
        row['prefix'],
        # The field `type` states only whether a request may be repeated.
        REPEAT_BY_TYPE[row['type']],
        row['timeout_ms'] / MS_PER_S,
        # Despite its name not a mean latency: a merged answer has its full
        # value only within this time.
        row['target_latency_ms'] / MS_PER_S,
        int(row.get('max_attempts', 1)),
        int(row.get('priority', 0)),
        _decode_action(row),
        tenants.decode_public(row),
    )


def _decode_action(row: Mapping[str, Any]) -> configs.RouteAction:
    match row:
        case {'gather': shards}:
            return configs.Gather(
                tuple(shards), int(row['top_k']), float(row['min_coverage'])
            )
        case {'traffic_split': parts}:
            return configs.Split(tuple(_decode_weighted(it) for it in parts))
    return configs.Single(row['service'])


def _decode_weighted(row: Mapping[str, Any]) -> configs.Weighted:
    return configs.Weighted(row['service'], float(row['weight']))


def _decode_instance(name: str, row: Mapping[str, Any]) -> instances.Instance:
    """Decode a target's entry, and check the type of each field.

    Other writers can put entries there. A value of a wrong type that is
    accepted here would raise an error when a query selects the target.
    """
    born_ms = _decode_integer(row.get('born', 0))
    slots = _decode_integer(row['slots'])
    if not slots:
        raise ValueError('no slots')
    return instances.Instance(
        instances.make_start_name(name, born_ms),
        name,
        _decode_text(row['service']),
        _decode_address(row['address']),
        _decode_text(row['zone']),
        slots,
        LEAVING_BY_STATE[row['state']],
        _decode_integer(row['warmup_left_ms']) / MS_PER_S,
        born_ms,
    )


def _decode_quarantine(digest: str, row: Mapping[str, Any]) -> suspects.News:
    report = suspect_codecs.decode_report(row)
    if report.identity.digest != digest:
        raise ValueError('the digest in the entry does not match its key')
    return report


def _decode_text(value: object) -> str:
    if isinstance(value, str) and value:
        return value
    raise ValueError(f'not a non-empty string: {value!r}')


def _decode_integer(value: object) -> int:
    # In Python bool is a subclass of int.
    if isinstance(value, int) and not isinstance(value, bool):
        if 0 <= value <= tenants.MAX_EXACT_INTEGER:
            return value
    raise ValueError(f'not an integer within bounds: {value!r}')


def _decode_address(value: object) -> str:
    ip, _, port = _decode_text(value).rpartition(':')
    ipaddress.IPv4Address(ip)
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f'not a port: {value!r}')
    return f'{ip}:{port}'
