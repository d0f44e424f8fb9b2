"""Decode each value of the store once for each time that it is written."""

from typing import Final, NamedTuple

from fuchsiahaven.platform import records
from fuchsiahaven.relay import journal
from fuchsiahaven.routing import facts, instances

PART: Final = 'news'
#: Keys with a cached value. A writer of ever new keys would fill the memory;
#: after the cache is cleared each value is decoded once more.
MAX_CACHED_KEYS: Final = 8192


class CachedValue(NamedTuple):
    """Hold a decoded value and the stamp under which it was written."""

    stamp: facts.Stamp
    value: facts.Value | None


class Decoder:
    """Cache the last decoded value of each key."""

    def __init__(self, log: journal.Journal) -> None:
        """Start with an empty cache."""
        self._log = log
        self._cache: dict[facts.Key, CachedValue] = {}

    def decode(
        self, key: facts.Key, stamp: facts.Stamp, encoded: str
    ) -> facts.Value | None:
        """Decode a value; if it is malformed return the last valid one.

        A target with a malformed entry counts as leaving until it writes a
        valid one, because it may not accept requests any more. It does not
        count as removed: many removals at once are taken for a fault of the
        store, of which a malformed entry is no sign.
        """
        cached = self._cache.get(key)
        if cached is not None and cached.stamp == stamp:
            return cached.value
        decoded: facts.Value | None
        try:
            decoded = records.decode_value(key, encoded)
        except records.MalformedError as error:
            self._log.log_request(
                PART, 'a record is malformed', good=False, error=str(error)
            )
            decoded = cached.value if cached is not None else None
            if isinstance(decoded, instances.Instance):
                decoded = decoded._replace(leaving=True)
        if len(self._cache) >= MAX_CACHED_KEYS:
            self._cache.clear()
        self._cache[key] = CachedValue(stamp, decoded)
        return decoded
