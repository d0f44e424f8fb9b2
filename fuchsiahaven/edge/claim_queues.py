"""Keep whose turn it is among the keys of a claims worker."""

import collections
import math
from typing import Final

# A key is forgotten once nothing has happened to it for this long.
MAX_IDLE_S: Final = 30.0


class KeyQueue:
    """Hold the keys that are ready, those that wait, and their last use."""

    def __init__(self) -> None:
        """Start without a key."""
        self._ready: collections.deque[str] = collections.deque()
        self._delayed: dict[str, float] = {}
        self._last_used: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Tell whether any key has something to do, now or later."""
        return bool(self._ready or self._delayed)

    def schedule(self, key: str, due: float, now: float) -> None:
        """Give a key a turn, not before `due`."""
        if due > now:
            self._delayed[key] = due
        elif key not in self._ready:
            self._ready.append(key)

    def compute_wait(self, now: float) -> float:
        """Say for how long no key has a turn."""
        if self._ready:
            return 0.0
        due = min(self._delayed.values(), default=math.inf)
        return min(max(0.0, due - now), MAX_IDLE_S)

    def pop(self, now: float) -> str | None:
        """Take the key whose turn it is."""
        for delayed, due in tuple(self._delayed.items()):
            if due <= now:
                self._delayed.pop(delayed)
                self.schedule(delayed, due, now)
        if not self._ready:
            return None
        key = self._ready.popleft()
        # What was used last stands last, so the oldest come first.
        self._last_used.pop(key, None)
        self._last_used[key] = now
        return key

    def expire_idle(self, now: float) -> list[str]:
        """Forget the keys that have had no turn for long, and have none."""
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
