"""Read the manifest and its parts from the platform's service."""

from collections.abc import Callable

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    audit_log,
    manifest_filters,
    manifests,
)
from fuchsiahaven.core.configuration import revision_messages as messages
from fuchsiahaven.edge import store


def _tell_no_time() -> float:
    return messages.UNKNOWN_TIME


class Reader:
    """Read manifests for one data centre, each part of one only once."""

    def __init__(
        self, data_centre: str, clock: Callable[[], float] = _tell_no_time
    ) -> None:
        """Start without any part; the clock tells when a call leaves."""
        self._data_centre = data_centre
        self._clock = clock
        self._texts: dict[str, str] = {}

    def read(self, platform: store.Store) -> messages.Event:
        """Read what is there now."""
        left = self._clock()
        try:
            entry = platform.read(manifests.MANIFEST_KEY)
        except store.StoreError as error:
            return messages.PlatformCallFailed(
                by_watch=False, detail=str(error)
            )
        if entry is None:
            return messages.ManifestRead(0)
        loaded = self._load(platform, entry, watched=False)
        if isinstance(loaded, messages.ManifestRead):
            return loaded._replace(sent_at=left)
        return loaded

    def check(self, platform: store.Store) -> messages.Event:
        """Read the platform's number of the manifest alone."""
        left = self._clock()
        try:
            listed = platform.list_keys(manifests.MANIFEST_KEY)
        except store.StoreError as error:
            return messages.PlatformCallFailed(
                by_watch=False, detail=str(error)
            )
        numbers = {row.key: row.revision for row in listed}
        number = numbers.get(manifests.MANIFEST_KEY, 0)
        return messages.StoreRevisionRead(number, left)

    def watch(
        self, platform: store.Store, asked: messages.WatchManifest
    ) -> messages.Event:
        """Wait for a change and read it.

        The wait ends within bounds even where a watch has gone silent: the
        store gives up shortly after the time that the platform was given.
        """
        try:
            entry = platform.watch(
                manifests.MANIFEST_KEY, asked.above_revision, asked.wait_s
            )
        except store.StoreError as error:
            return messages.PlatformCallFailed(by_watch=True, detail=str(error))
        if entry is None:
            return messages.WatchEnded()
        return self._load(platform, entry, watched=True)

    def _load(
        self, platform: store.Store, entry: store.Entry, *, watched: bool
    ) -> messages.ManifestRead | messages.PlatformCallFailed:
        head = manifests.decode_head(entry.value)
        if isinstance(head, errors.Failure):
            return _fail(head, watched)
        head = manifest_filters.filter_by_data_centre(head, self._data_centre)
        try:
            texts = self._read_parts(platform, head.part_keys)
        except store.StoreError as error:
            return messages.PlatformCallFailed(watched, str(error))
        manifest = manifests.assemble(head, texts)
        if isinstance(manifest, errors.Failure):
            return _fail(manifest, watched)
        return messages.ManifestRead(
            entry.revision,
            manifest.configuration,
            _list_changes(manifest.entries),
            watched,
        )

    def _read_parts(
        self, platform: store.Store, keys: tuple[str, ...]
    ) -> dict[str, str]:
        texts = {key: self._texts[key] for key in keys if key in self._texts}
        for key in keys:
            entry = None if key in texts else platform.read(key)
            if entry is not None:
                texts[key] = entry.value
        # Two threads read; each goes on with the texts it has seen itself.
        self._texts = texts
        return texts


def _list_changes(
    entries: tuple[audit_log.Entry, ...],
) -> tuple[messages.RevisionChange, ...]:
    return tuple(
        messages.RevisionChange(
            entry.revision, entry.change_id, entry.previous_revision
        )
        for entry in entries
    )


def _fail(
    failure: errors.Failure, watched: bool
) -> messages.PlatformCallFailed:
    return messages.PlatformCallFailed(watched, failure.detail, answered=True)
