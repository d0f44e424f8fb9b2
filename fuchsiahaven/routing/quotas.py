"""Keep each customer's requests within its quota, over all hosts."""

from fuchsiahaven.core import errors
from fuchsiahaven.routing import asks, configs, places


class Quotas:
    """Own what this host knows of how much customers have used."""

    def __init__(self, host: places.Host) -> None:
        """Start with nothing counted."""
        self.host = host

    def charge(
        self, customer: configs.Customer, taken: asks.Taken, now: float
    ) -> errors.Failure | asks.Taken:
        """Charge a request to its customer, or say why it is refused."""
        return taken
