"""Read the platform's host list now and then, for targets and members."""

import random
import threading
from collections.abc import Callable
from typing import Final

from fuchsiahaven.edge import host_list, store
from fuchsiahaven.operate import logs

PART: Final = 'host list'
#: With more members each reads less often, so that a data centre of any size
#: costs the platform as many calls as one of so many hosts.
MAX_FULL_RATE_MEMBERS: Final = 8


class HostListPoller:
    """Own a thread that reads the list and reports what it finds."""

    def __init__(
        self,
        platform: store.Store,
        interval_s: float,
        report: Callable[[host_list.HostListing], None],
    ) -> None:
        """Prepare without starting; `run` is for a thread of its own."""
        self.member_count = 1
        self._platform = platform
        self._interval_s = interval_s
        self._report = report
        self._stopped = threading.Event()

    def stop(self) -> None:
        """Ask `run` to end."""
        self._stopped.set()

    def run(self) -> None:
        """Read until stopped."""
        while not self._stopped.wait(self._compute_delay()):
            self._read()

    def _compute_delay(self) -> float:
        factor = max(1, self.member_count / MAX_FULL_RATE_MEMBERS)
        return self._interval_s * factor * (0.5 + random.random())

    def _read(self) -> None:
        try:
            listing = host_list.read_host_list(self._platform)
        except store.StoreError as error:
            logs.debug(PART, 'not read', error=str(error))
            return
        self._report(listing)
