"""Keep which data centres operators have evacuated, and log each order."""

import time
from collections.abc import Collection, Mapping
from typing import Final, NamedTuple, TypedDict

from fuchsiahaven.relay import journal

PART: Final = 'evacuations'


class Order(NamedTuple):
    """Hold the store's revision of an order, and when this host learned it."""

    revision: int
    learned: float


class Told(TypedDict):
    """Tell of an order that is in force, for people."""

    revision: int
    for_s: float


class Evacuations:
    """Own the orders that this host knows to be in force."""

    def __init__(self, log: journal.Journal) -> None:
        """Start without an order."""
        self._log = log
        self._orders: dict[str, Order] = {}

    def take(
        self, orders: Mapping[str, int], data_centres: Collection[str]
    ) -> frozenset[str]:
        """Take the orders there are now; return the data centres they name.

        An order for a data centre that the deployment does not have keeps
        nothing from anybody, and is most likely a slip of whoever gave it.
        """
        now = time.monotonic()
        for name in self._orders.keys() - orders.keys():
            order = self._orders.pop(name)
            lasted = round(now - order.learned, 1)
            self._log.tell(PART, 'taken back', data_centre=name, lasted=lasted)
        for name in sorted(orders.keys() - self._orders.keys()):
            revision = orders[name]
            self._orders[name] = Order(revision, now)
            text = 'evacuated' if name in data_centres else 'nothing so named'
            self._log.tell(PART, text, data_centre=name, revision=revision)
        return frozenset(self._orders)

    def tell(self) -> Mapping[str, Told]:
        """Tell by which revision each is evacuated, and for how long."""
        now = time.monotonic()
        return {
            name: Told(
                revision=order.revision, for_s=round(now - order.learned, 1)
            )
            for name, order in sorted(self._orders.items())
        }
