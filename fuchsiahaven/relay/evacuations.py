"""Hold the evacuation orders of operators, and log each change."""

import time
from collections.abc import Collection, Mapping
from typing import Final, NamedTuple, TypedDict

from fuchsiahaven.relay import journal

PART: Final = 'evacuations'


class EvacuationOrder(NamedTuple):
    """Hold the store's revision of an order and when this host received it."""

    revision: int
    learned_at: float


class EvacuationStatus(TypedDict):
    """Hold an order in force and its age in seconds, for operators."""

    revision: int
    for_s: float


class Evacuations:
    """Hold the orders in force."""

    def __init__(self, log: journal.Journal) -> None:
        """Start without an order."""
        self._log = log
        self._orders: dict[str, EvacuationOrder] = {}

    def update(
        self, orders: Mapping[str, int], data_centres: Collection[str]
    ) -> frozenset[str]:
        """Replace the orders; return the data centres that they name.

        An order for a data centre that the deployment does not have has no
        effect and is most likely a typing error, so it is logged as such.
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
        """Return the revision and the age of each order by data centre."""
        now = time.monotonic()
        return {
            name: EvacuationStatus(
                revision=order.revision, for_s=round(now - order.learned_at, 1)
            )
            for name, order in sorted(self._orders.items())
        }
