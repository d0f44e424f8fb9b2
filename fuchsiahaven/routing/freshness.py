"""Tell how old what a host knows of customers' keys may be."""

from typing import Final

from fuchsiahaven.core.customers import freshness
from fuchsiahaven.routing import configs

MARGIN_SHARE: Final = freshness.MARGIN_SHARE
WATCH_SHARE: Final = freshness.WATCH_SHARE
PAUSE_SHARE: Final = freshness.PAUSE_SHARE
GAIN_SHARE: Final = freshness.GAIN_SHARE
URGENT_SHARE: Final = freshness.URGENT_SHARE
REWRITTEN_S: Final = freshness.REWRITTEN_S
LEAST_WAIT_S: Final = freshness.LEAST_WAIT_S
MOST_WAIT_S: Final = freshness.MOST_WAIT_S


class Freshness(freshness.Freshness):
    """Own what proves how old the knowledge of keys is."""

    def note_configuration(self, configuration: configs.Configuration) -> None:
        """Note whether the configuration in force has customers."""
        self.note_keyed(keyed=configuration.customers is not None)
