"""Tell how old what a host knows of customers' keys may be."""

from typing import Final

from fuchsiahaven.core.customers import freshness
from fuchsiahaven.routing import configs

MARGIN_SHARE: Final = freshness.CLOCK_MARGIN_FRACTION
WATCH_SHARE: Final = freshness.WATCH_FRACTION
PAUSE_SHARE: Final = freshness.PAUSE_FRACTION
GAIN_SHARE: Final = freshness.MIN_GAIN_FRACTION
URGENT_SHARE: Final = freshness.URGENT_AGE_FRACTION
REWRITTEN_S: Final = freshness.RESTORE_SETTLING_S
LEAST_WAIT_S: Final = freshness.MIN_WAIT_S
MOST_WAIT_S: Final = freshness.MAX_WAIT_S


class Freshness(freshness.Freshness):
    """Own what proves how old the knowledge of keys is."""

    def note_configuration(self, configuration: configs.Configuration) -> None:
        """Note whether the configuration in force has customers."""
        self.record_customers(has_customers=configuration.customers is not None)
