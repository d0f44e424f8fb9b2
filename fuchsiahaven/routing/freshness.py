"""Track how old a host's knowledge of customers' keys may be."""

from typing import Final

from fuchsiahaven.core.customers import freshness
from fuchsiahaven.routing import configs

DRIFT_MARGIN_FRACTION: Final = freshness.DRIFT_MARGIN_FRACTION
WATCH_FRACTION: Final = freshness.WATCH_FRACTION
PAUSE_FRACTION: Final = freshness.PAUSE_FRACTION
MIN_GAIN_FRACTION: Final = freshness.MIN_GAIN_FRACTION
URGENT_AGE_FRACTION: Final = freshness.URGENT_AGE_FRACTION
RESTORE_SETTLING_S: Final = freshness.RESTORE_SETTLING_S
MIN_WAIT_S: Final = freshness.MIN_WAIT_S
MAX_WAIT_S: Final = freshness.MAX_WAIT_S


class Freshness(freshness.Freshness):
    """Own the proofs of how old the knowledge of customers' keys is."""

    def update_configuration(
        self, configuration: configs.Configuration
    ) -> None:
        """Record whether the configuration in force has customers."""
        self.record_customers(has_customers=configuration.customers is not None)
