"""Test which customer a request belongs to, by the credentials it presents."""

from typing import Final

from hypothesis import given
from hypothesis import strategies as st

from fuchsiahaven.core import errors
from fuchsiahaven.core.customers import authentication, customers, keys

SHOP: Final = customers.Customer('shop', (keys.compute_digest('k-shop'),), 2)
BANK: Final = customers.Customer('bank', (keys.compute_digest('k-bank'),))
CUSTOMERS_BY_KEY: Final = customers.index_by_key((SHOP, BANK))


def authenticate(
    *fields: str, wait_s: float = 0.0, public: bool = False
) -> authentication.AuthenticationResult:
    credentials = authentication.Credentials(
        keys.parse_key_digest(fields, 'bearer'), bool(fields)
    )
    return authentication.authenticate(
        CUSTOMERS_BY_KEY, credentials, wait_s, public=public
    )


def test_a_key_names_its_customer_in_any_case_of_the_scheme() -> None:
    assert authenticate('Bearer k-shop') == SHOP
    assert authenticate(' bEARER \t k-bank ') == BANK


INVALID_CREDENTIALS: Final = (
    ['Bearer k-shop', 'Bearer k-bank'],
    ['Bearer k-shop', 'Bearer k-shop'],
    ['Basic k-shop'],
    ['Bearer k-shop extra'],
    [f'Bearer {"k" * 8192}'],
    ['Bearer k-Shop'],
)


@given(
    st.sampled_from(INVALID_CREDENTIALS)
    | st.lists(st.text(st.characters(max_codepoint=255)), max_size=3)
)
def test_invalid_credentials_are_refused_and_not_echoed(
    fields: list[str],
) -> None:
    """Guard against a key taken for another, or revealed in a message."""
    result = authenticate(*fields)
    assert isinstance(result, errors.Failure)
    assert (result.kind, result.ran) == (errors.Kind.UNKNOWN_KEY, errors.Ran.NO)
    assert result.detail in set(authentication.RefusalReason)
    assert authenticate(*fields, public=True) is None


def test_a_public_class_still_identifies_customers() -> None:
    assert authenticate('Bearer k-shop', public=True) == SHOP


def test_no_key_is_trusted_while_keys_are_stale() -> None:
    """Guard against a removed key on a host that does not know of it yet."""
    result = authenticate('Bearer k-shop', wait_s=0.5)
    assert isinstance(result, errors.Failure)
    assert result.kind is errors.Kind.STALE_KEYS
    assert result.retry_after == 0.5
    assert authenticate('Bearer k-shop', wait_s=0.5, public=True) is None


def test_the_priority_of_a_customer_overrides_the_default() -> None:
    assert authentication.get_priority(SHOP, 1) == 2
    assert authentication.get_priority(BANK, 1) == 1
    assert authentication.get_priority(SHOP._replace(priority=0), 1) == 0
