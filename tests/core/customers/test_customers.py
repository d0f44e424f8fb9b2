"""Test the validation of customers."""

from fuchsiahaven.core.customers import customers

SHOP = customers.Customer('shop', ('a', 'b'))


def test_distinct_customers_have_no_fault() -> None:
    assert customers.find_fault(()) is None
    bank = customers.Customer('bank', ('c',))
    assert customers.find_fault((SHOP, bank)) is None
    assert customers.index_by_key((SHOP, bank))['b'] == SHOP


def test_duplicate_names_and_shared_keys_are_faults() -> None:
    """Guard against a key whose customer depends on their order."""
    twice = customers.find_fault((SHOP, SHOP._replace(keys=())))
    assert twice == "customer 'shop' is there twice"
    bank = customers.Customer('bank', ('b',))
    shared = customers.find_fault((SHOP, bank))
    assert shared == "customers 'shop' and 'bank' hold one key"


def test_quantities_and_priorities_are_bounded() -> None:
    good = (0, 0.5, 7, 1e9)
    assert all(customers.is_valid_quantity(it) for it in good)
    bad = (-1, -0.1, float('nan'), float('inf'), True, '7', None, 1e300)
    assert not any(customers.is_valid_quantity(it) for it in bad)
    assert customers.is_valid_priority(0)
    assert not any(
        customers.is_valid_priority(it) for it in (-1, 0.5, True, '0')
    )
