"""Encode reports as the JSON that hosts send each other, and decode them."""

import json
import math
from collections.abc import Mapping
from typing import Any, Final, NotRequired, TypedDict

from fuchsiahaven.core import suspects
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.routing import (
    capacities,
    configs,
    deployments,
    facts,
    instances,
    suspect_codecs,
)

#: Leads of proofs are encoded in whole milliseconds, rounded down.
MS_PER_S: Final = 1000


class EncodedFact(TypedDict):
    """Hold the JSON form of a fact; `value` is null for a removal.

    `capacity` is that of a host. It stands beside the value, where hosts of the
    previous version ignore it, and is left out if unknown.
    """

    subject: str
    name: str
    revision: int
    value: Mapping[str, Any] | None
    born: int
    era: int
    capacity: NotRequired[float]


class EncodedProof(TypedDict):
    """Hold the JSON form of a proof; `lead` is in seconds."""

    lead: float
    era: int


class EncodedReport(TypedDict):
    """Hold the JSON form of a report; `age` is in seconds.

    `cursor` is an incarnation of the process and a position in it. Hosts of the
    previous version write no `era` and no `since`.
    """

    cursor: list[int]
    lost: bool
    revision: int
    whole: bool
    age: float
    era: int
    since: int
    facts: list[EncodedFact]
    proof: NotRequired[EncodedProof]


class MalformedReport(Exception):
    """Reject bytes that are not a valid report."""


def encode_report(report: facts.Report) -> bytes:
    """Encode a report."""
    encoded = EncodedReport(
        cursor=list(report.cursor),
        lost=report.store_lost,
        revision=report.revision,
        whole=report.full,
        age=round(report.age, 3),
        era=report.era,
        since=report.first_revision,
        facts=[_encode_fact(fact) for fact in report.facts],
    )
    if report.proof is not None:
        encoded['proof'] = _encode_proof(report.proof)
    return json.dumps(encoded, separators=(',', ':')).encode()


def decode_report(data: bytes) -> facts.Report:
    """Decode a report; raises MalformedReport."""
    try:
        return _decode_report(json.loads(data))
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedReport(str(error)) from error


def encode_cursor(cursor: facts.Cursor) -> str:
    """Encode a cursor for a query string."""
    return f'{cursor.incarnation}.{cursor.position}'


def decode_cursor(text: str) -> facts.Cursor:
    """Decode a cursor; an invalid one requests a full listing."""
    incarnation, _, position = text.partition('.')
    if incarnation.isdigit() and position.isdigit():
        return facts.Cursor(int(incarnation), int(position))
    return facts.START_CURSOR


def _encode_proof(proof: facts.Proof) -> EncodedProof:
    lead = math.floor(proof.lead_s * MS_PER_S) / MS_PER_S
    return EncodedProof(lead=lead, era=proof.era)


def _encode_fact(fact: facts.Fact) -> EncodedFact:
    encoded = EncodedFact(
        subject=fact.key.subject.value,
        name=fact.key.name,
        revision=fact.revision,
        value=None if fact.value is None else _encode_value(fact.value),
        born=fact.born,
        era=fact.era,
    )
    if isinstance(fact.value, deployments.Host):
        field = capacities.encode_capacity(fact.value.capacity)
        if field:
            encoded['capacity'] = field['capacity']
    return encoded


def _encode_value(value: facts.Value) -> Mapping[str, Any]:
    match value:
        case configs.Configuration():
            return _encode_configuration(value)
        case suspects.News():
            return {**suspect_codecs.encode_report(value)}
        case deployments.Host():
            encoded = value._asdict()
            encoded.pop('capacity')
            return encoded
        case _:
            return value._asdict()


def _encode_configuration(
    configuration: configs.Configuration,
) -> Mapping[str, Any]:
    """Encode a configuration; optional parts are left out where unused.

    Public routes are listed beside the routes, because hosts of the previous
    version reject a route with an additional field.
    """
    encoded: dict[str, Any] = {
        'version': configuration.version,
        'routes': [_encode_route(route) for route in configuration.routes],
        'services': [list(service) for service in configuration.services],
        'limits': list(configuration.limits),
    }
    public = [
        position
        for position, route in enumerate(configuration.routes)
        if route.public
    ]
    if public:
        encoded['public'] = public
    if configuration.customers is not None:
        encoded['customers'] = [list(it) for it in configuration.customers]
    return encoded


def _encode_route(route: configs.Route) -> Mapping[str, Any]:
    encoded = route._asdict()
    encoded['way'] = _encode_action(route.way)
    encoded.pop('public')
    return encoded


def _encode_action(action: configs.RouteAction) -> Mapping[str, Any]:
    match action:
        case configs.Single(service):
            return {'service': service}
        case configs.Split(parts):
            return {'split': [list(part) for part in parts]}
        case configs.Gather(shards, limit, coverage):
            return {'shards': shards, 'limit': limit, 'coverage': coverage}


def _decode_report(encoded: EncodedReport) -> facts.Report:
    return facts.Report(
        int(encoded['revision']),
        tuple(_decode_fact(row) for row in encoded['facts']),
        bool(encoded['whole']),
        float(encoded['age']),
        facts.Cursor(*[int(it) for it in encoded['cursor']]),
        bool(encoded['lost']),
        int(encoded.get('era', facts.NO_ERA)),
        int(encoded.get('since', 0)),
        _decode_proof(encoded.get('proof')),
    )


def _decode_proof(encoded: EncodedProof | None) -> facts.Proof | None:
    if encoded is None:
        return None
    return facts.Proof(float(encoded['lead']), int(encoded['era']))


def _decode_fact(row: EncodedFact) -> facts.Fact:
    key = facts.Key(facts.Subject(row['subject']), row['name'])
    encoded = row['value']
    value = None if encoded is None else _decode_value(key.subject, encoded)
    if isinstance(value, deployments.Host):
        value = value._replace(capacity=capacities.decode_capacity(row))
    era = int(row.get('era', facts.NO_ERA))
    return facts.Fact(key, int(row['revision']), value, int(row['born']), era)


def _decode_value(
    subject: facts.Subject, encoded: Mapping[str, Any]
) -> facts.Value:
    match subject:
        case facts.Subject.CONFIGURATION:
            return _decode_configuration(encoded)
        case facts.Subject.INSTANCE:
            return instances.Instance(**encoded)
        case facts.Subject.HOST:
            return deployments.Host(**encoded)
        case facts.Subject.EVACUATION:
            return deployments.Evacuation(**encoded)
        case facts.Subject.QUARANTINE:
            return suspect_codecs.decode_report(encoded)


def _decode_configuration(encoded: Mapping[str, Any]) -> configs.Configuration:
    public = set(encoded.get('public', ()))
    customers = encoded.get('customers')
    if customers is not None:
        customers = tuple(_decode_customer(*row) for row in customers)
    return configs.Configuration(
        encoded['version'],
        tuple(
            _decode_route(row, public=position in public)
            for position, row in enumerate(encoded['routes'])
        ),
        tuple(configs.Service(*row) for row in encoded['services']),
        configs.Limits(*encoded['limits']),
        customers,
    )


def _decode_customer(
    name: str, keys: list[str], *limits: Any
) -> configs.Customer:
    return configs.Customer(name, tuple(keys), *limits)


def _decode_route(row: Mapping[str, Any], *, public: bool) -> configs.Route:
    fields = {**row, 'way': _decode_action(row['way']), 'public': public}
    fields['repeat'] = configurations.Repeat(row['repeat'])
    return configs.Route(**fields)


def _decode_action(row: Mapping[str, Any]) -> configs.RouteAction:
    match row:
        case {'service': service}:
            return configs.Single(service)
        case {'split': parts}:
            return configs.Split(
                tuple(configs.Weighted(*part) for part in parts)
            )
    return configs.Gather(tuple(row['shards']), row['limit'], row['coverage'])
