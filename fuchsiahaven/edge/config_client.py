"""Read and change the stored configuration through the platform.

The decisions are generators in `core.configuration.store_reads` and
`core.configuration.transactions`; this module makes their calls to the
platform and retries, within a time limit, calls that had no effect.
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

#: Delay before the first retry of a call; it doubles with each retry.
MIN_RETRY_DELAY_S: Final = 0.05
MAX_RETRY_DELAY_S: Final = 1.0
#: Upper bound of the random backoff before a second attempt; it doubles with
#: each attempt.
MIN_BACKOFF_S: Final = 0.005
MAX_BACKOFF_S: Final = 0.5

_Outcome = TypeVar('_Outcome')
_Write = store_calls.CompareAndSwap | store_calls.DeleteKey
_StoreCall = store_calls.ReadKey | store_calls.ListKeys | _Write


class RetryPolicy(NamedTuple):
    """Bound how long a failed call is retried, and how to wait."""

    timeout_s: float = 5.0
    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep
    draw_fraction: Callable[[], float] = random.random


DEFAULT_RETRIES: Final = RetryPolicy()


def read_configuration(
    platform: store.Store,
    retries: RetryPolicy = DEFAULT_RETRIES,
    select_parts: store_reads.PartSelector = store_reads.select_all_parts,
) -> store_reads.LoadedManifest | errors.Failure:
    """Read the configuration, with the targets of the selected parts."""
    return run_steps(store_reads.load_manifest(select_parts), platform, retries)


def commit_change(
    platform: store.Store,
    request: proposals.ChangeRequest,
    epoch_s: float,
    retries: RetryPolicy = DEFAULT_RETRIES,
) -> transactions.Outcome:
    """Commit a change and return its outcome, which may be unknown."""
    return run_steps(transactions.commit(request, epoch_s), platform, retries)


def run_steps(
    steps: store_calls.Steps[_Outcome],
    platform: store.Store,
    retries: RetryPolicy = DEFAULT_RETRIES,
) -> _Outcome:
    """Make the calls of a generator and return its result."""
    deadline = retries.clock() + retries.timeout_s
    result: store_calls.Result | None = None
    while True:
        try:
            # A generator starts without a value; `KeyMissing` is falsy too.
            call = next(steps) if result is None else steps.send(result)
        except StopIteration as stop:
            outcome: _Outcome = stop.value
            return outcome
        result = _call_with_retries(platform, call, retries, deadline)


def _call_with_retries(
    platform: store.Store,
    call: store_calls.Call,
    retries: RetryPolicy,
    deadline: float,
) -> store_calls.Result:
    if isinstance(call, store_calls.Backoff):
        max_delay_s = min(MIN_BACKOFF_S * 2**call.attempt, MAX_BACKOFF_S)
        retries.sleep(max_delay_s * retries.draw_fraction())
        return store_calls.BackoffEnded()
    delay_s = MIN_RETRY_DELAY_S
    while True:
        try:
            return _call(platform, call)
        except store.StoreOverBudget as error:
            delay_s = max(delay_s, error.retry_after)
            reason = str(error)
        except store.StoreUnavailable as error:
            reason = str(error)
        if retries.clock() + delay_s > deadline:
            return store_calls.CallFailed(reason)
        retries.sleep(delay_s)
        delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)


def _call(platform: store.Store, call: _StoreCall) -> store_calls.Result:
    match call:
        case store_calls.ReadKey(key):
            entry = platform.read(key)
            if entry is None:
                return store_calls.KeyMissing()
            return store_calls.KeyFound(entry.value, entry.revision)
        case store_calls.ListKeys(prefix):
            keys = platform.list_keys(prefix)
            return store_calls.KeysListed(
                tuple((listed.key, listed.revision) for listed in keys)
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
