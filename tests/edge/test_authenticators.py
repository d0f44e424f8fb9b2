"""Test that no request without a required key is admitted."""

from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import configurations, patches
from fuchsiahaven.core.customers import (
    authentication,
    customers,
    freshness,
    keys,
)
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import authenticators

SHOP: Final = customers.Customer('shop', (keys.compute_digest('k-shop'),), 0)
WITH_CUSTOMERS: Final = configurations.Configuration(
    2,
    classes=(
        configurations.RequestClass('search'),
        configurations.RequestClass('open', public=True),
    ),
    customers=(SHOP,),
)
QUERY: Final = messages.Query('id', 'search', {}, None, 1.0, 2.0)
VALID: Final = authenticators.parse_authorization('Bearer k-shop')
NO_KEY: Final = authenticators.parse_authorization('')


def make_authenticator(
    *configurations_seen: configurations.Configuration,
) -> authenticators.Authenticator:
    authenticator = authenticators.Authenticator(freshness.Freshness())
    for configuration in configurations_seen:
        authenticator.update_configuration(
            patches.stamp_configuration(configuration)
        )
    return authenticator


def get_kind(result: messages.Query | errors.Failure) -> errors.Kind:
    assert isinstance(result, errors.Failure)
    return result.kind


def test_names_the_customer_and_drops_the_key() -> None:
    result = make_authenticator(WITH_CUSTOMERS).admit(QUERY, VALID)
    assert result == QUERY._replace(customer='shop', priority=0, admitted=True)
    assert 'k-shop' not in str(result)


def test_refuses_what_is_no_valid_key() -> None:
    authenticator = make_authenticator(WITH_CUSTOMERS)
    headers = (
        '',
        'Bearer other',
        'Basic k-shop',
        'Bearer k-shop\nBearer k-shop',
    )
    for header in headers:
        result = authenticator.admit(
            QUERY, authenticators.parse_authorization(header)
        )
        assert get_kind(result) is errors.Kind.UNKNOWN_KEY
    assert authenticators.parse_authorization(
        'Bearer a b'
    ) == authentication.Credentials('', present=True)


def test_public_classes_need_no_key() -> None:
    authenticator = make_authenticator(WITH_CUSTOMERS)
    query = QUERY._replace(class_name='open')
    assert authenticator.admit(query, NO_KEY) == query._replace(admitted=True)
    named = authenticator.admit(query, VALID)
    assert isinstance(named, messages.Query)
    assert named.customer == 'shop'


def test_hides_unknown_classes_without_a_key() -> None:
    query = QUERY._replace(class_name='other')
    kind = get_kind(make_authenticator(WITH_CUSTOMERS).admit(query, NO_KEY))
    assert kind is errors.Kind.UNKNOWN_KEY


def test_leaves_queries_unchanged_without_customers() -> None:
    no_customers = WITH_CUSTOMERS._replace(customers=())
    assert make_authenticator().admit(QUERY, VALID) is QUERY
    assert make_authenticator(no_customers).admit(QUERY, VALID) is QUERY
    assert (
        make_authenticator(WITH_CUSTOMERS, no_customers).admit(QUERY, NO_KEY)
        is QUERY
    )


class LateConfiguration(freshness.Freshness):
    """Deliver a configuration while the age of the keys is read."""

    def __init__(self) -> None:
        """Start without a configuration to deliver."""
        super().__init__(5.0, self.arrive)
        self.authenticators: list[authenticators.Authenticator] = []

    @property
    def is_enforced(self) -> bool:
        """Return the value from before the configuration was delivered."""
        was_enforced = super().is_enforced
        self.arrive()
        return was_enforced

    def arrive(self) -> float:
        """Deliver the configuration once; return the time."""
        while self.authenticators:
            self.authenticators.pop().update_configuration(
                patches.stamp_configuration(WITH_CUSTOMERS)
            )
        return 100.0


def test_admits_no_key_while_customers_arrive() -> None:
    """Guard against an outdated first configuration during a decision."""
    key_freshness = LateConfiguration()
    authenticator = authenticators.Authenticator(key_freshness)
    key_freshness.authenticators.append(authenticator)
    result = authenticator.admit(QUERY, VALID)
    assert get_kind(result) is errors.Kind.STALE_KEYS


def test_refuses_a_removed_key_at_once() -> None:
    removed = WITH_CUSTOMERS._replace(
        revision=3, customers=(SHOP._replace(keys=()),)
    )
    result = make_authenticator(WITH_CUSTOMERS, removed).admit(QUERY, VALID)
    assert get_kind(result) is errors.Kind.UNKNOWN_KEY
