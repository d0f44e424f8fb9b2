"""Poll the platform's host list for targets and members."""

import random
import threading
from collections.abc import Callable
from typing import Final

from fuchsiahaven.edge import host_list, store
from fuchsiahaven.operate import logs

PART: Final = 'host list'
#: With more members than this each polls less often, so that the calls of a
#: data centre to the platform do not grow with its number of hosts.
MAX_FULL_RATE_MEMBERS: Final = 8


class HostListPoller:
    """Poll the list in a thread and report each reading."""

    def __init__(
        self,
        platform: store.Store,
        interval_s: float,
        report: Callable[[host_list.HostListing], None],
    ) -> None:
        """Prepare without starting; `run` needs a thread of its own."""
        self.member_count = 1
        self._platform = platform
        self._interval_s = interval_s
        self._report = report
        self._stopped = threading.Event()

    def stop(self) -> None:
        """Request `run` to end."""
        self._stopped.set()

    def run(self) -> None:
        """Poll until stopped."""
        while not self._stopped.wait(self._compute_delay()):
            self._poll()

    def _compute_delay(self) -> float:
        factor = max(1, self.member_count / MAX_FULL_RATE_MEMBERS)
        return self._interval_s * factor * (0.5 + random.random())

    def _poll(self) -> None:
        try:
            listing = host_list.read_host_list(self._platform)
        except store.StoreError as error:
            logs.debug(PART, 'not read', error=str(error))
            return
        self._report(listing)
