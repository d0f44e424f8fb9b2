"""Model the platform's service for tests of decisions: no time, no sockets."""

import enum
from typing import Any

from fuchsiahaven.core.configuration import store_calls

Steps = store_calls.Steps[Any]


class Fate(enum.Enum):
    """List what can become of one call."""

    DONE = 'done'
    FAILED = 'failed'
    ANSWER_LOST = 'answer lost'
    NEVER_ARRIVED = 'never arrived'
    DELAYED = 'delayed'


class ModelStore:
    """Hold keys and the writes that are still under way."""

    def __init__(self) -> None:
        """Start empty."""
        self.values: dict[str, tuple[str, int]] = {}
        self.revision = 0
        self.delayed: list[store_calls.Swap | store_calls.Delete] = []

    def call(
        self,
        call: store_calls.Call,
        fate: Fate = Fate.DONE,
    ) -> store_calls.Result:
        """Answer one call as its fate wills."""
        if fate is Fate.DONE or isinstance(call, store_calls.Rest):
            return self._apply(call)
        writes = isinstance(call, store_calls.Swap | store_calls.Delete)
        if fate is Fate.FAILED or not writes:
            return store_calls.Failed('down')
        if fate is Fate.ANSWER_LOST:
            self._apply(call)
        if fate is Fate.DELAYED:
            assert not isinstance(call, store_calls.Read | store_calls.List)
            self.delayed.append(call)
        return store_calls.Unclear('no answer')

    def land(self, index: int) -> None:
        """Let a delayed write arrive."""
        self._apply(self.delayed.pop(index))

    def finish(self, steps: Steps, call: store_calls.Call | None = None) -> Any:
        """Run steps to their end without faults, from a call if one waits."""
        while True:
            try:
                call = steps.send(self.call(call)) if call else next(steps)
            except StopIteration as stop:
                return stop.value

    def _apply(self, call: store_calls.Call) -> store_calls.Result:
        match call:
            case store_calls.Rest():
                return store_calls.Rested()
            case store_calls.Read(key):
                found = self.values.get(key)
                if found is None:
                    return store_calls.Missing()
                return store_calls.Found(*found)
            case store_calls.List(prefix):
                keys = sorted(k for k in self.values if k.startswith(prefix))
                return store_calls.Listed(
                    tuple((key, self.values[key][1]) for key in keys)
                )
        if self.values.get(call.key, ('', 0))[1] != call.revision:
            return store_calls.Conflict()
        self.revision += 1
        match call:
            case store_calls.Swap(key, value):
                self.values[key] = (value, self.revision)
            case store_calls.Delete(key):
                self.values.pop(key)
        return store_calls.Written()
