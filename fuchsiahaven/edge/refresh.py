"""Read the configuration from the platform at intervals."""

import threading
from collections.abc import Callable

from fuchsiahaven.core import configurations, errors, manifests
from fuchsiahaven.edge import store


class Refresher:
    """Own a thread that reads the manifest and reports what it finds."""

    def __init__(
        self,
        platform: store.Store,
        interval_s: float,
        report: Callable[[configurations.Configuration], None],
    ) -> None:
        """Start the thread; `report` is called in it."""
        self._platform = platform
        self._interval_s = interval_s
        self._report = report
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, name='refresher')
        self._thread.start()

    def close(self) -> None:
        """End the thread."""
        self._ended.set()
        self._thread.join()
        self._platform.close()

    def _run(self) -> None:
        last = 0
        while True:
            found = _read(self._platform)
            if found is not None and found.revision > last:
                last = found.revision
                self._report(found)
            if self._ended.wait(self._interval_s):
                return


def _read(platform: store.Store) -> configurations.Configuration | None:
    try:
        manifest = _read_manifest(platform)
    except store.StoreUnavailable:
        return None
    if isinstance(manifest, manifests.Manifest):
        return manifest.configuration
    return None


def _read_manifest(
    platform: store.Store,
) -> manifests.Manifest | errors.Failure | None:
    entry = platform.read(manifests.MANIFEST_KEY)
    if entry is None:
        return None
    head = manifests.read_head(entry.value)
    if isinstance(head, errors.Failure):
        return head
    found = [platform.read(key) for key in head.keys]
    texts = {part.key: part.value for part in found if part is not None}
    return manifests.assemble(head, texts)
