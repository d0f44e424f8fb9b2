"""Stop a host without leaving a request that it has read unanswered."""

import asyncio
import time
from typing import Final, NamedTuple

from fuchsiahaven.relay import journal, listeners, runners
from fuchsiahaven.routing import stop_schedules

PART: Final = 'process'
#: The balancer has moved the callers if none has opened a connection or sent
#: anything for this long.
QUIET_S: Final = 0.3
#: Connections without a request for this long are closed while the host still
#: listens, and once it does not.
MAX_IDLE_S: Final = 1.0
MAX_IDLE_AT_END_S: Final = 0.1
CHECK_INTERVAL_S: Final = 0.05


class Parts(NamedTuple):
    """Hold what takes and answers the requests of callers and hosts."""

    runner: runners.Runner
    caller_listener: listeners.Listener
    peer_listener: listeners.Listener


async def run(parts: Parts, grace_s: float, log: journal.Journal) -> None:
    """Answer the requests of a host that is killed after `grace_s` seconds.

    The balancer may keep sending requests until the process has ended. They are
    served, or refused if they are unlikely to end in time, until no more come
    or the time is over. Each response closes its connection. Only then does the
    host stop listening: a refusal tells a caller that its request has not run,
    a closed port does not.
    """
    runner, caller_listener, peer_listener = parts
    began_at = time.monotonic()
    schedule = stop_schedules.make_schedule(began_at, grace_s)
    log.log_event(PART, 'stopping', waiting=runner.count_pending())
    caller_listener.stop()
    runner.post(stop_schedules.StopRequested(schedule.replies_at))
    await asyncio.sleep(schedule.balancer_at - began_at)
    while time.monotonic() < schedule.replies_at and not _is_quiet(parts):
        caller_listener.close_idle(MAX_IDLE_S)
        await asyncio.sleep(CHECK_INTERVAL_S)
    runner.work_queue.refuse_all()
    await caller_listener.stop_listening()
    while time.monotonic() < schedule.exit_at and _is_busy(parts):
        caller_listener.close_idle(MAX_IDLE_AT_END_S)
        await asyncio.sleep(CHECK_INTERVAL_S)
    log.log_event(
        PART,
        'stopped',
        took=round(time.monotonic() - began_at, 3),
        waiting=runner.count_pending(),
        connected=len(caller_listener.connections),
        unsent=caller_listener.count_unsent() + peer_listener.count_unsent(),
    )
    caller_listener.close_all()


def _is_quiet(parts: Parts) -> bool:
    """Return whether all requests are answered and no new ones come."""
    return (
        not parts.runner.count_pending()
        and parts.caller_listener.measure_quiet() >= QUIET_S
    )


def _is_busy(parts: Parts) -> bool:
    return bool(
        parts.runner.count_pending()
        or parts.caller_listener.connections
        or parts.peer_listener.count_unsent()
    )
