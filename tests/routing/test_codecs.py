"""Test how hosts write configurations for each other."""

import json
from typing import Any

from fuchsiahaven.routing import codecs, configs, facts
from tests.routing import router_rig

ROUTE = router_rig.make_route(configs.Single('one'))
PUBLIC = router_rig.make_route(configs.Single('two'), prefix='/public/')
CUSTOMERS = (
    configs.Customer('shop', ('12ab', '34cd'), 0, 2.5, 4.0),
    configs.Customer('bank'),
)
#: A route as hosts of the version before write it.
WRITTEN = {
    'name': 'route /search/',
    'host': 'shop.example',
    'prefix': '/search/',
    'repeat': 'idempotent',
    'timeout': 0.8,
    'objective': 0.1,
    'attempts': 2,
    'priority': 1,
    'way': {'service': 'one'},
}


def make_report(
    routes: tuple[configs.Route, ...],
    customers: tuple[configs.Customer, ...] | None,
) -> facts.Report:
    """Make a report of one configuration."""
    configuration = configs.Configuration(
        3, routes, (configs.Service('one', 26),), configs.Limits(), customers
    )
    key = facts.Key(facts.Subject.CONFIGURATION, '')
    return facts.Report(
        9, (facts.Fact(key, 4, configuration),), whole=True, age=0.5
    )


def write(report: facts.Report) -> dict[str, Any]:
    """Write a report; return its configuration as it is on the wire."""
    row = json.loads(codecs.write_report(report))
    found: dict[str, Any] = row['facts'][0]['value']
    return found


def test_passes_customers_and_public_routes_on() -> None:
    """Nothing is lost between hosts, also where no key is valid."""
    routes = (ROUTE, PUBLIC._replace(public=True))
    for customers in (CUSTOMERS, (), None):
        report = make_report(routes, customers)
        assert codecs.read_report(codecs.write_report(report)) == report


def test_writes_what_it_wrote_before_where_there_are_no_customers() -> None:
    """Symptom: a host of the version before reads no report any more.

    It takes no route with a field that it does not know.
    """
    written = write(make_report((ROUTE,), None))
    assert written == {
        'version': 3,
        'routes': [WRITTEN],
        'services': [['one', 26, 0.0]],
        'limits': list(configs.Limits()),
    }
    public = ROUTE._replace(public=True)
    assert write(make_report((public,), ()))['routes'] == [WRITTEN]


def test_reads_what_a_host_of_the_version_before_writes() -> None:
    """It names neither customers nor public routes."""
    report = make_report((ROUTE,), None)
    row = json.loads(codecs.write_report(report))
    assert row['facts'][0]['value'].keys().isdisjoint(('customers', 'public'))
    assert codecs.read_report(json.dumps(row).encode()) == report


def test_writes_a_proof_rounded_to_the_safe_side() -> None:
    """Symptom: knowledge of keys seems fresher than it is, with each hop."""
    report = make_report((ROUTE,), CUSTOMERS)
    for lead, told in ((-0.2001, -0.201), (0.3009, 0.3)):
        proof = facts.Proof(lead, 2)
        read = codecs.read_report(
            codecs.write_report(report._replace(proof=proof))
        )
        assert read.proof == facts.Proof(told, 2)
    assert 'proof' not in json.loads(codecs.write_report(report))
