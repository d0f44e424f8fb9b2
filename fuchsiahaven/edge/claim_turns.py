"""Keep whose turn it is among the keys of a claims worker."""

import collections
import math
from typing import Final

# A key is forgotten once nothing has happened to it for this long.
KEEP_S: Final = 30.0


class Turns:
    """Hold the keys that are ready, those that wait, and their last use."""

    def __init__(self) -> None:
        """Start without a key."""
        self._ready: collections.deque[str] = collections.deque()
        self._asleep: dict[str, float] = {}
        self._used: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Tell whether any key has something to do, now or later."""
        return bool(self._ready or self._asleep)

    def add(self, key: str, due: float, now: float) -> None:
        """Give a key a turn, not before `due`."""
        if due > now:
            self._asleep[key] = due
        elif key not in self._ready:
            self._ready.append(key)

    def wait_s(self, now: float) -> float:
        """Say for how long no key has a turn."""
        if self._ready:
            return 0.0
        due = min(self._asleep.values(), default=math.inf)
        return min(max(0.0, due - now), KEEP_S)

    def take(self, now: float) -> str | None:
        """Take the key whose turn it is."""
        for asleep, due in tuple(self._asleep.items()):
            if due <= now:
                self._asleep.pop(asleep)
                self.add(asleep, due, now)
        if not self._ready:
            return None
        key = self._ready.popleft()
        # What was used last stands last, so the oldest come first.
        self._used.pop(key, None)
        self._used[key] = now
        return key

    def forget(self, now: float) -> list[str]:
        """Forget the keys that have had no turn for long, and have none."""
        idle = []
        while self._used and now - next(iter(self._used.values())) > KEEP_S:
            key = next(iter(self._used))
            self._used.pop(key)
            if key not in self._ready and key not in self._asleep:
                idle.append(key)
        return idle
