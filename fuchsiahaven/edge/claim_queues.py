"""Queue the keys of a claims worker, each until it is due."""

import collections
import math
from typing import Final

# A key that was idle for this long is removed.
MAX_IDLE_S: Final = 30.0


class KeyQueue:
    """Hold the ready keys, the delayed keys and the last use of each."""

    def __init__(self) -> None:
        """Start empty."""
        self._ready: collections.deque[str] = collections.deque()
        self._delayed: dict[str, float] = {}
        self._last_used: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Return whether any key is ready or delayed."""
        return bool(self._ready or self._delayed)

    def schedule(self, key: str, due: float, now: float) -> None:
        """Queue a key, to be popped no earlier than `due`."""
        if due > now:
            self._delayed[key] = due
        elif key not in self._ready:
            self._ready.append(key)

    def compute_wait(self, now: float) -> float:
        """Return the seconds until the next key is due."""
        if self._ready:
            return 0.0
        due = min(self._delayed.values(), default=math.inf)
        return min(max(0.0, due - now), MAX_IDLE_S)

    def pop(self, now: float) -> str | None:
        """Remove and return the next key that is due."""
        for delayed, due in tuple(self._delayed.items()):
            if due <= now:
                self._delayed.pop(delayed)
                self.schedule(delayed, due, now)
        if not self._ready:
            return None
        key = self._ready.popleft()
        # Reinsertion keeps the dictionary ordered by last use.
        self._last_used.pop(key, None)
        self._last_used[key] = now
        return key

    def expire_idle(self, now: float) -> list[str]:
        """Remove and return the keys that are idle and not queued."""
        idle = []
        while (
            self._last_used
            and now - next(iter(self._last_used.values())) > MAX_IDLE_S
        ):
            key = next(iter(self._last_used))
            self._last_used.pop(key)
            if key not in self._ready and key not in self._delayed:
                idle.append(key)
        return idle
