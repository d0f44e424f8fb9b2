"""Drive the decisions: events in, actions carried out, timers kept."""

import asyncio
import collections
import time
from collections.abc import Callable
from typing import Final

from fuchsiahaven.relay import assistants, fleets, orders, traffic
from fuchsiahaven.routing import dispatch, events, reachability, states

#: How often connections are looked at for what takes too long.
SWEEP_S: Final = 0.1
#: How often a host that is cut off tries whether it still is, in seconds. Its
#: balancer asks once a second.
TRY_S: Final = 0.4

Reply = Callable[[events.Outcome], None]
Give = Callable[[events.DelegationReport], None]
Tell = Callable[[events.Notification], None]


class Runner:
    """Own the decisions and whom to tell what comes of them."""

    def __init__(self, desk: states.Router, tell: Tell) -> None:
        """Start with nothing to do."""
        self.desk = desk
        self.traffic = traffic.Traffic()
        self.fleet = fleets.Fleet(desk, self.post, time.monotonic, self.traffic)
        self._assistants = assistants.Assistants(
            self.post, time.monotonic, self.traffic, desk.host.data_centre
        )
        self.order = orders.Order(desk, self.post, self._perform)
        self._tell = tell
        self._events: collections.deque[events.Event] = collections.deque()
        self._replies: dict[int, Reply] = {}
        self._givers: dict[int, Give] = {}
        self._running = False
        self._last = 0
        self._timer: asyncio.TimerHandle | None = None

    def ask(self, request: events.Request, reply: Reply) -> int:
        """Take a request; `reply` is called once, unless it is abandoned."""
        self._last += 1
        self._replies[self._last] = reply
        self.order.take(events.RequestReceived(self._last, request))
        return self._last

    def assist(self, assist: events.DelegatedRequest, give: Give) -> int:
        """Take another host's request; `give` is called with each share."""
        self._last += 1
        self._givers[self._last] = give
        self.order.take(events.DelegatedRequestReceived(self._last, assist))
        return self._last

    def abandon(self, ask: int) -> None:
        """Take note that a caller, or the host that asked, has left."""
        self._replies.pop(ask, None)
        self._givers.pop(ask, None)
        if not self.order.drop(ask):
            self.post(events.RequestAbandoned(ask))

    def count_waiting(self) -> int:
        """Count the callers and hosts that have yet to get their reply."""
        return len(self._replies) + len(self._givers)

    def post(self, event: events.Event) -> None:
        """Take in an event and do what it asks for."""
        self._events.append(event)
        if self._running:
            return
        self._running = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._running = False
        self._set_timer()

    def learn(
        self,
        event: events.ConfigurationReceived
        | events.DirectoryChanged
        | events.HostsChanged,
    ) -> None:
        """Take news of what there is, and what follows for connections."""
        self.post(event)
        if isinstance(event, events.ConfigurationReceived):
            self.order.reorder()
        self.fleet.prune()
        self.fleet.deal()

    async def sweep(self) -> None:
        """Look at the connections from time to time, for ever."""
        try_at = 0.0
        while True:
            due = time.monotonic() + SWEEP_S
            await asyncio.sleep(SWEEP_S)
            now = time.monotonic()
            self.desk.controls.lags.record_own(now - due, now)
            self.fleet.sweep(now)
            self._assistants.sweep(now)
            self.post(events.ReviewDue())
            if now >= try_at and reachability.needs_connection_tries(
                self.desk, now
            ):
                try_at = now + TRY_S
                self.fleet.try_ways(now)

    def close(self) -> None:
        """Close all connections."""
        if self._timer is not None:
            self._timer.cancel()
        self.fleet.close()
        self._assistants.close()

    def _handle(self, event: events.Event) -> None:
        for action in dispatch.handle_event(self.desk, event, time.monotonic()):
            self._perform(action)

    def _perform(self, action: events.Action) -> None:
        match action:
            case events.SendAttempt():
                self.fleet.place(action)
            case events.WithdrawAttempt(key):
                self.fleet.stop(key, also_sent=False)
            case events.CancelAttempt(key):
                self.fleet.stop(key, also_sent=True)
            case events.Delegate():
                self._assistants.place(action)
            case events.CancelDelegation(assistance):
                self._assistants.dismiss(assistance)
            case events.SendDelegationReport(ask, share):
                self._give(ask, share)
            case events.Reply():
                self._reply(action)
            case _:
                self._tell(action)

    def _reply(self, told: events.Reply) -> None:
        reply = self._replies.pop(told.request_number, None)
        if reply is not None:
            reply(told.outcome)
            if told.due:
                # What this turn costs shows on the clock at the next one.
                loop = asyncio.get_running_loop()
                loop.call_soon(
                    lambda: dispatch.record_reply(
                        self.desk, told, time.monotonic()
                    )
                )

    def _give(self, ask: int, share: events.DelegationReport) -> None:
        give = self._givers.get(ask)
        if share.is_last:
            self._givers.pop(ask, None)
        if give is not None:
            give(share)

    def _set_timer(self) -> None:
        wake = self.desk.find_next_deadline()
        if self._timer is not None:
            if wake is not None and self._timer.when() == wake:
                return
            self._timer.cancel()
            self._timer = None
        if wake is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(wake, self._tick)

    def _tick(self) -> None:
        if self._timer is not None:
            now = time.monotonic()
            late = now - self._timer.when()
            self.desk.controls.lags.record_own(late, now)
        self._timer = None
        self.post(events.ClockTicked())
