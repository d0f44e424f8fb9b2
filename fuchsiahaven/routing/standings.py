"""Judge each target by what this host sees of it."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import ejections, messages, target_stats
from fuchsiahaven.routing import events, instances

#: Added to the expected wait at a target in another data centre, in seconds:
#: bytes between data centres are dear.
CROSSING_S: Final = 0.05
#: What a target costs that has been silent for longer than it usually takes:
#: pauses last 120 to 150 ms.
PAUSE_S: Final = 0.15
#: A target counts as paused after so many times its usual latency.
PAUSE_FACTOR: Final = 2.0
#: But not sooner: scheduling on both sides takes some milliseconds.
SHORTEST_PAUSE_S: Final = 0.025
#: A target that has answered nothing for this long is taken for dead. Pauses
#: are shorter; the answers of single requests take longer, hence the factor.
SILENT_S: Final = 0.4
SILENT_FACTOR: Final = 5.0
#: How often a target taken for dead gets a request, to see whether it is.
TRIAL_S: Final = 0.3
#: How long a target that refused a connection is left out; doubled with each
#: further one up to the longest, so that its return is noticed within that.
DOWN_S: Final = 0.2
LONGEST_DOWN_S: Final = 0.8
#: What a target costs for each failure of late, which fade by half in 2 s: a
#: failure makes a request wait for a second target, some tens of milliseconds.
FAILURE_S: Final = 0.05
#: A time-out weighs as much as three other failures: it costs the caller most.
TIMEOUT_BLAME: Final = 3
MILLISECONDS: Final = 1000


class Standing(NamedTuple):
    """Hold what is known of one target.

    `aloft` maps the requests sent and not ended to when they were sent, the
    oldest first. `down` is until when it is left out, `trial` when a silent
    one may be tried next.
    """

    stats: target_stats.TargetStats = target_stats.NO_STATS
    aloft: Mapping[events.AttemptKey, float] = {}
    failures: int = 0
    down: float = 0.0
    trial: float = 0.0


UNSEEN: Final = Standing()


class Standings:
    """Own the standing of every target."""

    def __init__(self) -> None:
        """Start with no target seen."""
        self._known: dict[str, Standing] = {}
        self._changes: list[events.TargetStatusReport] = []

    def get(self, name: str) -> Standing:
        """Return the standing of a target."""
        return self._known.get(name, UNSEEN)

    def take_changes(self) -> list[events.TargetStatusReport]:
        """Return which targets were left out or came back since last time."""
        changes = self._changes
        self._changes = []
        return changes

    def keep_only(self, names: Mapping[str, object]) -> None:
        """Forget the targets that are gone and have nothing under way."""
        for name in self._known.keys() - names.keys():
            if not self._known[name].aloft:
                self._known.pop(name)

    def note_sent(self, name: str, key: events.AttemptKey, now: float) -> None:
        """Count a request out."""
        known = self.get(name)
        trial = known.trial
        if measure_silence(known, now) is not None:
            trial = now + TRIAL_S
        self._known[name] = known._replace(
            stats=target_stats.record_sent(known.stats),
            aloft={**known.aloft, key: now},
            trial=trial,
        )

    def note_answered(
        self,
        name: str,
        key: events.AttemptKey,
        now: float,
        load: messages.Load | None,
    ) -> None:
        """Take in an answer; what has answered before is no further sample.

        A host that gathers parts answers several times. Counted each time, the
        later ones would seem to have taken no time at all, and the host to be
        silent whenever it takes as long as ever.
        """
        known = self.get(name)
        if key not in known.aloft:
            return
        sent = known.aloft[key]
        stats = target_stats.record_answer(known.stats, now, now - sent)
        if load is not None:
            stats = target_stats.record_load(stats, load, now)
        landed = _land(known, key)
        self._set(name, landed._replace(stats=stats, failures=0, down=0))

    def note_failed(
        self, name: str, key: events.AttemptKey, now: float
    ) -> None:
        """Take in that an answer told of a failure.

        How soon it came is left out: what fails at once would look like the
        fastest target of all, and draw ever more requests.
        """
        known = _land(self.get(name), key)
        stats = _judge(target_stats.record_fault(known.stats, now), now)
        known = known._replace(stats=stats, failures=0, down=0)
        self._set(name, known, 'its answers fail')

    def note_refused(
        self, name: str, event: events.TargetRefused, now: float
    ) -> None:
        """Take in that a target refused a request without running it."""
        known = self.get(name)
        stats = target_stats.record_refusal(known.stats, now, event.reason)
        if event.load is not None:
            stats = target_stats.record_load(stats, event.load, now)
        self._known[name] = _land(known, event.key)._replace(stats=stats)

    def note_broken(
        self, name: str, event: events.AttemptBroken, now: float
    ) -> None:
        """Take in that a request ended with an unknown outcome."""
        known = self.get(name)
        stats = target_stats.record_fault(known.stats, now)
        if event.fault is messages.Fault.TIMED_OUT:
            record = ejections.record_failures(
                stats.failure_record, now, failures=TIMEOUT_BLAME - 1
            )
            stats = stats._replace(failure_record=record)
        known = _land(known, event.key)._replace(stats=_judge(stats, now))
        if event.fault is messages.Fault.TIMED_OUT:
            known = _leave_out(known, now)
        self._set(name, known, event.fault.value)

    def note_unsent(
        self, name: str, event: events.AttemptUnsent, now: float
    ) -> None:
        """Take in that a request did not leave."""
        known = _land(self.get(name), event.key)
        known = known._replace(
            stats=target_stats.record_cancelled_end(known.stats)
        )
        if event.unreachable:
            known = _leave_out(known, now)
        self._set(name, known, 'no connection')

    def note_dropped(self, name: str, key: events.AttemptKey) -> None:
        """Take in that this host gave a request up; nobody is to blame."""
        known = _land(self.get(name), key)
        self._known[name] = known._replace(
            stats=target_stats.record_cancelled_end(known.stats)
        )

    def note_reached(self, name: str) -> None:
        """Take in that a connection was had: the way there is open."""
        known = self.get(name)
        if known.failures:
            self._set(name, known._replace(failures=0, down=0))

    def note_lost(
        self, name: str, key: events.AttemptKey, until: float, why: str
    ) -> None:
        """Leave a host that broke off its assistance out for a while."""
        known = self.get(name)
        if key in known.aloft:
            known = _land(known, key)
            known = known._replace(
                stats=target_stats.record_cancelled_end(known.stats)
            )
        known = known._replace(down=until)
        self._set(name, known, f'no help: {why}')

    def note_gone(self, name: str, now: float) -> None:
        """Take in that another process has the address by now."""
        known = self.get(name)
        known = known._replace(down=now + LONGEST_DOWN_S)
        self._set(name, known, 'another process has its address')

    def _set(self, name: str, known: Standing, why: str = '') -> None:
        before = self.get(name)
        self._known[name] = known
        if known.down > before.down and not before.down:
            self._changes.append(
                events.TargetStatusReport(name, 'left out', why)
            )
        elif (
            known.stats.failure_record.ejected_until
            > before.stats.failure_record.ejected_until
        ):
            self._changes.append(
                events.TargetStatusReport(name, 'ejected', why)
            )
        elif before.down and not known.down:
            self._changes.append(
                events.TargetStatusReport(name, 'used again', why)
            )


def measure_silence(known: Standing, now: float) -> float | None:
    """Return for how long a target has been unusually silent, or None."""
    if not known.aloft:
        return None
    oldest = next(iter(known.aloft.values()))
    waited = now - max(oldest, known.stats.measured_at)
    usual = max(SHORTEST_PAUSE_S, known.stats.latency * PAUSE_FACTOR)
    return waited if waited > usual else None


def is_dead(known: Standing, now: float) -> bool:
    """Tell whether a target is left out, but for a trial now and then."""
    if known is UNSEEN:
        return False
    if now < known.down:
        return True
    return is_silent(known, now) and now < known.trial


def is_silent(known: Standing, now: float) -> bool:
    """Tell whether a target has been silent for longer than pauses take."""
    silence = measure_silence(known, now)
    if silence is None:
        return False
    return silence > max(SILENT_S, known.stats.latency * SILENT_FACTOR)


def is_doubtful(known: Standing, now: float) -> bool:
    """Tell whether nothing proves that a target can be reached."""
    return known.failures > 0 or is_silent(known, now)


def estimate(
    known: Standing, instance: instances.Instance, near: str, now: float
) -> float:
    """Estimate the seconds until a target would answer, and what it costs.

    `near` is the data centre of this host.
    """
    cost = target_stats.estimate_cost(known.stats, now, 0)
    return cost + _charge(known, instance, near, now)


def estimate_wait(
    known: Standing,
    instance: instances.Instance,
    near: str,
    now: float,
    usual: float = 0.0,
) -> float:
    """Estimate as above, to compare a near target with a far one.

    A target works on as many requests at a time as it has slots, so the first
    few make nobody wait: counted as waits, a request under way near by was
    enough to send the next one away. Near targets are compared with each other
    by the full count, which spreads the load.

    What is known of a far target does not fade, and one that was not measured
    is taken to be as fast as is `usual` near by: trying it to see costs bytes
    between data centres, and second sendings measure it for nothing.
    """
    waiting = max(0, known.stats.in_flight + 1 - max(1, instance.slots))
    stats = known.stats._replace(in_flight=waiting)
    if instance.data_centre != near:
        stats = stats._replace(latency=stats.latency or usual, measured_at=now)
    cost = target_stats.estimate_cost(stats, now, 0)
    return cost + _charge(known, instance, near, now)


def _charge(
    known: Standing, instance: instances.Instance, near: str, now: float
) -> float:
    """Count what speaks against a target beside its work, in seconds."""
    cost = 0.0
    if instance.data_centre != near:
        cost += CROSSING_S
    if known.stats.failure_record is not ejections.NO_FAILURES:
        cost += FAILURE_S * ejections.compute_penalty(
            known.stats.failure_record, now
        )
    silence = measure_silence(known, now)
    if silence is not None:
        # What has been silent for long will most likely be so for as long.
        cost += max(PAUSE_S, silence)
    return cost


def estimate_helper(known: Standing, now: float) -> float:
    """Estimate the seconds until a host would have gathered parts."""
    silence = measure_silence(known, now) or 0
    return target_stats.estimate_cost(known.stats, now, 0) + silence


def describe(known: Standing, now: float) -> str:
    """Say in a few words how a target stands."""
    if now < known.down:
        return 'left out'
    if now < known.stats.failure_record.ejected_until:
        return 'ejected'
    if is_doubtful(known, now):
        return 'silent'
    return f'{known.stats.latency * MILLISECONDS:.0f} ms'


def _leave_out(known: Standing, now: float) -> Standing:
    if now < known.down:
        return known
    pause = min(LONGEST_DOWN_S, DOWN_S * 2**known.failures)
    return known._replace(failures=known.failures + 1, down=now + pause)


def _judge(
    stats: target_stats.TargetStats, now: float
) -> target_stats.TargetStats:
    """Leave a target out that has failed too often lately."""
    if not ejections.is_failing(stats.failure_record, now):
        return stats
    return stats._replace(
        failure_record=ejections.eject(stats.failure_record, now)
    )


def _land(known: Standing, key: events.AttemptKey) -> Standing:
    aloft = {other: sent for other, sent in known.aloft.items() if other != key}
    return known._replace(aloft=aloft)
