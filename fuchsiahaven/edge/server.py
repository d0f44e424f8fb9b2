"""Run one `serve` process and stop it without cutting a request."""

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
    authenticators,
    caller_port,
    caller_requests,
    claim_task,
    control,
    dispatch_loop,
    http_server,
    peer_client,
    process_metrics,
    resources,
    store,
)
from fuchsiahaven.operate import logs, settings

PART: Final = 'server'
MS_PER_S: Final = 1000
DRAIN_POLL_S: Final = 0.05
SCRAPER_THREADS: Final = 2


class Host:
    """Connect the caller port to the other tasks of this process."""

    def __init__(
        self,
        dispatcher: dispatch_loop.DispatchLoop,
        controller: control.Control,
        authenticator: authenticators.Authenticator,
    ) -> None:
        """Submit authenticated queries to the dispatch loop."""
        self.admit = authenticator.admit
        self._authenticator = authenticator
        self._loop = dispatcher
        self._controller = controller
        self._stopping = threading.Event()
        self._metrics = process_metrics.ProcessMetrics()
        self.record_reply = self._metrics.record_reply
        self.record_refusal = self._metrics.record_refusal

    def submit_query(
        self, query: messages.Query, reply_to: dispatch_loop.ReplyQueue
    ) -> None:
        """Submit a query; its only reply is put into the queue."""
        self._loop.post(dispatch_loop.QueryReceived(query, reply_to))

    def find_unready_reason(self) -> str:
        """Return why this host takes no new work; empty if it does."""
        if self.is_stopping():
            return 'stopping'
        if self._authenticator.compute_wait():
            return 'no recent word of which keys are valid'
        return (
            self._controller.find_unready_reason()
            or self._loop.status.unready_reason
        )

    def is_stopping(self) -> bool:
        """Return whether the planned stop has begun."""
        return self._stopping.is_set()

    def begin_stop(self) -> None:
        """Begin the planned stop; balancer and members are informed."""
        self._stopping.set()
        self._controller.announce_stop()

    def encode_metrics(self) -> bytes:
        """Return the metrics as text."""
        return self._metrics.encode(self._loop.status)


def serve(host_settings: settings.Settings) -> bool:
    """Serve until a signal requests the planned stop, then stop.

    Return False if the dispatch loop has failed: the process then ends at
    once, so that another replaces it.
    """
    stop_requested = threading.Event()

    def request_stop(number: int, frame: types.FrameType | None) -> None:
        stop_requested.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, request_stop)
    with contextlib.ExitStack() as stack:
        client = resources.open_peer_client(host_settings, stack)
        claims = _prepare_claims(host_settings, client, stack)
        dispatcher = _make_loop(host_settings, claims.perform)
        _start_loop(dispatcher, stop_requested, stack)
        claims.start(dispatcher.post, stack)
        authenticator = authenticators.Authenticator(
            freshness.Freshness(host_settings.customers.revoke_s)
        )
        callbacks = control.Callbacks(
            dispatcher.post,
            claims.handle_claims,
            claims.update_members,
            authenticator,
            lambda: dispatcher.status.quarantined,
        )
        controller = control.start(host_settings, callbacks, client, stack)
        host = Host(dispatcher, controller, authenticator)
        _start_ports(host_settings, host, stack)
        logs.info(PART, 'serving', host=host_settings.host.name)
        stop_requested.wait()
        if dispatcher.status.unready_reason == 'ended':
            logs.error(PART, 'the dispatch loop has failed')
            return False
        _stop(host_settings.limits, host, dispatcher)
    return True


def _stop(
    limits: settings.Limits, host: Host, dispatcher: dispatch_loop.DispatchLoop
) -> None:
    """Stop without cutting a request.

    The balancer keeps sending for its lag after the stop is announced; these
    requests are served as usual. Only then is new work refused as not run,
    and requests in flight get time to end.
    """
    logs.info(PART, 'leaving', lag_s=limits.balancer_lag_s)
    host.begin_stop()
    time.sleep(limits.balancer_lag_s)
    dispatcher.post(messages.StopRequested())
    deadline = time.monotonic() + limits.drain_s
    while _count_unanswered(dispatcher) and time.monotonic() < deadline:
        time.sleep(DRAIN_POLL_S)
    logs.info(PART, 'stopped', unanswered=_count_unanswered(dispatcher))


def _count_unanswered(dispatcher: dispatch_loop.DispatchLoop) -> int:
    # Until the status says 'stopping', its count is from before the stop.
    status = dispatcher.status
    return status.unanswered or int(status.unready_reason != 'stopping')


def _prepare_claims(
    host_settings: settings.Settings,
    client: peer_client.PeerClient,
    stack: contextlib.ExitStack,
) -> claim_task.Task:
    def open_store() -> store.Store:
        return resources.open_store(host_settings, stack, claim_task.LIMITS)

    return claim_task.Task(open_store, client.send_claims)


def _start_loop(
    dispatcher: dispatch_loop.DispatchLoop,
    ended: threading.Event,
    stack: contextlib.ExitStack,
) -> None:
    def run() -> None:
        try:
            dispatcher.run()
        finally:
            ended.set()

    resources.start_thread(run, 'loop', stack)
    stack.callback(dispatcher.post, dispatch_loop.StopRequested())


def _make_loop(
    host_settings: settings.Settings,
    perform_claim: Callable[[dispatch_loop.ClaimAction], None],
) -> dispatch_loop.DispatchLoop:
    loop_settings = dispatch_loop.Settings(
        host_settings.targets.answer_bytes,
        host_settings.targets.probe_timeout_ms / MS_PER_S,
        host_settings.targets.connect_timeout_ms / MS_PER_S,
        resources.open_identity(host_settings.targets, ssl.Purpose.SERVER_AUTH),
    )
    state = states.make_state(
        host_settings.host.data_centre,
        random.random,
        policies.POLICIES[host_settings.policy.name],
    )
    return dispatch_loop.DispatchLoop(state, loop_settings, perform_claim)


def _start_ports(
    host_settings: settings.Settings,
    host: Host,
    stack: contextlib.ExitStack,
) -> None:
    section = host_settings.callers
    bounds = caller_requests.BodyBounds(section.body_depth, section.body_items)
    port_settings = http_server.PortSettings(
        section.address,
        section.threads,
        section.listen_queue,
        section.header_bytes,
        section.body_bytes,
        section.read_timeout_ms / MS_PER_S,
        section.idle_timeout_s,
        reuse_port=host_settings.host.processes > 1,
        identity=resources.open_identity(section, ssl.Purpose.CLIENT_AUTH),
    )
    server = http_server.make_server(
        caller_port.Application(host, bounds), port_settings
    )
    server.prepare()
    _serve_port(server, 'callers', stack)
    if host_settings.metrics.address is not None:
        application = caller_port.Application(
            host, bounds, caller_port.SCRAPER_ROUTES
        )
        bound = resources.bind_free_port(
            lambda address: http_server.make_server(
                application,
                port_settings._replace(
                    address=address, threads=SCRAPER_THREADS, reuse_port=False
                ),
            ),
            host_settings.metrics.address,
            host_settings.host.processes,
        )
        _serve_port(bound.server, 'metrics', stack)


def _serve_port(
    server: wsgi.Server, name: str, stack: contextlib.ExitStack
) -> None:
    resources.start_thread(server.serve, name, stack)
    stack.callback(server.stop)
