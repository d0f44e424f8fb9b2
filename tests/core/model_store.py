"""Model the platform's key-value service without time and sockets."""

import enum
from typing import Any

from fuchsiahaven.core.configuration import store_calls

StoreSteps = store_calls.Steps[Any]


class CallOutcome(enum.Enum):
    """List the outcomes of a call."""

    DONE = 'done'
    FAILED = 'failed'
    ANSWER_LOST = 'answer lost'
    NEVER_ARRIVED = 'never arrived'
    DELAYED = 'delayed'


class ModelStore:
    """Hold keys, and the writes that are still under way."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[str, tuple[str, int]] = {}
        self.revision = 0
        self.delayed: list[
            store_calls.CompareAndSwap | store_calls.DeleteKey
        ] = []

    def call(
        self,
        call: store_calls.Call,
        outcome: CallOutcome = CallOutcome.DONE,
    ) -> store_calls.Result:
        """Return the result of one call according to its outcome."""
        if outcome is CallOutcome.DONE or isinstance(call, store_calls.Backoff):
            return self._apply(call)
        is_write = isinstance(
            call, store_calls.CompareAndSwap | store_calls.DeleteKey
        )
        if outcome is CallOutcome.FAILED or not is_write:
            return store_calls.CallFailed('down')
        if outcome is CallOutcome.ANSWER_LOST:
            self._apply(call)
        if outcome is CallOutcome.DELAYED:
            assert not isinstance(
                call, store_calls.ReadKey | store_calls.ListKeys
            )
            self.delayed.append(call)
        return store_calls.WriteUnclear('no answer')

    def apply_delayed(self, index: int) -> None:
        """Apply a delayed write."""
        self._apply(self.delayed.pop(index))

    def run_steps(
        self, steps: StoreSteps, call: store_calls.Call | None = None
    ) -> Any:
        """Run steps to their end without faults, from `call` if given."""
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
                entry = self.entries.get(key)
                if entry is None:
                    return store_calls.KeyMissing()
                return store_calls.KeyFound(*entry)
            case store_calls.ListKeys(prefix):
                keys = sorted(
                    key_in_store
                    for key_in_store in self.entries
                    if key_in_store.startswith(prefix)
                )
                return store_calls.KeysListed(
                    tuple((key, self.entries[key][1]) for key in keys)
                )
        if self.entries.get(call.key, ('', 0))[1] != call.revision:
            return store_calls.WriteConflict()
        self.revision += 1
        match call:
            case store_calls.CompareAndSwap(key, value):
                self.entries[key] = (value, self.revision)
            case store_calls.DeleteKey(key):
                self.entries.pop(key)
        return store_calls.KeyWritten()
