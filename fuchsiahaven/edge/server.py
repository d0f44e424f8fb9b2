"""Wire one `serve` process together and stop it without cutting a request."""

import contextlib
import random
import signal
import threading
import types
from typing import Final

from fuchsiahaven.core import addresses, messages, states
from fuchsiahaven.edge import callers, control, loop, requests
from fuchsiahaven.operate import logs, metrics, settings

PART: Final = 'server'
MILLISECONDS: Final = 1000


class Host:
    """Join the caller port to the dispatch loop."""

    def __init__(self, dispatcher: loop.Loop) -> None:
        """Hand queries to a loop."""
        self._loop = dispatcher
        self._metrics = metrics.build_metrics()

    def ask(self, query: messages.Query, reply_to: loop.ReplyQueue) -> None:
        """Hand a query over; its one reply goes to the queue."""
        self._loop.post(loop.Asked(query, reply_to))

    def find_obstacle(self) -> str:
        """Say why no new work should come here; empty if it may."""
        return self._loop.obstacle

    def write_metrics(self) -> bytes:
        """Write the metrics."""
        return metrics.write_metrics(self._metrics)

    def note_reply(self, query: messages.Query, reply: messages.Reply) -> None:
        """Count a reply."""


def serve(chosen: settings.Settings) -> None:
    """Serve until a signal asks for the planned stop."""
    stop = threading.Event()

    def ask_stop(number: int, frame: types.FrameType | None) -> None:
        stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, ask_stop)
    with contextlib.ExitStack() as stack:
        dispatcher = _start_loop(chosen, stack)
        control.start(chosen, dispatcher.post, stack)
        _start_callers(chosen, dispatcher, stack)
        logs.info(PART, 'serving', host=chosen.host.name)
        stop.wait()
        logs.info(PART, 'stopping', host=chosen.host.name)


def _start_loop(
    chosen: settings.Settings, stack: contextlib.ExitStack
) -> loop.Loop:
    bounds = loop.Settings(
        chosen.targets.answer_bytes,
        chosen.targets.probe_timeout_ms / MILLISECONDS,
        chosen.targets.connect_timeout_ms / MILLISECONDS,
    )
    state = states.start(chosen.host.data_centre, random.random)
    dispatcher = loop.Loop(state, bounds, _ignore)
    thread = threading.Thread(target=dispatcher.run, name='loop')
    thread.start()
    stack.callback(thread.join)
    stack.callback(dispatcher.post, loop.Closed())
    return dispatcher


def _start_callers(
    chosen: settings.Settings,
    dispatcher: loop.Loop,
    stack: contextlib.ExitStack,
) -> None:
    limits = chosen.callers
    bounds = callers.Bounds(
        requests.Bounds(
            limits.body_bytes, limits.body_depth, limits.body_items
        ),
        limits.read_timeout_ms / MILLISECONDS,
    )
    port = callers.Port(
        addresses.write(limits.address),
        limits.threads,
        limits.listen_queue,
        limits.header_bytes,
        limits.body_bytes,
        limits.idle_timeout_s,
        shared=chosen.host.processes > 1,
    )
    application = callers.Application(Host(dispatcher), bounds)
    server = callers.make_server(application, port)
    server.prepare()
    thread = threading.Thread(target=server.serve, name='callers')
    thread.start()
    stack.callback(thread.join)
    stack.callback(server.stop)


def _ignore(action: messages.Action) -> None:
    """Take a claim that nothing serves yet."""
