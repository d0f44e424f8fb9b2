"""Carry out the steps of reading and changing the stored configuration.

The decisions are generators in `core/readings` and `core/transactions`; here
their calls go to the platform's service, and calls that certainly did nothing
are tried again within a bounded time.
"""

import random
import time
from collections.abc import Callable
from typing import Final, NamedTuple, TypeVar

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    proposals,
    store_calls,
    store_reads,
    transactions,
)
from fuchsiahaven.edge import store

#: The first wait before a call is made again, in seconds; it doubles.
FIRST_WAIT_S: Final = 0.05
LONGEST_WAIT_S: Final = 1.0
#: The longest rest before a second try, in seconds; it doubles with each.
FIRST_REST_S: Final = 0.005
LONGEST_REST_S: Final = 0.5

_Outcome = TypeVar('_Outcome')
_Write = store_calls.CompareAndSwap | store_calls.DeleteKey
_StoreCall = store_calls.ReadKey | store_calls.ListKeys | _Write


class Patience(NamedTuple):
    """Bound how long a call that gave nothing is tried again."""

    seconds: float = 5.0
    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep
    draw: Callable[[], float] = random.random


PATIENCE: Final = Patience()


def read_configuration(
    platform: store.Store,
    patience: Patience = PATIENCE,
    choose: store_reads.PartSelector = store_reads.select_all_parts,
) -> store_reads.LoadedManifest | errors.Failure:
    """Read the configuration, with the targets of the chosen places."""
    return run_steps(store_reads.load_manifest(choose), platform, patience)


def make_change(
    platform: store.Store,
    request: proposals.ChangeRequest,
    epoch: float,
    patience: Patience = PATIENCE,
) -> transactions.Outcome:
    """Make one change and say truthfully what became of it."""
    return run_steps(transactions.commit(request, epoch), platform, patience)


def run_steps(
    steps: store_calls.Steps[_Outcome],
    platform: store.Store,
    patience: Patience = PATIENCE,
) -> _Outcome:
    """Make the calls of a generator until it returns."""
    end = patience.clock() + patience.seconds
    result: store_calls.Result | None = None
    while True:
        try:
            # One that has not started takes nothing; `Missing` is falsy too.
            call = next(steps) if result is None else steps.send(result)
        except StopIteration as stop:
            outcome: _Outcome = stop.value
            return outcome
        result = _call_patiently(platform, call, patience, end)


def _call_patiently(
    platform: store.Store,
    call: store_calls.Call,
    patience: Patience,
    end: float,
) -> store_calls.Result:
    if isinstance(call, store_calls.Backoff):
        longest = min(FIRST_REST_S * 2**call.attempt, LONGEST_REST_S)
        patience.sleep(longest * patience.draw())
        return store_calls.BackoffEnded()
    wait_s = FIRST_WAIT_S
    while True:
        try:
            return _call(platform, call)
        except store.StoreOverBudget as error:
            wait_s = max(wait_s, error.retry_after)
            reason = str(error)
        except store.StoreUnavailable as error:
            reason = str(error)
        if patience.clock() + wait_s > end:
            return store_calls.CallFailed(reason)
        patience.sleep(wait_s)
        wait_s = min(2 * wait_s, LONGEST_WAIT_S)


def _call(platform: store.Store, call: _StoreCall) -> store_calls.Result:
    match call:
        case store_calls.ReadKey(key):
            found = platform.read(key)
            if found is None:
                return store_calls.KeyMissing()
            return store_calls.KeyFound(found.value, found.revision)
        case store_calls.ListKeys(prefix):
            keys = platform.list_keys(prefix)
            return store_calls.KeysListed(
                tuple((each.key, each.revision) for each in keys)
            )
    return _write(platform, call)


def _write(
    platform: store.Store,
    call: _Write,
) -> store_calls.Result:
    try:
        match call:
            case store_calls.CompareAndSwap(key, value, revision):
                platform.swap(key, value, revision)
            case store_calls.DeleteKey(key, revision):
                platform.delete(key, revision)
    except store.StoreConflict:
        return store_calls.WriteConflict()
    except store.StoreUnclear as error:
        return store_calls.WriteUnclear(str(error))
    return store_calls.KeyWritten()
