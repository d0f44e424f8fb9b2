"""Read the manifest and its parts from the platform."""

from collections.abc import Callable

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    audit_log,
    manifest_filters,
    manifests,
)
from fuchsiahaven.core.configuration import revision_messages as messages
from fuchsiahaven.edge import store


def _get_unknown_time() -> float:
    return messages.UNKNOWN_TIME


class Reader:
    """Read manifests for one data centre and cache their parts."""

    def __init__(
        self, data_centre: str, clock: Callable[[], float] = _get_unknown_time
    ) -> None:
        """Start without parts; the clock gives the time of each call."""
        self._data_centre = data_centre
        self._clock = clock
        self._part_texts: dict[str, str] = {}

    def read(self, platform: store.Store) -> messages.Event:
        """Read the current manifest."""
        sent_at = self._clock()
        try:
            entry = platform.read(manifests.MANIFEST_KEY)
        except store.StoreError as error:
            return messages.PlatformCallFailed(
                by_watch=False, detail=str(error)
            )
        if entry is None:
            return messages.ManifestRead(0)
        loaded = self._load_manifest(platform, entry, watched=False)
        if isinstance(loaded, messages.ManifestRead):
            return loaded._replace(sent_at=sent_at)
        return loaded

    def read_revision(self, platform: store.Store) -> messages.Event:
        """Read only the platform's revision of the manifest."""
        sent_at = self._clock()
        try:
            listed = platform.list_keys(manifests.MANIFEST_KEY)
        except store.StoreError as error:
            return messages.PlatformCallFailed(
                by_watch=False, detail=str(error)
            )
        revisions = {row.key: row.revision for row in listed}
        revision = revisions.get(manifests.MANIFEST_KEY, 0)
        return messages.StoreRevisionRead(revision, sent_at)

    def watch(
        self, platform: store.Store, action: messages.WatchManifest
    ) -> messages.Event:
        """Wait for a changed manifest and read it.

        The wait is bounded even if the platform stops answering: the store
        times out shortly after the requested wait.
        """
        try:
            entry = platform.watch(
                manifests.MANIFEST_KEY, action.above_revision, action.wait_s
            )
        except store.StoreError as error:
            return messages.PlatformCallFailed(by_watch=True, detail=str(error))
        if entry is None:
            return messages.WatchEnded()
        return self._load_manifest(platform, entry, watched=True)

    def _load_manifest(
        self, platform: store.Store, entry: store.Entry, *, watched: bool
    ) -> messages.ManifestRead | messages.PlatformCallFailed:
        head = manifests.decode_head(entry.value)
        if isinstance(head, errors.Failure):
            return _make_failure(head, watched)
        head = manifest_filters.filter_by_data_centre(head, self._data_centre)
        try:
            part_texts = self._read_parts(platform, head.part_keys)
        except store.StoreError as error:
            return messages.PlatformCallFailed(watched, str(error))
        manifest = manifests.assemble(head, part_texts)
        if isinstance(manifest, errors.Failure):
            return _make_failure(manifest, watched)
        return messages.ManifestRead(
            entry.revision,
            manifest.configuration,
            _list_changes(manifest.entries),
            watched,
        )

    def _read_parts(
        self, platform: store.Store, keys: tuple[str, ...]
    ) -> dict[str, str]:
        part_texts = {
            key: self._part_texts[key]
            for key in keys
            if key in self._part_texts
        }
        for key in keys:
            entry = None if key in part_texts else platform.read(key)
            if entry is not None:
                part_texts[key] = entry.value
        # Two threads read; each keeps the parts of its own last reading.
        self._part_texts = part_texts
        return part_texts


def _list_changes(
    entries: tuple[audit_log.Entry, ...],
) -> tuple[messages.RevisionChange, ...]:
    return tuple(
        messages.RevisionChange(
            entry.revision, entry.change_id, entry.previous_revision
        )
        for entry in entries
    )


def _make_failure(
    failure: errors.Failure, watched: bool
) -> messages.PlatformCallFailed:
    return messages.PlatformCallFailed(watched, failure.detail, answered=True)
