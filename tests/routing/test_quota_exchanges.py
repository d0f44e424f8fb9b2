"""Test that requests wait for a word about their customer, and go on by it."""

import itertools
from typing import Final

import pytest

from fuchsiahaven.core import errors
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import (
    configs,
    events,
    places,
    quota_exchanges,
    quota_shares,
    quota_silences,
    quota_words,
    quotas,
)
from tests.routing import desk_rig, quota_rig

ROUTE: Final = desk_rig.make_route(configs.Single('records'), prefix='/one/')
OTHERS: Final = tuple(
    places.Host(
        f'other-{number}',
        f'10.0.1.{number}:7000',
        ('north', 'south', 'east')[number % 3],
    )
    for number in range(9)
)


def find_customer() -> configs.Customer:
    """Find a customer that three other hosts count."""
    for number in itertools.count():
        name = f'shop-{number}'
        counters = quota_shares.find_places(name, desk_rig.HOST, OTHERS)
        if len(set(counters.targets) - {desk_rig.HOST}) == 3:
            break
    return configs.Customer(name, ('digest',), rate=10.0, burst=10.0)


CUSTOMER: Final = find_customer()


def make_rig(*, first: bool, targets: int = 2) -> desk_rig.Rig:
    """Make a host with a customer; one that is not the first start is young."""
    found = desk_rig.make_instances(('records',), targets)
    rig = desk_rig.Rig((), found)
    born = float('-inf') if first else rig.now
    terms = quotas.Terms(quota_rig.TERMS, 2, 1, born)
    rig.desk.controls.quotas.begin(terms)
    rig.configure(2, (ROUTE,), (CUSTOMER,))
    rig.post(events.Counted(len(OTHERS) + 1, OTHERS))
    rig.others.clear()
    return rig


def ask(rig: desk_rig.Rig, number: int = 1) -> int:
    """Bring a request of the customer."""
    request = events.Request(
        f'id-{number}',
        'GET',
        f'/one/{number}',
        'shop.example',
        (),
        b'',
        rig.now,
        rig.now + 0.8,
        key='digest',
    )
    return rig.bring(request)


def list_told(rig: desk_rig.Rig) -> list[quota_words.Tell]:
    """List what was told to other hosts."""
    return [it for it in rig.others if isinstance(it, quota_words.Tell)]


def make_verdict(
    told: quota_words.Tell, *, granted: bool, sure: bool = True
) -> quota_words.Heard:
    """Answer an ask for the host that it went to."""
    asked = told.word
    assert isinstance(asked, quota_words.Usage)
    name = next(it.name for it in OTHERS if it.address == told.address)
    return quota_words.Heard(
        quota_words.Verdict(
            CUSTOMER.name,
            name,
            asked.serial,
            asked.about,
            granted,
            sure,
            61,
            60.0,
            0 if granted else 1.5,
            asking=True,
        ),
        told.address,
    )


def test_far_from_the_limit_a_request_is_sent_at_once() -> None:
    """Symptom: each request waits for a round trip to another host."""
    rig = make_rig(first=True)
    ask(rig)
    assert len(rig.take_sent()) == 1
    words = [it.word for it in list_told(rig)]
    assert {
        it.purpose for it in words if isinstance(it, quota_words.Usage)
    } == {quota_words.Purpose.REPORT}


def test_a_request_that_waited_is_sent_when_it_is_granted() -> None:
    """Symptom: a request that waits for a word is forgotten."""
    rig = make_rig(first=False)
    ask(rig)
    assert not rig.take_sent()
    rig.post(make_verdict(list_told(rig)[0], granted=True))
    assert len(rig.take_sent()) == 1


def test_a_refusal_says_when_there_is_room() -> None:
    """Symptom: callers come back at once, or never."""
    rig = make_rig(first=False)
    ask(rig)
    rig.post(make_verdict(list_told(rig)[0], granted=False))
    outcome = rig.take_outcome()
    assert isinstance(outcome, errors.Failure)
    assert outcome.kind is errors.Kind.OVER_QUOTA
    assert outcome.ran is errors.Ran.NO
    assert outcome.retry_after == pytest.approx(1.52)
    (refusal,) = [
        it for it in rig.others if isinstance(it, quota_words.Refusal)
    ]
    assert (refusal.customer, refusal.counted) == (CUSTOMER.name, 61)
    assert not rig.take_sent()


def test_without_any_word_a_request_is_refused_within_its_time() -> None:
    """Symptom: a host that is cut off holds requests to their deadline."""
    rig = make_rig(first=False)
    began = rig.now
    ask(rig)
    while not rig.replies:
        rig.pass_time(0.01)
    assert rig.now - began < quota_exchanges.LAST_S + 0.03
    assert not rig.take_sent()


def test_a_token_of_one_that_is_not_sure_is_taken_only_after_a_while() -> None:
    """Symptom: tokens for cut-off data centres are spent where all is well."""
    rig = make_rig(first=False)
    ask(rig)
    rig.post(make_verdict(list_told(rig)[0], granted=True, sure=False))
    assert not rig.take_sent()
    rig.pass_time(quota_exchanges.SURE_S + 0.001)
    assert len(rig.take_sent()) == 1


def test_nothing_is_sent_for_a_caller_that_left_while_it_waited() -> None:
    """Symptom: a request runs whose caller left before it was admitted."""
    rig = make_rig(first=False)
    number = ask(rig)
    told = list_told(rig)[0]
    rig.post(events.Abandoned(number))
    rig.post(make_verdict(told, granted=True))
    rig.pass_time(1)
    assert not rig.take_sent()
    assert not rig.replies


def find_admitted(rig: desk_rig.Rig) -> int:
    """Count the admissions that the host told last."""
    words = [it.word for it in list_told(rig)]
    last = [it for it in words if isinstance(it, quota_words.Usage)][-1]
    return len(last.admitted)


def test_what_no_target_could_take_is_not_charged() -> None:
    """Symptom: a customer pays for requests that were refused unsent."""
    rig = make_rig(first=True, targets=0)
    ask(rig)
    outcome = rig.take_outcome()
    assert isinstance(outcome, errors.Failure)
    assert outcome.ran is errors.Ran.NO
    assert not find_admitted(rig)


def test_what_every_target_refused_is_not_charged() -> None:
    """Symptom: a customer pays for requests that targets turned away."""
    rig = make_rig(first=True)
    ask(rig)
    assert find_admitted(rig) == 1
    while not rig.replies:
        for send in rig.take_sent():
            rig.refuse(send, messages.RefusalReason.SHED)
        rig.pass_time(0.01)
    assert not find_admitted(rig)


def test_a_silent_counter_makes_a_host_ask_for_all_customers() -> None:
    """Symptom: a host that lost touch admits one request of each customer."""
    rig = make_rig(first=True)
    ask(rig)
    rig.take_sent()
    rig.pass_time(quota_silences.SILENT_S + 0.01)
    ask(rig, 2)
    sent = [it.request.request_id for it in rig.take_sent()]
    assert 'id-2' not in sent


def test_without_customers_nothing_is_told() -> None:
    """Symptom: deployments without customers pay for those that have some."""
    rig = desk_rig.Rig((ROUTE,), desk_rig.make_instances(('records',)))
    rig.desk.controls.quotas.begin(quotas.Terms(quota_rig.TERMS, 2, 1, 0))
    rig.post(events.Counted(len(OTHERS) + 1, OTHERS))
    rig.ask('/one/1')
    assert len(rig.take_sent()) == 1
    assert not list_told(rig)
