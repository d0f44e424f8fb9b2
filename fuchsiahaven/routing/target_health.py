"""Judge each target by what this host sees of it."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import ejections, messages, target_stats
from fuchsiahaven.routing import events, instances

#: Added to the expected wait at a target in another data centre, in seconds:
#: bytes between data centres are dear.
CROSS_CENTRE_COST_S: Final = 0.05
#: What a target costs that has been silent for longer than it usually takes:
#: pauses last 120 to 150 ms.
PAUSE_COST_S: Final = 0.15
#: A target counts as paused after so many times its usual latency.
PAUSE_FACTOR: Final = 2.0
#: But not sooner: scheduling on both sides takes some milliseconds.
MIN_PAUSE_S: Final = 0.025
#: A target that has answered nothing for this long is taken for dead. Pauses
#: are shorter; the answers of single requests take longer, hence the factor.
MIN_SILENCE_S: Final = 0.4
SILENCE_FACTOR: Final = 5.0
#: How often a target taken for dead gets a request, to see whether it is.
TRIAL_INTERVAL_S: Final = 0.3
#: How long a target that refused a connection is left out; doubled with each
#: further one up to the longest, so that its return is noticed within that.
EXCLUSION_S: Final = 0.2
MAX_EXCLUSION_S: Final = 0.8
#: What a target costs for each failure of late, which fade by half in 2 s: a
#: failure makes a request wait for a second target, some tens of milliseconds.
FAILURE_COST_S: Final = 0.05
#: A time-out weighs as much as three other failures: it costs the caller most.
TIMEOUT_FAILURES: Final = 3
MS_PER_S: Final = 1000


class TargetHealth(NamedTuple):
    """Hold what is known of one target.

    `aloft` maps the requests sent and not ended to when they were sent, the
    oldest first. `down` is until when it is left out, `trial` when a silent
    one may be tried next.
    """

    stats: target_stats.TargetStats = target_stats.NO_STATS
    in_flight: Mapping[events.AttemptKey, float] = {}
    failures: int = 0
    excluded_until: float = 0.0
    next_trial: float = 0.0


UNSEEN: Final = TargetHealth()


class TargetHealthTable:
    """Own the standing of every target."""

    def __init__(self) -> None:
        """Start with no target seen."""
        self._by_name: dict[str, TargetHealth] = {}
        self._changes: list[events.TargetStatusReport] = []

    def get(self, name: str) -> TargetHealth:
        """Return the standing of a target."""
        return self._by_name.get(name, UNSEEN)

    def pop_changes(self) -> list[events.TargetStatusReport]:
        """Return which targets were left out or came back since last time."""
        changes = self._changes
        self._changes = []
        return changes

    def retain_targets(self, names: Mapping[str, object]) -> None:
        """Forget the targets that are gone and have nothing under way."""
        for name in self._by_name.keys() - names.keys():
            if not self._by_name[name].in_flight:
                self._by_name.pop(name)

    def record_sent(
        self, name: str, key: events.AttemptKey, now: float
    ) -> None:
        """Count a request out."""
        health = self.get(name)
        next_trial = health.next_trial
        if measure_silence(health, now) is not None:
            next_trial = now + TRIAL_INTERVAL_S
        self._by_name[name] = health._replace(
            stats=target_stats.record_sent(health.stats),
            in_flight={**health.in_flight, key: now},
            next_trial=next_trial,
        )

    def record_answered(
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
        health = self.get(name)
        if key not in health.in_flight:
            return
        sent_at = health.in_flight[key]
        stats = target_stats.record_answer(health.stats, now, now - sent_at)
        if load is not None:
            stats = target_stats.record_load(stats, load, now)
        updated = _remove_in_flight(health, key)
        self._set(
            name, updated._replace(stats=stats, failures=0, excluded_until=0)
        )

    def record_failed(
        self, name: str, key: events.AttemptKey, now: float
    ) -> None:
        """Take in that an answer told of a failure.

        How soon it came is left out: what fails at once would look like the
        fastest target of all, and draw ever more requests.
        """
        health = _remove_in_flight(self.get(name), key)
        stats = _eject_if_failing(
            target_stats.record_fault(health.stats, now), now
        )
        health = health._replace(stats=stats, failures=0, excluded_until=0)
        self._set(name, health, 'its answers fail')

    def record_refused(
        self, name: str, event: events.TargetRefused, now: float
    ) -> None:
        """Take in that a target refused a request without running it."""
        health = self.get(name)
        stats = target_stats.record_refusal(health.stats, now, event.reason)
        if event.load is not None:
            stats = target_stats.record_load(stats, event.load, now)
        self._by_name[name] = _remove_in_flight(health, event.key)._replace(
            stats=stats
        )

    def record_broken(
        self, name: str, event: events.AttemptBroken, now: float
    ) -> None:
        """Take in that a request ended with an unknown outcome."""
        health = self.get(name)
        stats = target_stats.record_fault(health.stats, now)
        if event.fault is messages.Fault.TIMED_OUT:
            record = ejections.record_failures(
                stats.failure_record, now, failures=TIMEOUT_FAILURES - 1
            )
            stats = stats._replace(failure_record=record)
        health = _remove_in_flight(health, event.key)._replace(
            stats=_eject_if_failing(stats, now)
        )
        if event.fault is messages.Fault.TIMED_OUT:
            health = _exclude(health, now)
        self._set(name, health, event.fault.value)

    def record_unsent(
        self, name: str, event: events.AttemptUnsent, now: float
    ) -> None:
        """Take in that a request did not leave."""
        health = _remove_in_flight(self.get(name), event.key)
        health = health._replace(
            stats=target_stats.record_cancelled_end(health.stats)
        )
        if event.unreachable:
            health = _exclude(health, now)
        self._set(name, health, 'no connection')

    def record_abandoned(self, name: str, key: events.AttemptKey) -> None:
        """Take in that this host gave a request up; nobody is to blame."""
        health = _remove_in_flight(self.get(name), key)
        self._by_name[name] = health._replace(
            stats=target_stats.record_cancelled_end(health.stats)
        )

    def record_connected(self, name: str) -> None:
        """Take in that a connection was had: the way there is open."""
        health = self.get(name)
        if health.failures:
            self._set(name, health._replace(failures=0, excluded_until=0))

    def record_delegation_lost(
        self, name: str, key: events.AttemptKey, until: float, reason: str
    ) -> None:
        """Leave a host that broke off its assistance out for a while."""
        health = self.get(name)
        if key in health.in_flight:
            health = _remove_in_flight(health, key)
            health = health._replace(
                stats=target_stats.record_cancelled_end(health.stats)
            )
        health = health._replace(excluded_until=until)
        self._set(name, health, f'no help: {reason}')

    def record_address_reused(self, name: str, now: float) -> None:
        """Take in that another process has the address by now."""
        health = self.get(name)
        health = health._replace(excluded_until=now + MAX_EXCLUSION_S)
        self._set(name, health, 'another process has its address')

    def _set(self, name: str, health: TargetHealth, reason: str = '') -> None:
        before = self.get(name)
        self._by_name[name] = health
        if (
            health.excluded_until > before.excluded_until
            and not before.excluded_until
        ):
            self._changes.append(
                events.TargetStatusReport(name, 'left out', reason)
            )
        elif (
            health.stats.failure_record.ejected_until
            > before.stats.failure_record.ejected_until
        ):
            self._changes.append(
                events.TargetStatusReport(name, 'ejected', reason)
            )
        elif before.excluded_until and not health.excluded_until:
            self._changes.append(
                events.TargetStatusReport(name, 'used again', reason)
            )


def measure_silence(health: TargetHealth, now: float) -> float | None:
    """Return for how long a target has been unusually silent, or None."""
    if not health.in_flight:
        return None
    oldest = next(iter(health.in_flight.values()))
    silence = now - max(oldest, health.stats.measured_at)
    threshold = max(MIN_PAUSE_S, health.stats.latency * PAUSE_FACTOR)
    return silence if silence > threshold else None


def is_excluded(health: TargetHealth, now: float) -> bool:
    """Tell whether a target is left out, but for a trial now and then."""
    if health is UNSEEN:
        return False
    if now < health.excluded_until:
        return True
    return is_silent(health, now) and now < health.next_trial


def is_silent(health: TargetHealth, now: float) -> bool:
    """Tell whether a target has been silent for longer than pauses take."""
    silence = measure_silence(health, now)
    if silence is None:
        return False
    return silence > max(MIN_SILENCE_S, health.stats.latency * SILENCE_FACTOR)


def is_unconfirmed(health: TargetHealth, now: float) -> bool:
    """Tell whether nothing proves that a target can be reached."""
    return health.failures > 0 or is_silent(health, now)


def estimate_cost(
    health: TargetHealth,
    instance: instances.Instance,
    own_centre: str,
    now: float,
) -> float:
    """Estimate the seconds until a target would answer, and what it costs.

    `near` is the data centre of this host.
    """
    cost = target_stats.estimate_cost(health.stats, now, 0)
    return cost + _estimate_penalty(health, instance, own_centre, now)


def estimate_queue_cost(
    health: TargetHealth,
    instance: instances.Instance,
    own_centre: str,
    now: float,
    usual_latency: float = 0.0,
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
    queued = max(0, health.stats.in_flight + 1 - max(1, instance.slots))
    stats = health.stats._replace(in_flight=queued)
    if instance.data_centre != own_centre:
        stats = stats._replace(
            latency=stats.latency or usual_latency, measured_at=now
        )
    cost = target_stats.estimate_cost(stats, now, 0)
    return cost + _estimate_penalty(health, instance, own_centre, now)


def _estimate_penalty(
    health: TargetHealth,
    instance: instances.Instance,
    own_centre: str,
    now: float,
) -> float:
    """Count what speaks against a target beside its work, in seconds."""
    cost = 0.0
    if instance.data_centre != own_centre:
        cost += CROSS_CENTRE_COST_S
    if health.stats.failure_record is not ejections.NO_FAILURES:
        cost += FAILURE_COST_S * ejections.compute_penalty(
            health.stats.failure_record, now
        )
    silence = measure_silence(health, now)
    if silence is not None:
        # What has been silent for long will most likely be so for as long.
        cost += max(PAUSE_COST_S, silence)
    return cost


def estimate_gather_cost(health: TargetHealth, now: float) -> float:
    """Estimate the seconds until a host would have gathered parts."""
    silence = measure_silence(health, now) or 0
    return target_stats.estimate_cost(health.stats, now, 0) + silence


def describe(health: TargetHealth, now: float) -> str:
    """Say in a few words how a target stands."""
    if now < health.excluded_until:
        return 'left out'
    if now < health.stats.failure_record.ejected_until:
        return 'ejected'
    if is_unconfirmed(health, now):
        return 'silent'
    return f'{health.stats.latency * MS_PER_S:.0f} ms'


def _exclude(health: TargetHealth, now: float) -> TargetHealth:
    if now < health.excluded_until:
        return health
    duration = min(MAX_EXCLUSION_S, EXCLUSION_S * 2**health.failures)
    return health._replace(
        failures=health.failures + 1, excluded_until=now + duration
    )


def _eject_if_failing(
    stats: target_stats.TargetStats, now: float
) -> target_stats.TargetStats:
    """Leave a target out that has failed too often lately."""
    if not ejections.is_failing(stats.failure_record, now):
        return stats
    return stats._replace(
        failure_record=ejections.eject(stats.failure_record, now)
    )


def _remove_in_flight(
    health: TargetHealth, key: events.AttemptKey
) -> TargetHealth:
    in_flight = {
        other: sent_at
        for other, sent_at in health.in_flight.items()
        if other != key
    }
    return health._replace(in_flight=in_flight)
