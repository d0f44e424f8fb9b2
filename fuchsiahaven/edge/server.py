"""Wire one `serve` process together and stop it without cutting a request."""

import contextlib
import random
import signal
import ssl
import threading
import time
import types
from collections.abc import Callable
from typing import Final

from cheroot import wsgi

from fuchsiahaven.core import policies
from fuchsiahaven.core.customers import freshness
from fuchsiahaven.core.queries import states
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import (
    callers,
    claims,
    control,
    doors,
    loop,
    meters,
    openings,
    peer_calls,
    ports,
    requests,
    store,
)
from fuchsiahaven.operate import logs, settings

PART: Final = 'server'
MILLISECONDS: Final = 1000
DRAIN_CHECK_S: Final = 0.05
SCRAPER_THREADS: Final = 2


class Host:
    """Join the caller port to the other tasks of this process."""

    def __init__(
        self,
        dispatcher: loop.Loop,
        controller: control.Control,
        door: doors.Door,
    ) -> None:
        """Hand queries to a loop that a door lets in."""
        self.admit = door.admit
        self._door = door
        self._loop = dispatcher
        self._controller = controller
        self._leaving = threading.Event()
        self._meters = meters.Meters()
        self.note_reply = self._meters.note_reply
        self.note_refusal = self._meters.note_refusal

    def ask(self, query: messages.Query, reply_to: loop.ReplyQueue) -> None:
        """Hand a query over; its one reply goes to the queue."""
        self._loop.post(loop.Asked(query, reply_to))

    def find_obstacle(self) -> str:
        """Say why no new work should come here; empty if it may."""
        if self.is_leaving():
            return 'stopping'
        if self._door.find_wait():
            return 'no recent word of which keys are valid'
        return self._controller.explain() or self._loop.sample.obstacle

    def is_leaving(self) -> bool:
        """Tell whether the planned stop has begun."""
        return self._leaving.is_set()

    def leave(self) -> None:
        """Begin the planned stop; balancer and members are told."""
        self._leaving.set()
        self._controller.announce_stop()

    def write_metrics(self) -> bytes:
        """Write the metrics."""
        return self._meters.write(self._loop.sample)


def serve(chosen: settings.Settings) -> bool:
    """Serve until a signal asks for the planned stop, then make it.

    False where the dispatch loop has failed: the process then ends at once,
    so that another takes its place.
    """
    asked = threading.Event()

    def ask_stop(number: int, frame: types.FrameType | None) -> None:
        asked.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, ask_stop)
    with contextlib.ExitStack() as stack:
        caller = openings.open_caller(chosen, stack)
        task = _prepare_claims(chosen, caller, stack)
        dispatcher = _make_loop(chosen, task.take)
        _start_loop(dispatcher, asked, stack)
        task.start(dispatcher.post, stack)
        door = doors.Door(freshness.Freshness(chosen.customers.revoke_s))
        links = control.Links(
            dispatcher.post,
            task.take_claims,
            task.note_members,
            door,
            lambda: dispatcher.sample.quarantined,
        )
        controller = control.start(chosen, links, caller, stack)
        host = Host(dispatcher, controller, door)
        _start_callers(chosen, host, stack)
        logs.info(PART, 'serving', host=chosen.host.name)
        asked.wait()
        if dispatcher.sample.obstacle == 'ended':
            logs.error(PART, 'the dispatch loop has failed')
            return False
        _stop(chosen.limits, host, dispatcher)
    return True


def _stop(limits: settings.Limits, host: Host, dispatcher: loop.Loop) -> None:
    """Stop without cutting a request.

    The balancer goes on sending for its lag after it has been told; what it
    sends in that time is answered as ever. Only then is new work refused,
    as not run, and what runs is given time to end.
    """
    logs.info(PART, 'leaving', lag_s=limits.balancer_lag_s)
    host.leave()
    time.sleep(limits.balancer_lag_s)
    dispatcher.post(messages.StopRequested())
    give_up = time.monotonic() + limits.drain_s
    while _count_unanswered(dispatcher) and time.monotonic() < give_up:
        time.sleep(DRAIN_CHECK_S)
    logs.info(PART, 'stopped', unanswered=_count_unanswered(dispatcher))


def _count_unanswered(dispatcher: loop.Loop) -> int:
    # Before the loop has taken note of the stop, its figure is of before.
    sample = dispatcher.sample
    return sample.unanswered or int(sample.obstacle != 'stopping')


def _prepare_claims(
    chosen: settings.Settings,
    caller: peer_calls.Caller,
    stack: contextlib.ExitStack,
) -> claims.Task:
    def open_store() -> store.Store:
        return openings.open_store(chosen, stack, claims.LIMITS)

    return claims.Task(open_store, caller.ask_claims)


def _start_loop(
    dispatcher: loop.Loop,
    ended: threading.Event,
    stack: contextlib.ExitStack,
) -> None:
    def run() -> None:
        try:
            dispatcher.run()
        finally:
            ended.set()

    openings.start_thread(run, 'loop', stack)
    stack.callback(dispatcher.post, loop.Closed())


def _make_loop(
    chosen: settings.Settings,
    claim: Callable[[loop.ClaimAction], None],
) -> loop.Loop:
    bounds = loop.Settings(
        chosen.targets.answer_bytes,
        chosen.targets.probe_timeout_ms / MILLISECONDS,
        chosen.targets.connect_timeout_ms / MILLISECONDS,
        openings.open_identity(chosen.targets, ssl.Purpose.SERVER_AUTH),
    )
    state = states.make_state(
        chosen.host.data_centre,
        random.random,
        policies.POLICIES[chosen.policy.name],
    )
    return loop.Loop(state, bounds, claim)


def _start_callers(
    chosen: settings.Settings,
    host: Host,
    stack: contextlib.ExitStack,
) -> None:
    own = chosen.callers
    bounds = requests.Bounds(own.body_depth, own.body_items)
    port = ports.Port(
        own.address,
        own.threads,
        own.listen_queue,
        own.header_bytes,
        own.body_bytes,
        own.read_timeout_ms / MILLISECONDS,
        own.idle_timeout_s,
        shared=chosen.host.processes > 1,
        identity=openings.open_identity(own, ssl.Purpose.CLIENT_AUTH),
    )
    server = ports.make_server(callers.Application(host, bounds), port)
    server.prepare()
    _serve_port(server, 'callers', stack)
    if chosen.metrics.address is not None:
        application = callers.Application(host, bounds, callers.SCRAPERS)
        bound = openings.bind_next(
            lambda address: ports.make_server(
                application,
                port._replace(
                    address=address, threads=SCRAPER_THREADS, shared=False
                ),
            ),
            chosen.metrics.address,
            chosen.host.processes,
        )
        _serve_port(bound.server, 'metrics', stack)


def _serve_port(
    server: wsgi.Server, name: str, stack: contextlib.ExitStack
) -> None:
    openings.start_thread(server.serve, name, stack)
    stack.callback(server.stop)
