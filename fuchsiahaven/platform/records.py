"""Decode what operators, targets and hosts keep in the platform's store."""

import base64
import json
from collections.abc import Mapping
from typing import Any, Final

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.routing import configs, facts, instances, places

CONFIGURATION: Final = 'op/config'
INSTANCES: Final = 'servers/'
HOSTS: Final = 'fuchsiahaven/hosts/'
MILLISECONDS: Final = 1000
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
    return None


def read_value(key: facts.Key, encoded: str) -> facts.Value:
    """Decode the value of a key; raises Malformed."""
    try:
        row = json.loads(base64.b64decode(encoded, validate=True))
        return _read_value(key, row)
    except (ValueError, KeyError, TypeError) as error:
        raise Malformed(f'{key.subject} {key.name}: {error!r}') from error


def write_host(host: places.Host) -> tuple[str, str]:
    """Write the key and the value by which other hosts find this one."""
    text = json.dumps({'address': host.address, 'zone': host.data_centre})
    return f'{HOSTS}{host.name}', base64.b64encode(text.encode()).decode()


def _read_value(key: facts.Key, row: Mapping[str, Any]) -> facts.Value:
    match key.subject:
        case facts.Subject.CONFIGURATION:
            return _read_configuration(row)
        case facts.Subject.INSTANCE:
            return _read_instance(key.name, row)
        case facts.Subject.HOST:
            return places.Host(key.name, row['address'], row['zone'])


def _read_configuration(row: Mapping[str, Any]) -> configs.Configuration:
    return configs.Configuration(
        int(row['version']),
        tuple(_read_route(route) for route in row['routes']),
        tuple(
            configs.Service(service['name'], int(service['max_connections']))
            for service in row['services']
        ),
        _read_limits(row.get('limits', {})),
    )


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
    )


def _read_way(row: Mapping[str, Any]) -> configs.Way:
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
    return instances.Instance(
        name,
        row['service'],
        row['address'],
        row['zone'],
        int(row.get('slots', 1)),
        # Also true of a state that these pages do not name.
        row['state'] != 'ready',
        # The figure counts down; only whether it is over matters here.
        row.get('warmup_left_ms', 0) > 0,
    )
