"""Write facts as the JSON that hosts send each other, and read them."""

import json
import math
from collections.abc import Mapping
from typing import Any, Final, NotRequired, TypedDict

from fuchsiahaven.core import suspects
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.routing import (
    capacities,
    configs,
    facts,
    instances,
    places,
    suspect_codecs,
)

#: A proof is written in thousandths of a second, rounded to the safe side.
THOUSANDTHS: Final = 1000


class WrittenFact(TypedDict):
    """Hold one fact on the wire; `value` is null where it is gone.

    `capacity` is a host's. It stands beside the value, where hosts of the
    version before pass over it, and is left out where it is not told.
    """

    subject: str
    name: str
    revision: int
    value: Mapping[str, Any] | None
    born: int
    era: int
    capacity: NotRequired[float]


class WrittenProof(TypedDict):
    """Hold a proof on the wire; `lead` is in seconds."""

    lead: float
    era: int


class WrittenReport(TypedDict):
    """Hold a report on the wire; `age` is in seconds.

    `cursor` is the process's life and a place in it. Hosts of the version
    before write no `era` and no `since`.
    """

    cursor: list[int]
    lost: bool
    revision: int
    whole: bool
    age: float
    era: int
    since: int
    facts: list[WrittenFact]
    proof: NotRequired[WrittenProof]


class Malformed(Exception):
    """Report bytes that are no report."""


def write_report(report: facts.Report) -> bytes:
    """Write a report."""
    written = WrittenReport(
        cursor=list(report.cursor),
        lost=report.lost,
        revision=report.revision,
        whole=report.whole,
        age=round(report.age, 3),
        era=report.era,
        since=report.since,
        facts=[_write_fact(fact) for fact in report.facts],
    )
    if report.proof is not None:
        written['proof'] = _write_proof(report.proof)
    return json.dumps(written, separators=(',', ':')).encode()


def read_report(text: bytes) -> facts.Report:
    """Read a report; raises Malformed."""
    try:
        return _read_report(json.loads(text))
    except (ValueError, KeyError, TypeError) as error:
        raise Malformed(str(error)) from error


def write_cursor(cursor: facts.Cursor) -> str:
    """Write a cursor as part of a query."""
    return f'{cursor.life}.{cursor.place}'


def read_cursor(text: str) -> facts.Cursor:
    """Read a cursor; what is none asks for everything."""
    life, _, place = text.partition('.')
    if life.isdigit() and place.isdigit():
        return facts.Cursor(int(life), int(place))
    return facts.START


def _write_proof(proof: facts.Proof) -> WrittenProof:
    lead = math.floor(proof.lead_s * THOUSANDTHS) / THOUSANDTHS
    return WrittenProof(lead=lead, era=proof.era)


def _write_fact(fact: facts.Fact) -> WrittenFact:
    written = WrittenFact(
        subject=fact.key.subject.value,
        name=fact.key.name,
        revision=fact.revision,
        value=None if fact.value is None else _write_value(fact.value),
        born=fact.born,
        era=fact.era,
    )
    if isinstance(fact.value, places.Host):
        told = capacities.write(fact.value.capacity)
        if told:
            written['capacity'] = told['capacity']
    return written


def _write_value(known: facts.Value) -> Mapping[str, Any]:
    match known:
        case configs.Configuration():
            return _write_configuration(known)
        case suspects.SuspectReport():
            return {**suspect_codecs.write_news(known)}
        case places.Host():
            written = known._asdict()
            written.pop('capacity')
            return written
        case _:
            return known._asdict()


def _write_configuration(
    configuration: configs.Configuration,
) -> Mapping[str, Any]:
    """Write a configuration; what only some have is left out of others.

    The public routes stand beside the routes: hosts of the version before
    take no route with a field more.
    """
    written: dict[str, Any] = {
        'version': configuration.version,
        'routes': [_write_route(route) for route in configuration.routes],
        'services': [list(service) for service in configuration.services],
        'limits': list(configuration.limits),
    }
    public = [
        place
        for place, route in enumerate(configuration.routes)
        if route.public
    ]
    if public:
        written['public'] = public
    if configuration.customers is not None:
        written['customers'] = [list(it) for it in configuration.customers]
    return written


def _write_route(route: configs.Route) -> Mapping[str, Any]:
    written = route._asdict()
    written['way'] = _write_way(route.way)
    written.pop('public')
    return written


def _write_way(way: configs.Way) -> Mapping[str, Any]:
    match way:
        case configs.Single(service):
            return {'service': service}
        case configs.Split(parts):
            return {'split': [list(part) for part in parts]}
        case configs.Gather(shards, limit, coverage):
            return {'shards': shards, 'limit': limit, 'coverage': coverage}


def _read_report(written: WrittenReport) -> facts.Report:
    return facts.Report(
        int(written['revision']),
        tuple(_read_fact(row) for row in written['facts']),
        bool(written['whole']),
        float(written['age']),
        facts.Cursor(*[int(it) for it in written['cursor']]),
        bool(written['lost']),
        int(written.get('era', facts.NO_ERA)),
        int(written.get('since', 0)),
        _read_proof(written.get('proof')),
    )


def _read_proof(written: WrittenProof | None) -> facts.Proof | None:
    if written is None:
        return None
    return facts.Proof(float(written['lead']), int(written['era']))


def _read_fact(row: WrittenFact) -> facts.Fact:
    key = facts.Key(facts.Subject(row['subject']), row['name'])
    written = row['value']
    read = None if written is None else _read_value(key.subject, written)
    if isinstance(read, places.Host):
        read = read._replace(capacity=capacities.read(row))
    era = int(row.get('era', facts.NO_ERA))
    return facts.Fact(key, int(row['revision']), read, int(row['born']), era)


def _read_value(
    subject: facts.Subject, written: Mapping[str, Any]
) -> facts.Value:
    match subject:
        case facts.Subject.CONFIGURATION:
            return _read_configuration(written)
        case facts.Subject.INSTANCE:
            return instances.Instance(**written)
        case facts.Subject.HOST:
            return places.Host(**written)
        case facts.Subject.EVACUATION:
            return places.Evacuation(**written)
        case facts.Subject.QUARANTINE:
            return suspect_codecs.read_news(written)


def _read_configuration(written: Mapping[str, Any]) -> configs.Configuration:
    public = set(written.get('public', ()))
    customers = written.get('customers')
    if customers is not None:
        customers = tuple(_read_customer(*row) for row in customers)
    return configs.Configuration(
        written['version'],
        tuple(
            _read_route(row, public=place in public)
            for place, row in enumerate(written['routes'])
        ),
        tuple(configs.Service(*row) for row in written['services']),
        configs.Limits(*written['limits']),
        customers,
    )


def _read_customer(
    name: str, keys: list[str], *figures: Any
) -> configs.Customer:
    return configs.Customer(name, tuple(keys), *figures)


def _read_route(row: Mapping[str, Any], *, public: bool) -> configs.Route:
    read = {**row, 'way': _read_way(row['way']), 'public': public}
    read['repeat'] = configurations.Repeat(row['repeat'])
    return configs.Route(**read)


def _read_way(row: Mapping[str, Any]) -> configs.Way:
    match row:
        case {'service': service}:
            return configs.Single(service)
        case {'split': parts}:
            return configs.Split(
                tuple(configs.Weighted(*part) for part in parts)
            )
    return configs.Gather(tuple(row['shards']), row['limit'], row['coverage'])
