"""Run the router: pass events in, perform its actions and set timers."""

import asyncio
import collections
import time
from collections.abc import Callable
from typing import Final

from fuchsiahaven.relay import (
    helper_clients,
    target_pools,
    traffic,
    work_queues,
)
from fuchsiahaven.routing import dispatch, events, reachability, states

#: How often connections are checked for expiry.
SWEEP_INTERVAL_S: Final = 0.1
#: How often a host that is cut off tries to connect to targets. The balancer
#: polls it once a second.
TRY_INTERVAL_S: Final = 0.4

Reply = Callable[[events.Outcome], None]
SendReport = Callable[[events.DelegationReport], None]
Notify = Callable[[events.Notification], None]


class Runner:
    """Run the router of one host."""

    def __init__(self, router: states.Router, notify: Notify) -> None:
        """Start without events."""
        self.router = router
        self.traffic_counts = traffic.TrafficCounts()
        self.target_pools = target_pools.TargetPools(
            router, self.post, time.monotonic, self.traffic_counts
        )
        self._helper_clients = helper_clients.HelperClients(
            self.post,
            time.monotonic,
            self.traffic_counts,
            router.host.data_centre,
        )
        self.work_queue = work_queues.WorkQueue(
            router, self.post, self._perform_action
        )
        self._notify = notify
        self._events: collections.deque[events.Event] = collections.deque()
        self._replies: dict[int, Reply] = {}
        self._report_senders: dict[int, SendReport] = {}
        self._is_handling = False
        self._last_number = 0
        self._timer: asyncio.TimerHandle | None = None

    def submit_request(self, request: events.Request, reply: Reply) -> int:
        """Submit a request; `reply` is called once unless it is abandoned."""
        self._last_number += 1
        self._replies[self._last_number] = reply
        self.work_queue.submit(
            events.RequestReceived(self._last_number, request)
        )
        return self._last_number

    def submit_delegated(
        self, delegated: events.DelegatedRequest, send_report: SendReport
    ) -> int:
        """Submit a delegated request; `send_report` gets each report."""
        self._last_number += 1
        self._report_senders[self._last_number] = send_report
        self.work_queue.submit(
            events.DelegatedRequestReceived(self._last_number, delegated)
        )
        return self._last_number

    def abandon(self, number: int) -> None:
        """Abandon a request whose caller or delegating host has left."""
        self._replies.pop(number, None)
        self._report_senders.pop(number, None)
        if not self.work_queue.remove(number):
            self.post(events.RequestAbandoned(number))

    def count_pending(self) -> int:
        """Count the callers and hosts that wait for their reply."""
        return len(self._replies) + len(self._report_senders)

    def post(self, event: events.Event) -> None:
        """Pass an event to the router, and perform the resulting actions."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle_event(self._events.popleft())
        finally:
            self._is_handling = False
        self._set_timer()

    def update(
        self,
        event: events.ConfigurationReceived
        | events.DirectoryChanged
        | events.HostsChanged,
    ) -> None:
        """Apply a change of configuration, targets or hosts to all parts."""
        self.post(event)
        if isinstance(event, events.ConfigurationReceived):
            self.work_queue.update_priorities()
        self.target_pools.prune()
        self.target_pools.update_limits()

    async def run_sweeps(self) -> None:
        """Expire connections and check targets regularly until cancelled."""
        next_try_at = 0.0
        while True:
            due = time.monotonic() + SWEEP_INTERVAL_S
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = time.monotonic()
            self.router.controls.lags.record_own(now - due, now)
            self.target_pools.expire(now)
            self._helper_clients.expire(now)
            self.post(events.ReviewDue())
            if now >= next_try_at and reachability.needs_connection_tries(
                self.router, now
            ):
                next_try_at = now + TRY_INTERVAL_S
                self.target_pools.try_unconfirmed(now)

    def close(self) -> None:
        """Close all connections."""
        if self._timer is not None:
            self._timer.cancel()
        self.target_pools.close()
        self._helper_clients.close()

    def _handle_event(self, event: events.Event) -> None:
        for action in dispatch.handle_event(
            self.router, event, time.monotonic()
        ):
            self._perform_action(action)

    def _perform_action(self, action: events.Action) -> None:
        match action:
            case events.SendAttempt():
                self.target_pools.send(action)
            case events.WithdrawAttempt(key):
                self.target_pools.cancel(key, also_sent=False)
            case events.CancelAttempt(key):
                self.target_pools.cancel(key, also_sent=True)
            case events.Delegate():
                self._helper_clients.send(action)
            case events.CancelDelegation(delegation_key):
                self._helper_clients.cancel(delegation_key)
            case events.SendDelegationReport(number, report):
                self._send_report(number, report)
            case events.Reply():
                self._reply(action)
            case _:
                self._notify(action)

    def _reply(self, action: events.Reply) -> None:
        reply = self._replies.pop(action.request_number, None)
        if reply is not None:
            reply(action.outcome)
            if action.due:
                # The time of this pass shows on the clock in the next one.
                loop = asyncio.get_running_loop()
                loop.call_soon(
                    lambda: dispatch.record_reply(
                        self.router, action, time.monotonic()
                    )
                )

    def _send_report(
        self, number: int, report: events.DelegationReport
    ) -> None:
        send_report = self._report_senders.get(number)
        if report.is_last:
            self._report_senders.pop(number, None)
        if send_report is not None:
            send_report(report)

    def _set_timer(self) -> None:
        deadline = self.router.find_next_deadline()
        if self._timer is not None:
            if deadline is not None and self._timer.when() == deadline:
                return
            self._timer.cancel()
            self._timer = None
        if deadline is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(deadline, self._handle_timer)

    def _handle_timer(self) -> None:
        if self._timer is not None:
            now = time.monotonic()
            lag_s = now - self._timer.when()
            self.router.controls.lags.record_own(lag_s, now)
        self._timer = None
        self.post(events.ClockTicked())
