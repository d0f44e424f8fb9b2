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
        self.delayed: list[
            store_calls.CompareAndSwap | store_calls.DeleteKey
        ] = []

    def call(
        self,
        call: store_calls.Call,
        fate: Fate = Fate.DONE,
    ) -> store_calls.Result:
        """Answer one call as its fate wills."""
        if fate is Fate.DONE or isinstance(call, store_calls.Backoff):
            return self._apply(call)
        writes = isinstance(
            call, store_calls.CompareAndSwap | store_calls.DeleteKey
        )
        if fate is Fate.FAILED or not writes:
            return store_calls.CallFailed('down')
        if fate is Fate.ANSWER_LOST:
            self._apply(call)
        if fate is Fate.DELAYED:
            assert not isinstance(
                call, store_calls.ReadKey | store_calls.ListKeys
            )
            self.delayed.append(call)
        return store_calls.WriteUnclear('no answer')

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
            case store_calls.Backoff():
                return store_calls.BackoffEnded()
            case store_calls.ReadKey(key):
                found = self.values.get(key)
                if found is None:
                    return store_calls.KeyMissing()
                return store_calls.KeyFound(*found)
            case store_calls.ListKeys(prefix):
                keys = sorted(k for k in self.values if k.startswith(prefix))
                return store_calls.KeysListed(
                    tuple((key, self.values[key][1]) for key in keys)
                )
        if self.values.get(call.key, ('', 0))[1] != call.revision:
            return store_calls.WriteConflict()
        self.revision += 1
        match call:
            case store_calls.CompareAndSwap(key, value):
                self.values[key] = (value, self.revision)
            case store_calls.DeleteKey(key):
                self.values.pop(key)
        return store_calls.KeyWritten()
