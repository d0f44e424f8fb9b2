"""Read the platform's host list now and then, for targets and members."""

import random
import threading
from collections.abc import Callable
from typing import Final

from fuchsiahaven.edge import hostlist, store
from fuchsiahaven.operate import logs

PART: Final = 'host list'
#: With more members each reads less often, so that a data centre of any size
#: costs the platform as many calls as one of so many hosts.
HOSTS_AT_FULL_RATE: Final = 8


class Lister:
    """Own a thread that reads the list and reports what it finds."""

    def __init__(
        self,
        platform: store.Store,
        interval_s: float,
        report: Callable[[hostlist.Listing], None],
    ) -> None:
        """Prepare without starting; `run` is for a thread of its own."""
        self.members = 1
        self._platform = platform
        self._interval_s = interval_s
        self._report = report
        self._ended = threading.Event()

    def stop(self) -> None:
        """Ask `run` to end."""
        self._ended.set()

    def run(self) -> None:
        """Read until stopped."""
        while not self._ended.wait(self._choose_wait()):
            self._read()

    def _choose_wait(self) -> float:
        share = max(1, self.members / HOSTS_AT_FULL_RATE)
        return self._interval_s * share * (0.5 + random.random())

    def _read(self) -> None:
        try:
            listing = hostlist.read_hosts(self._platform)
        except store.StoreError as error:
            logs.debug(PART, 'not read', error=str(error))
            return
        self._report(listing)
