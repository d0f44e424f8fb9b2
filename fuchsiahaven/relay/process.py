"""Wire one process together on the platform, and stop it without a cut."""

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
    confirmations,
    datagrams,
    entries,
    journal,
    lessons,
    meters,
    news,
    notices,
    ports,
    quarantines,
    questions,
    readiness,
    runner,
    silences,
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
STOPPING: Final = questions.STOPPING
#: How long a host goes on as ever once it is asked to stop: the balancer asks
#: once a second and passes over a host after two answers that are not 200.
LAG_S: Final = 2.6
#: Kept back from the time until the kill, to end what is left in order.
GRACE_MARGIN_S: Final = 0.7
CHECK_S: Final = 0.05
#: How often the settings file is looked at.
SETTINGS_S: Final = 2.0
#: What lines tell only where callers show keys.
KEYED: Final = ('customer', 'why')


class Process:
    """Join the decisions, the ports and the news of one process."""

    def __init__(
        self, settings: deployments.Settings, log: journal.Journal
    ) -> None:
        """Prepare without listening."""
        self.settings = settings
        self.log = log
        self.meters = meters.Meters()
        self.desk = states.Router(
            settings.host, settings.extra_load, random.random
        )
        self.desk.reply_margin.link_bytes_per_s = settings.link_bytes_per_s
        self.desk.warmups.limit = settings.warm_up
        self.runner = runner.Runner(self.desk, self._tell)
        self.meters.waits = self.runner.order.figures
        self.lessons = lessons.Lessons(
            settings, self.runner, log, self.find_obstacle
        )
        self.keys = self.desk.controls.freshness
        self.keys.revoke_s = settings.revoke_s
        self.news = news.News(
            settings, log, self._learn, self.runner.traffic, self.keys
        )
        self.confirmations = confirmations.Confirmations(
            settings, self.news, self.keys, log, self.runner.traffic
        )
        self.quarantines = quarantines.Quarantines(self.desk, self.news, log)
        spread = notices.Notices(
            self.desk,
            self.quarantines,
            log,
            self.runner.traffic,
            self.runner.post,
        )
        silence = silences.Silences(self.desk, log, self.runner.traffic)
        self.told = questions.Told(spread, silence)
        self._datagrams = datagrams.Datagrams(
            settings,
            self.desk.controls.quotas,
            log,
            self.runner.traffic,
            self.runner.post,
        )
        self.readiness = readiness.Readiness(self._find_obstacle, log)
        self.callers = ports.Port(
            ports.Terms(
                self._take_request,
                self._find_limits,
                self.readiness.is_obstructed,
            )
        )
        asked = questions.Questions(
            self.runner,
            self.news,
            self.meters,
            self.lessons.evacuations,
            self.told,
            self.find_obstacle,
            self.readiness.tell_balancer,
        )
        self.balancer = self._make_port(asked.take_probe)
        self.peers = self._make_port(asked.take)
        self._entry = entries.Entry(self.news, log)
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until a signal asks for the planned stop, then make it."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self.runner.close)
            stack.callback(self.news.close)
            stack.callback(self.confirmations.close)
            stack.callback(self.quarantines.close)
            stack.callback(self.told.notices.close)
            stack.callback(self.told.silences.close)
            await self._listen(stack)
            async with asyncio.TaskGroup() as tasks:
                running = [
                    tasks.create_task(self.news.follow()),
                    tasks.create_task(self._entry.stay()),
                    tasks.create_task(self.confirmations.stay()),
                    tasks.create_task(self.told.notices.learn()),
                    tasks.create_task(self.told.silences.tell()),
                    tasks.create_task(self.runner.sweep()),
                    tasks.create_task(self._watch_settings()),
                ]
                self.log.tell(PART, 'started', settings=self.settings)
                await self._stopping.wait()
                await self._stop()
                for task in running:
                    task.cancel()

    def find_obstacle(self) -> str:
        """Say why no new work should come to this host; empty if it may."""
        if self._stopping.is_set():
            return STOPPING
        return self.readiness.find_obstacle()

    def _learn(self, merged: facts.MergeResult) -> None:
        self.lessons.learn(merged)
        if merged.restore is not None:
            self._entry.note_restore()
            self.quarantines.note_restore()

    def _find_obstacle(self) -> str:
        if self._stopping.is_set():
            return STOPPING
        return dispatch.find_obstacle(self.desk, time.monotonic())

    async def _listen(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self.settings
        peers = await self.peers.listen(settings.host.address)
        stack.callback(peers.close)
        stack.callback(self._datagrams.close)
        await self._datagrams.open()
        metrics = await self.peers.listen(settings.metrics_address)
        stack.callback(metrics.close)
        balancer = await self.balancer.listen(settings.readiness_address)
        stack.callback(balancer.close)
        callers = await self.callers.listen(settings.caller_address)
        stack.callback(callers.close)

    async def _stop(self) -> None:
        """Stop without cutting a request.

        The balancer sends on for its lag after it has been told; what comes
        in that time is served, and each answer ends its connection. Idle
        connections are closed only then, when hardly any request can cross.
        """
        began = time.monotonic()
        last = began + self.settings.grace_s - GRACE_MARGIN_S
        self.log.tell(PART, 'stopping', waiting=self.runner.count_waiting())
        self.callers.stop()
        await asyncio.sleep(LAG_S)
        self.callers.close_idle()
        while self.runner.count_waiting() and time.monotonic() < last:
            await asyncio.sleep(CHECK_S)
            self.callers.close_idle()
        self.runner.order.refuse_all()
        self.log.tell(
            PART,
            'stopped',
            took=round(time.monotonic() - began, 3),
            waiting=self.runner.count_waiting(),
        )

    async def _watch_settings(self) -> None:
        """Notice changes of the settings file that no signal tells."""
        path = settings_files.find_path()
        read = _find_time(path)
        while path is not None:
            await asyncio.sleep(SETTINGS_S)
            changed = _find_time(path)
            if changed != read:
                read = changed
                self._reload()

    def _reload(self) -> None:
        path = settings_files.find_path()
        if path is None:
            return
        reading = settings_files.read_file(path)
        if reading.settings is None:
            # What was in force stays; a file may be seen half written.
            self.log.tell(PART, 'settings are wrong', faults=reading.faults)
            return
        self.settings = reading.settings
        self.news.settings = reading.settings
        self.lessons.settings = reading.settings
        self.desk.update_extra_load(reading.settings.extra_load)
        self.desk.warmups.limit = reading.settings.warm_up
        self.keys.revoke_s = reading.settings.revoke_s
        self._datagrams.reload(reading.settings)
        self.log.tell(PART, 'reloaded', settings=self.settings)

    def _make_port(self, handle: ports.Handler) -> ports.Port:
        return ports.Port(ports.Terms(handle, self._find_limits))

    def _find_limits(self) -> configs.Limits:
        return self.desk.index.configuration.limits

    def _take_request(
        self, message: http_codecs.Message, caller: ports.Caller
    ) -> Callable[[], None]:
        request = http_codecs.decode_request(
            message, time.monotonic(), caller.inspect().round_trip
        )

        def reply(outcome: events.Outcome) -> None:
            advised = self.readiness.advise(outcome)
            if advised is not outcome and isinstance(advised, errors.Failure):
                now = time.monotonic()
                advised = retry_times.spread_retry_after(
                    self.desk, advised, request, now
                )
            caller.answer(http_codecs.encode_outcome(advised))

        number = self.runner.ask(request, reply)
        return lambda: self.runner.abandon(number)

    def _tell(self, told: events.Notification) -> None:
        match told:
            case quota_messages.SendMessage():
                own = self.settings.host.data_centre
                near = self.desk.centre_health.list_hosts(own)
                self._datagrams.tell(told, near)
            case events.RequestSummary():
                self._tell_story(told)
            case events.CrashReport():
                row = told._replace(took=round(told.took, 4))
                self.meters.crashes += 1
                self.log.tell_request(
                    'targets',
                    'ended under a request',
                    good=False,
                    **row._asdict(),
                )
            case events.SuspicionChanged(found, passed_on):
                self._tell_suspicion(found)
                if passed_on:
                    self.told.notices.tell(found)
            case events.TargetStatusReport(target, text, why):
                self.log.tell_request(
                    'targets', text, good=False, target=target, why=why
                )

    def _tell_suspicion(self, found: suspects.News) -> None:
        self.log.tell_request(
            notices.PART,
            suspects.get_state_name(found),
            good=False,
            **suspect_codecs.encode_report(found),
        )

    def _tell_story(self, story: events.RequestSummary) -> None:
        self.meters.note(story)
        age = time.monotonic() - self.news.ledger.read_at
        good = story.result in {'complete', 'partial', 'relayed 200'}
        told = story._replace(took=round(story.took, 4))._asdict()
        for name in KEYED:
            if not told[name]:
                told.pop(name)
        self.log.tell_request(
            'request', 'ended', good=good, news_age=round(age, 1), **told
        )


def _find_time(path: Path | None) -> int:
    """Find when a file was written, in nanoseconds; 0 if it is not there."""
    try:
        return path.stat().st_mtime_ns if path is not None else 0
    except OSError:
        return 0


def serve() -> int:
    """Serve with the settings file that the platform names."""
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
