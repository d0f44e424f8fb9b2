"""Decode the store's values once for each time they are written."""

from typing import Final, NamedTuple

from fuchsiahaven.platform import records
from fuchsiahaven.relay import journal
from fuchsiahaven.routing import facts, instances

PART: Final = 'news'
#: Keys of which the last value is kept. Whoever writes under ever new keys
#: would fill the memory; all of them can be decoded once more.
MAX_CACHED_KEYS: Final = 8192


class CachedValue(NamedTuple):
    """Hold a value as it was decoded, and where it was written."""

    stamp: facts.Stamp
    value: facts.Value | None


class Decoder:
    """Own what was decoded last of each key."""

    def __init__(self, log: journal.Journal) -> None:
        """Start with nothing decoded."""
        self._log = log
        self._cache: dict[facts.Key, CachedValue] = {}

    def decode(
        self, key: facts.Key, stamp: facts.Stamp, encoded: str
    ) -> facts.Value | None:
        """Decode a value; of a malformed one the last good one stays.

        A target whose entry is malformed counts as leaving until it writes
        a good one: whether it still takes requests is not known. It is not
        taken for vanished, because an entry that somebody spoilt says
        nothing of the store.
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
