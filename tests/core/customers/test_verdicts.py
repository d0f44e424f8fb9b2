"""Check whose request it is, by any key that a caller may show."""

from typing import Final

from hypothesis import given
from hypothesis import strategies as st

from fuchsiahaven.core import errors
from fuchsiahaven.core.customers import customers, keys, verdicts

SHOP: Final = customers.Customer('shop', (keys.digest('k-shop'),), 2)
BANK: Final = customers.Customer('bank', (keys.digest('k-bank'),))
HOLDERS: Final = customers.index((SHOP, BANK))


def find(
    *fields: str, wait: float = 0.0, public: bool = False
) -> verdicts.Found:
    shown = verdicts.Shown(keys.read_shown(fields, 'bearer'), bool(fields))
    return verdicts.find_customer(HOLDERS, shown, wait, public=public)


def test_a_key_names_its_customer_in_any_case_of_the_scheme() -> None:
    assert find('Bearer k-shop') == SHOP
    assert find(' bEARER \t k-bank ') == BANK


OTHERS: Final = (
    ['Bearer k-shop', 'Bearer k-bank'],
    ['Bearer k-shop', 'Bearer k-shop'],
    ['Basic k-shop'],
    ['Bearer k-shop extra'],
    [f'Bearer {"k" * 8192}'],
    ['Bearer k-Shop'],
)


@given(
    st.sampled_from(OTHERS)
    | st.lists(st.text(st.characters(max_codepoint=255)), max_size=3)
)
def test_whatever_else_is_shown_is_refused_and_not_told(
    fields: list[str],
) -> None:
    """Guard against a key that is taken for another, or told to anybody."""
    found = find(*fields)
    assert isinstance(found, errors.Failure)
    assert (found.kind, found.ran) == (errors.Kind.UNKNOWN_KEY, errors.Ran.NO)
    assert found.detail in set(verdicts.Reason)
    assert find(*fields, public=True) is None


def test_a_class_that_is_public_names_who_shows_a_key() -> None:
    assert find('Bearer k-shop', public=True) == SHOP


def test_no_key_is_trusted_while_the_host_is_out_of_touch() -> None:
    """Guard against a withdrawn key on a host that has not heard of it."""
    found = find('Bearer k-shop', wait=0.5)
    assert isinstance(found, errors.Failure)
    assert found.kind is errors.Kind.STALE_KEYS
    assert found.retry_after == 0.5
    assert find('Bearer k-shop', wait=0.5, public=True) is None


def test_the_priority_of_a_customer_goes_before_the_usual_one() -> None:
    assert verdicts.find_priority(SHOP, 1) == 2
    assert verdicts.find_priority(BANK, 1) == 1
    assert verdicts.find_priority(SHOP._replace(priority=0), 1) == 0
