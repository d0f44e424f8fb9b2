"""Keep which data centres operators have evacuated, and log each order."""

import time
from collections.abc import Collection, Mapping
from typing import Final, NamedTuple, TypedDict

from fuchsiahaven.relay import journal

PART: Final = 'evacuations'


class EvacuationOrder(NamedTuple):
    """Hold the store's revision of an order, and when this host learned it."""

    revision: int
    learned_at: float


class EvacuationStatus(TypedDict):
    """Tell of an order that is in force, for people."""

    revision: int
    for_s: float


class Evacuations:
    """Own the orders that this host knows to be in force."""

    def __init__(self, log: journal.Journal) -> None:
        """Start without an order."""
        self._log = log
        self._orders: dict[str, EvacuationOrder] = {}

    def update(
        self, orders: Mapping[str, int], data_centres: Collection[str]
    ) -> frozenset[str]:
        """Take the orders there are now; return the data centres they name.

        An order for a data centre that the deployment does not have keeps
        nothing from anybody, and is most likely a slip of whoever gave it.
        """
        now = time.monotonic()
        for name in self._orders.keys() - orders.keys():
            order = self._orders.pop(name)
            duration_s = round(now - order.learned_at, 1)
            self._log.log_event(
                PART, 'taken back', data_centre=name, lasted=duration_s
            )
        for name in sorted(orders.keys() - self._orders.keys()):
            revision = orders[name]
            self._orders[name] = EvacuationOrder(revision, now)
            text = 'evacuated' if name in data_centres else 'nothing so named'
            self._log.log_event(PART, text, data_centre=name, revision=revision)
        return frozenset(self._orders)

    def describe(self) -> Mapping[str, EvacuationStatus]:
        """Tell by which revision each is evacuated, and for how long."""
        now = time.monotonic()
        return {
            name: EvacuationStatus(
                revision=order.revision, for_s=round(now - order.learned_at, 1)
            )
            for name, order in sorted(self._orders.items())
        }
