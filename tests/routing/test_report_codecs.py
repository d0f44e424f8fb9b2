"""Test the encoding of reports between hosts."""

import json
from typing import Any

from fuchsiahaven.routing import configs, facts, report_codecs
from tests.routing import router_rig

ROUTE = router_rig.make_route(configs.Single('one'))
PUBLIC = router_rig.make_route(configs.Single('two'), prefix='/public/')
CUSTOMERS = (
    configs.Customer('shop', ('12ab', '34cd'), 0, 2.5, 4.0),
    configs.Customer('bank'),
)
#: A route as hosts of the previous version encode it.
ENCODED_ROUTE = {
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
        9, (facts.Fact(key, 4, configuration),), full=True, age=0.5
    )


def encode_configuration(report: facts.Report) -> dict[str, Any]:
    """Encode a report; return the JSON of its configuration."""
    row = json.loads(report_codecs.encode_report(report))
    value: dict[str, Any] = row['facts'][0]['value']
    return value


def test_encodes_customers_and_public_routes() -> None:
    """Decoding restores the report, also if no key is valid or needed."""
    routes = (ROUTE, PUBLIC._replace(public=True))
    for customers in (CUSTOMERS, (), None):
        report = make_report(routes, customers)
        assert (
            report_codecs.decode_report(report_codecs.encode_report(report))
            == report
        )


def test_keeps_the_old_encoding_without_customers() -> None:
    """Guard against reports that hosts of the previous version reject.

    They accept no route with a field that they do not know.
    """
    encoded = encode_configuration(make_report((ROUTE,), None))
    assert encoded == {
        'version': 3,
        'routes': [ENCODED_ROUTE],
        'services': [['one', 26, 0.0]],
        'limits': list(configs.Limits()),
    }
    public = ROUTE._replace(public=True)
    assert encode_configuration(make_report((public,), ()))['routes'] == [
        ENCODED_ROUTE
    ]


def test_decodes_a_report_of_the_previous_version() -> None:
    """It has neither customers nor public routes."""
    report = make_report((ROUTE,), None)
    row = json.loads(report_codecs.encode_report(report))
    assert row['facts'][0]['value'].keys().isdisjoint(('customers', 'public'))
    assert report_codecs.decode_report(json.dumps(row).encode()) == report


def test_rounds_the_lead_of_a_proof_down() -> None:
    """Guard against proofs that seem more recent with each hop."""
    report = make_report((ROUTE,), CUSTOMERS)
    for lead, rounded in ((-0.2001, -0.201), (0.3009, 0.3)):
        proof = facts.Proof(lead, 2)
        decoded = report_codecs.decode_report(
            report_codecs.encode_report(report._replace(proof=proof))
        )
        assert decoded.proof == facts.Proof(rounded, 2)
    assert 'proof' not in json.loads(report_codecs.encode_report(report))
