"""Let callers' requests in, by the customers of the configuration in force."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import patches
from fuchsiahaven.core.customers import customers, keys, verdicts
from fuchsiahaven.core.targets import messages

#: How callers show their keys, in any case.
SCHEME: Final = 'bearer'
#: Parts the fields of a request that shows more than one.
FIELD_END: Final = '\n'


class Table(NamedTuple):
    """Hold what one configuration says of customers, by digests of keys."""

    stamp: patches.Stamp
    known: tuple[customers.Customer, ...]
    holders: Mapping[str, customers.Customer]
    public: frozenset[str]


class Door:
    """Own the table in force; any thread may call this."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self._table: Table | None = None

    def note(self, stamped: patches.Stamped) -> None:
        """Take in the configuration in force.

        This comes before the dispatch is told, which refuses until then.
        """
        configuration = stamped.configuration
        known = configuration.customers
        self._table = Table(
            stamped.stamp,
            known,
            customers.index(known),
            frozenset(it.name for it in configuration.classes if it.public),
        )

    def admit(
        self, query: messages.Query, shown: verdicts.Shown
    ) -> messages.Query | errors.Failure:
        """Name the customer of a query, or say why it is refused.

        Where callers need no key it stays as it is. The dispatch refuses it if
        that has changed by then.
        """
        table = self._table
        if table is None or not table.known:
            return query
        public = query.class_name in table.public
        found = verdicts.find_customer(table.holders, shown, 0.0, public=public)
        if isinstance(found, errors.Failure):
            return found
        if found is None:
            return query._replace(admitted=True)
        return query._replace(
            admitted=True, customer=found.name, priority=found.priority
        )


def read_shown(told: str) -> verdicts.Shown:
    """Read what a caller shows as its key, empty where that is nothing."""
    fields = told.split(FIELD_END) if told else []
    return verdicts.Shown(keys.read_shown(fields, SCHEME), bool(told))
