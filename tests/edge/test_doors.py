"""Check that nothing gets past the door without a key where one is needed."""

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
from fuchsiahaven.edge import doors

SHOP: Final = customers.Customer('shop', (keys.compute_digest('k-shop'),), 0)
KEYED: Final = configurations.Configuration(
    2,
    classes=(
        configurations.RequestClass('search'),
        configurations.RequestClass('open', public=True),
    ),
    customers=(SHOP,),
)
QUERY: Final = messages.Query('id', 'search', {}, None, 1.0, 2.0)
GOOD: Final = doors.read_shown('Bearer k-shop')
NONE: Final = doors.read_shown('')


def open_door(*known: configurations.Configuration) -> doors.Door:
    door = doors.Door(freshness.Freshness())
    for configuration in known:
        door.note(patches.stamp_configuration(configuration))
    return door


def find_kind(found: messages.Query | errors.Failure) -> errors.Kind:
    assert isinstance(found, errors.Failure)
    return found.kind


def test_a_query_is_named_by_its_key_and_carries_no_key() -> None:
    found = open_door(KEYED).admit(QUERY, GOOD)
    assert found == QUERY._replace(customer='shop', priority=0, admitted=True)
    assert 'k-shop' not in str(found)


def test_what_is_no_valid_key_is_refused() -> None:
    door = open_door(KEYED)
    shown = ('', 'Bearer other', 'Basic k-shop', 'Bearer k-shop\nBearer k-shop')
    for told in shown:
        found = door.admit(QUERY, doors.read_shown(told))
        assert find_kind(found) is errors.Kind.UNKNOWN_KEY
    assert doors.read_shown('Bearer a b') == authentication.Credentials(
        '', present=True
    )


def test_public_classes_need_no_key() -> None:
    door = open_door(KEYED)
    query = QUERY._replace(class_name='open')
    assert door.admit(query, NONE) == query._replace(admitted=True)
    named = door.admit(query, GOOD)
    assert isinstance(named, messages.Query)
    assert named.customer == 'shop'


def test_an_unknown_class_is_not_told_to_who_has_no_key() -> None:
    query = QUERY._replace(class_name='other')
    kind = find_kind(open_door(KEYED).admit(query, NONE))
    assert kind is errors.Kind.UNKNOWN_KEY


def test_without_customers_a_query_stays_as_it_is() -> None:
    plain = KEYED._replace(customers=())
    assert open_door().admit(QUERY, GOOD) is QUERY
    assert open_door(plain).admit(QUERY, GOOD) is QUERY
    assert open_door(KEYED, plain).admit(QUERY, NONE) is QUERY


class Late(freshness.Freshness):
    """Have a configuration come once it was asked how old knowledge is."""

    def __init__(self) -> None:
        """Start with none on its way."""
        super().__init__(5.0, self.arrive)
        self.doors: list[doors.Door] = []

    @property
    def is_enforced(self) -> bool:
        """Tell what was true before it came."""
        was = super().is_enforced
        self.arrive()
        return was

    def arrive(self) -> float:
        """Bring the configuration, once; return the time."""
        while self.doors:
            self.doors.pop().note(patches.stamp_configuration(KEYED))
        return 100.0


def test_customers_that_come_meanwhile_let_nobody_in_unproved() -> None:
    """Guard against a first table, maybe old, that comes amid a decision."""
    known = Late()
    door = doors.Door(known)
    known.doors.append(door)
    found = door.admit(QUERY, GOOD)
    assert find_kind(found) is errors.Kind.STALE_KEYS


def test_a_key_that_was_taken_away_is_unknown_at_once() -> None:
    taken = KEYED._replace(revision=3, customers=(SHOP._replace(keys=()),))
    found = open_door(KEYED, taken).admit(QUERY, GOOD)
    assert find_kind(found) is errors.Kind.UNKNOWN_KEY
