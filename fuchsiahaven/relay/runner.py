"""Drive the decisions: events in, actions carried out, timers kept."""

import asyncio
import collections
import time
from collections.abc import Callable
from typing import Final

from fuchsiahaven.relay import pools
from fuchsiahaven.routing import (
    desks,
    events,
    instances,
    reaches,
    seats,
    states,
)

#: How often connections are looked at for what takes too long.
SWEEP_S: Final = 0.1
#: How often a host that is cut off tries whether it still is, in seconds. Its
#: balancer asks once a second.
TRY_S: Final = 0.4

Reply = Callable[[events.Outcome], None]
Tell = Callable[[events.Story], None]


class Runner:
    """Own the decisions and the connections to targets."""

    def __init__(self, desk: states.Desk, tell: Tell) -> None:
        """Start with nothing to do."""
        self.desk = desk
        self.pools: dict[str, pools.Pool] = {}
        self._tell = tell
        self._events: collections.deque[events.Event] = collections.deque()
        self._replies: dict[int, Reply] = {}
        self._running = False
        self._last = 0
        self._try_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def ask(self, request: events.Request, reply: Reply) -> int:
        """Take a request; `reply` is called once, unless it is abandoned."""
        self._last += 1
        self._replies[self._last] = reply
        self.post(events.Asked(self._last, request))
        return self._last

    def abandon(self, ask: int) -> None:
        """Take note that a caller has left."""
        self._replies.pop(ask, None)
        self.post(events.Abandoned(ask))

    def count_waiting(self) -> int:
        """Count the callers that have yet to get their reply."""
        return len(self._replies)

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
        self, event: events.Configured | events.Directed | events.Counted
    ) -> None:
        """Take news of what there is, and what follows for connections."""
        self.post(event)
        for name in self.pools.keys() - self.desk.directory.by_name.keys():
            # What is under way at a target that leaves may end there.
            if self.pools[name].is_unused():
                self.pools.pop(name).close()
        self._deal()

    def _deal(self) -> None:
        """Work out how many connections each target has for this host."""
        for pool in self.pools.values():
            service = self.desk.index.services.get(pool.instance.service)
            if service is not None:
                pool.seats = seats.count_seats(
                    service.connections, self.desk.hosts
                )

    async def sweep(self) -> None:
        """Look at the connections from time to time, for ever."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = time.monotonic()
            for pool in tuple(self.pools.values()):
                pool.sweep(now)
            if now >= self._try_at and reaches.is_cut_off(self.desk, now):
                self._try_at = now + TRY_S
                # A host that is sent nothing would not notice its return.
                for name in self.pools.keys() & reaches.list_doubtful(
                    self.desk, now
                ):
                    self.pools[name].try_way()

    def close(self) -> None:
        """Close all connections to targets."""
        if self._timer is not None:
            self._timer.cancel()
        for pool in tuple(self.pools.values()):
            pool.close()

    def _handle(self, event: events.Event) -> None:
        for action in desks.handle(self.desk, event, time.monotonic()):
            self._perform(action)

    def _perform(self, action: events.Action) -> None:
        match action:
            case events.Send():
                self._find_pool(action.instance).place(action)
            case events.Withdraw(key):
                self._stop(key, also_sent=False)
            case events.Cancel(key):
                self._stop(key, also_sent=True)
            case events.Reply(ask, outcome):
                reply = self._replies.pop(ask, None)
                if reply is not None:
                    reply(outcome)
            case events.Story():
                self._tell(action)

    def _find_pool(self, instance: instances.Instance) -> pools.Pool:
        pool = self.pools.get(instance.name)
        if pool is None:
            pool = pools.Pool(instance, self.post, time.monotonic)
            self.pools[instance.name] = pool
            self._deal()
        return pool

    def _stop(self, key: events.FlightKey, *, also_sent: bool) -> None:
        aloft = self.desk.aloft.get(key)
        if aloft is not None and aloft.instance in self.pools:
            self.pools[aloft.instance].stop(key, also_sent=also_sent)

    def _set_timer(self) -> None:
        wake = self.desk.next_wake()
        if self._timer is not None:
            if wake is not None and self._timer.when() == wake:
                return
            self._timer.cancel()
            self._timer = None
        if wake is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(wake, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.post(events.Ticked())
