"""Assemble and run the process of one host, and stop it gracefully."""

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

from fuchsiahaven.core import errors, suspects
from fuchsiahaven.operate import exit_codes
from fuchsiahaven.platform import http_codecs
from fuchsiahaven.platform import settings as settings_files
from fuchsiahaven.relay import (
    host_entries,
    internal_api,
    journal,
    key_refresher,
    listeners,
    metrics,
    quarantine_entries,
    quota_sockets,
    readiness,
    router_updates,
    runners,
    stop_sequence,
    store_sync,
    suspect_notices,
)
from fuchsiahaven.routing import (
    configs,
    deployments,
    dispatch,
    events,
    facts,
    quota_messages,
    retry_times,
    states,
    suspect_codecs,
)

PART: Final = 'process'
STOPPING: Final = internal_api.STOPPING
#: How often the settings file is checked for changes.
SETTINGS_CHECK_INTERVAL_S: Final = 2.0
#: Log fields that are omitted if empty: only requests with keys have them.
CUSTOMER_FIELDS: Final = ('customer', 'why')


class Process:
    """Connect the router, the listeners and the store view of one process."""

    def __init__(
        self, settings: deployments.Settings, log: journal.Journal
    ) -> None:
        """Create all parts without listening."""
        self.settings = settings
        self.log = log
        self.metrics = metrics.RequestMetrics()
        self.router = states.Router(
            settings.host, settings.extra_load, random.random
        )
        self.router.reply_margin.link_bytes_per_s = settings.link_bytes_per_s
        self.router.warmups.limit = settings.warm_up
        self.router.controls.load_shares.record_start(
            time.monotonic(), settings.extra_load.window_s
        )
        self.runner = runners.Runner(self.router, self._handle_notification)
        self.metrics.queue_counts = self.runner.work_queue.counts
        self.router_updater = router_updates.RouterUpdater(
            settings, self.runner, log, self.find_obstacle
        )
        self.keys = self.router.controls.freshness
        self.keys.revoke_s = settings.revoke_s
        self.store_sync = store_sync.StoreSync(
            settings,
            log,
            self._apply_merge,
            self.runner.traffic_counts,
            self.keys,
        )
        self.key_refresher = key_refresher.KeyRefresher(
            settings,
            self.store_sync,
            self.keys,
            log,
            self.runner.traffic_counts,
        )
        self.quarantine_entries = quarantine_entries.QuarantineEntries(
            self.router, self.store_sync, log
        )
        self.peer_reporters = internal_api.make_peer_reporters(
            self.runner, self.quarantine_entries, log
        )
        self._quota_socket = quota_sockets.QuotaSocket(
            settings,
            self.router.controls.quotas,
            log,
            self.runner.traffic_counts,
            self.runner.post,
        )
        self.readiness = readiness.Readiness(self._find_router_obstacle, log)
        self.caller_listener = listeners.Listener(
            listeners.ListenerOptions(
                self._handle_request,
                self._get_limits,
                self.readiness.is_obstructed,
            )
        )
        api = internal_api.InternalApi(
            self.runner,
            self.store_sync,
            self.metrics,
            self.router_updater.evacuations,
            self.peer_reporters,
            self.find_obstacle,
            self.readiness.record_poll,
        )
        self.balancer_listener = self._make_listener(
            api.handle_balancer_request
        )
        self.peer_listener = self._make_listener(api.handle_request)
        self._host_entry = host_entries.HostEntry(self.store_sync, log)
        self._stop_requested = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self.runner.close)
            stack.callback(self.store_sync.close)
            stack.callback(self.key_refresher.close)
            stack.callback(self.quarantine_entries.close)
            stack.callback(self.peer_reporters.notice_sender.close)
            stack.callback(self.peer_reporters.silence_reporter.close)
            await self._listen(stack)
            async with asyncio.TaskGroup() as tasks:
                running = [
                    tasks.create_task(self.store_sync.run()),
                    tasks.create_task(self._host_entry.run()),
                    tasks.create_task(self.key_refresher.run()),
                    tasks.create_task(
                        self.peer_reporters.notice_sender.fetch()
                    ),
                    tasks.create_task(
                        self.peer_reporters.silence_reporter.run()
                    ),
                    tasks.create_task(self.runner.run_sweeps()),
                    tasks.create_task(self._watch_settings()),
                ]
                self.log.log_event(PART, 'started', settings=self.settings)
                await self._stop_requested.wait()
                parts = stop_sequence.Parts(
                    self.runner, self.caller_listener, self.peer_listener
                )
                await stop_sequence.run(parts, self.settings.grace_s, self.log)
                for task in running:
                    task.cancel()

    def find_obstacle(self) -> str:
        """Return why this host should get no new requests; '' if it may."""
        if self._stop_requested.is_set():
            return STOPPING
        return self.readiness.find_obstacle()

    def _apply_merge(self, merged: facts.MergeResult) -> None:
        self.router_updater.apply(merged)
        if merged.restore is not None:
            self._host_entry.handle_restore()
            self.quarantine_entries.handle_restore()

    def _find_router_obstacle(self) -> str:
        if self._stop_requested.is_set():
            return STOPPING
        return dispatch.find_obstacle(self.router, time.monotonic())

    async def _listen(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self.settings
        peer_server = await self.peer_listener.listen(settings.host.address)
        stack.callback(peer_server.close)
        stack.callback(self._quota_socket.close)
        await self._quota_socket.open()
        metrics_server = await self.peer_listener.listen(
            settings.metrics_address
        )
        stack.callback(metrics_server.close)
        balancer_server = await self.balancer_listener.listen(
            settings.readiness_address
        )
        stack.callback(balancer_server.close)
        caller_server = await self.caller_listener.listen(
            settings.caller_address
        )
        stack.callback(caller_server.close)

    async def _watch_settings(self) -> None:
        """Reload the settings file when it changes without a signal."""
        path = settings_files.find_path()
        loaded_ns = _read_modified_ns(path)
        while path is not None:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            modified_ns = _read_modified_ns(path)
            if modified_ns != loaded_ns:
                loaded_ns = modified_ns
                self._reload()

    def _reload(self) -> None:
        path = settings_files.find_path()
        if path is None:
            return
        reading = settings_files.read_file(path)
        if reading.settings is None:
            # The settings in force stay, as the file may be partly written.
            self.log.log_event(
                PART, 'settings are wrong', faults=reading.faults
            )
            return
        self.settings = reading.settings
        self.store_sync.settings = reading.settings
        self.router_updater.settings = reading.settings
        self.router.update_extra_load(reading.settings.extra_load)
        self.router.warmups.limit = reading.settings.warm_up
        self.keys.revoke_s = reading.settings.revoke_s
        self._quota_socket.update_settings(reading.settings)
        self.log.log_event(PART, 'reloaded', settings=self.settings)

    def _make_listener(
        self, handle_request: listeners.RequestHandler
    ) -> listeners.Listener:
        return listeners.Listener(
            listeners.ListenerOptions(handle_request, self._get_limits)
        )

    def _get_limits(self) -> configs.Limits:
        return self.router.index.configuration.limits

    def _handle_request(
        self, message: http_codecs.Message, caller: listeners.Caller
    ) -> Callable[[], None]:
        request = http_codecs.decode_request(
            message, time.monotonic(), caller.read_peer_state().round_trip_s
        )

        def reply(outcome: events.Outcome) -> None:
            advised = self.readiness.adjust_retry_after(outcome)
            if advised is not outcome and isinstance(advised, errors.Failure):
                now = time.monotonic()
                advised = retry_times.spread_retry_after(
                    self.router, advised, request, now
                )
            caller.respond(http_codecs.encode_outcome(advised))

        request_number = self.runner.submit_request(request, reply)
        return lambda: self.runner.abandon(request_number)

    def _handle_notification(self, notification: events.Notification) -> None:
        match notification:
            case quota_messages.SendMessage():
                own = self.settings.host.data_centre
                local_hosts = self.router.centre_health.list_hosts(own)
                self._quota_socket.send(notification, local_hosts)
            case events.RequestSummary():
                self._record_summary(notification)
            case events.CrashReport():
                row = notification._replace(took=round(notification.took, 4))
                self.metrics.crashes += 1
                self.log.log_request(
                    'targets',
                    'ended under a request',
                    good=False,
                    **row._asdict(),
                )
            case events.SuspicionChanged(report, is_forwarded):
                self._log_suspicion(report)
                if is_forwarded:
                    self.peer_reporters.notice_sender.publish(report)
            case events.TargetStatusReport(target, text, reason):
                self.log.log_request(
                    'targets', text, good=False, target=target, why=reason
                )

    def _log_suspicion(self, report: suspects.News) -> None:
        self.log.log_request(
            suspect_notices.PART,
            suspects.get_state_name(report),
            good=False,
            **suspect_codecs.encode_report(report),
        )

    def _record_summary(self, summary: events.RequestSummary) -> None:
        self.metrics.record_request(summary)
        age = time.monotonic() - self.store_sync.view.read_at
        good = summary.result in {'complete', 'partial', 'relayed 200'}
        row = summary._replace(took=round(summary.took, 4))._asdict()
        for name in CUSTOMER_FIELDS:
            if not row[name]:
                row.pop(name)
        self.log.log_request(
            'request', 'ended', good=good, news_age=round(age, 1), **row
        )


def _read_modified_ns(path: Path | None) -> int:
    """Return the time of a file's last change, in ns; 0 without a file."""
    try:
        return path.stat().st_mtime_ns if path is not None else 0
    except OSError:
        return 0


def serve() -> int:
    """Serve with the settings file of the platform; return the exit code."""
    path = settings_files.find_path()
    if path is None:
        print(f'{settings_files.PATH_VARIABLE} names no settings file')
        return exit_codes.FAILED
    reading = settings_files.read_file(path)
    if reading.settings is None:
        for fault in reading.faults:
            print(f'{path}: {fault.name} {fault.text}')
        return exit_codes.FAILED
    log = journal.Journal(reading.settings.host.name)
    with contextlib.closing(log):
        asyncio.run(Process(reading.settings, log).run())
    return exit_codes.SUCCESS
