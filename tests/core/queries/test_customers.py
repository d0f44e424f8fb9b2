"""Test the queries of customers."""

from typing import Any, Final

import pytest

from fuchsiahaven.core import coverage, errors
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.customers import customers
from fuchsiahaven.core.queries import records
from fuchsiahaven.core.targets import messages
from tests.core import rig

CLASS: Final = configurations.RequestClass('c')
AT_MOST_ONCE: Final = configurations.RequestClass(
    'c',
    needs=configurations.Needs.COMPLETE,
    repeat=configurations.Repeat.AT_MOST_ONCE,
    fan_out=configurations.FanOut.KEYED,
    hedge_share=0.0,
)


def make_host(request_class: configurations.RequestClass) -> rig.Rig:
    host = rig.Rig(request_class, shards=1)
    keyed = host.configuration._replace(
        revision=2, customers=(customers.Customer('shop'),)
    )
    host.handle(messages.ConfigurationReceived(keyed))
    return host


def make_query(host: rig.Rig, **fields: Any) -> messages.Query:
    query = messages.Query('id', 'c', {}, 'k', host.now, host.now + 1)
    return query._replace(**fields)


def test_the_customer_name_is_sent_to_each_target() -> None:
    host = make_host(CLASS)
    query = make_query(host, customer='shop', admitted=True)
    actions = host.handle(messages.QuerySubmitted(1, query))
    names = [
        it.request.customer for it in actions if isinstance(it, messages.Send)
    ]
    assert names == ['shop']


def test_a_query_without_an_admitted_key_does_not_run() -> None:
    """Guard against a query that arrived before its caller needed a key.

    The callers' threads and the dispatch receive a configuration at different
    times.
    """
    host = make_host(CLASS)
    (reply,) = host.handle(messages.QuerySubmitted(1, make_query(host)))
    assert isinstance(reply, messages.Reply)
    assert isinstance(reply.outcome, errors.Failure)
    assert reply.outcome.kind is errors.Kind.NOT_READY
    assert reply.outcome.ran is errors.Ran.NO


@pytest.mark.parametrize(
    ('customer', 'replayed'), [('shop', True), ('bank', False), ('', False)]
)
def test_a_recorded_answer_is_replayed_to_its_customer_only(
    customer: str, *, replayed: bool
) -> None:
    """Guard against a customer that uses the request id of another."""
    host = make_host(AT_MOST_ONCE)
    query = make_query(host, customer=customer, admitted=True)
    host.handle(messages.QuerySubmitted(1, query))
    answer = messages.Answer(
        'id', (), {}, coverage.build_coverage((), set(), {}), 1
    )
    settled = messages.ClaimSettled(
        1,
        messages.ClaimResult.HELD,
        outcome=records.encode_answer(answer, 'shop'),
        completed=True,
    )
    (reply,) = [
        it for it in host.handle(settled) if isinstance(it, messages.Reply)
    ]
    assert reply.replayed is replayed
    if not replayed:
        assert isinstance(reply.outcome, errors.Failure)
        assert reply.outcome.kind is errors.Kind.DUPLICATE_REQUEST
        assert reply.outcome.ran is errors.Ran.YES


def test_a_customer_priority_overrides_that_of_the_class() -> None:
    """Guard against queueing a customer by the priority of the class."""
    host = make_host(CLASS)
    for token in range(1, 40):
        query = make_query(host, admitted=True, deadline=host.now + 100)
        host.handle(messages.QuerySubmitted(token, query))
    query = make_query(host, admitted=True, deadline=host.now + 100, priority=0)
    host.handle(messages.QuerySubmitted(40, query))
    (admitted,) = host._state.tables.admissions.values()
    assert admitted.running
    lanes = [[it.token for it in lane] for lane in admitted.queue.lanes]
    assert lanes[0] == [40]
    assert lanes[1]
