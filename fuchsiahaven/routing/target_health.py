"""Judge the health of each target by what this host observes."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import ejections, messages, target_stats
from fuchsiahaven.routing import events, instances

#: Cost of a target in another data centre, because traffic between data centres
#: is expensive; like all costs here in seconds of expected wait.
CROSS_CENTRE_COST_S: Final = 0.05
#: Cost of a target that has been silent for longer than usual: pauses last 120
#: to 150 ms.
PAUSE_COST_S: Final = 0.15
#: A target counts as paused after this multiple of its usual latency.
PAUSE_FACTOR: Final = 2.0
#: Minimum silence of a paused target: scheduling on both sides takes some
#: milliseconds.
MIN_PAUSE_S: Final = 0.025
#: Silence from which on a target is taken to be dead. Pauses are shorter;
#: single requests may take longer, hence the factor on the usual latency.
MIN_SILENCE_S: Final = 0.4
SILENCE_FACTOR: Final = 5.0
#: Interval in which a target that is taken to be dead gets a trial request.
TRIAL_INTERVAL_S: Final = 0.3
#: Time for which a target that refused a connection is excluded. It doubles
#: with each further refusal up to the maximum, which bounds how late the
#: target's return is noticed.
EXCLUSION_S: Final = 0.2
MAX_EXCLUSION_S: Final = 0.8
#: Cost of each recent failure of a target; the count halves every 2 s. A
#: failure makes a request wait for a second target, some tens of milliseconds.
FAILURE_COST_S: Final = 0.05
#: A time-out counts as this many failures, because it costs the caller most.
TIMEOUT_FAILURES: Final = 3
MS_PER_S: Final = 1000


class TargetHealth(NamedTuple):
    """Hold what is known of one target.

    `in_flight` maps the requests under way to when they were sent, the oldest
    first. `excluded_until` is when the target may be used again, `next_trial`
    when a silent one may get a trial request.
    """

    stats: target_stats.TargetStats = target_stats.NO_STATS
    in_flight: Mapping[events.AttemptKey, float] = {}
    failures: int = 0
    excluded_until: float = 0.0
    next_trial: float = 0.0


UNSEEN: Final = TargetHealth()


class TargetHealthTable:
    """Own the health of every target."""

    def __init__(self) -> None:
        """Start with no target known."""
        self._by_name: dict[str, TargetHealth] = {}
        self._changes: list[events.TargetStatusReport] = []

    def get(self, name: str) -> TargetHealth:
        """Return the health of a target; UNSEEN if nothing is known of it."""
        return self._by_name.get(name, UNSEEN)

    def pop_changes(self) -> list[events.TargetStatusReport]:
        """Return and clear the exclusions and returns since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def retain_targets(self, names: Mapping[str, object]) -> None:
        """Remove targets that are not named and have no request in flight."""
        for name in self._by_name.keys() - names.keys():
            if not self._by_name[name].in_flight:
                self._by_name.pop(name)

    def record_sent(
        self, name: str, key: events.AttemptKey, now: float
    ) -> None:
        """Record a request that was sent."""
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
        """Record an answer; only a request's first one is a latency sample.

        A delegate host answers several times. If each were a sample, the later
        ones would seem to have taken no time, and the host would count as
        silent whenever it takes its usual time.
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
        """Record an answer that reports a failure.

        Its latency is ignored: a target that fails at once would look like the
        fastest one and attract ever more requests.
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
        """Record that a target refused a request without running it."""
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
        """Record that a request ended with an unknown outcome."""
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
        """Record that a request could not be sent."""
        health = _remove_in_flight(self.get(name), event.key)
        health = health._replace(
            stats=target_stats.record_cancelled_end(health.stats)
        )
        if event.unreachable:
            health = _exclude(health, now)
        self._set(name, health, 'no connection')

    def record_abandoned(self, name: str, key: events.AttemptKey) -> None:
        """Record an abandoned request; the target is not at fault."""
        health = _remove_in_flight(self.get(name), key)
        self._by_name[name] = health._replace(
            stats=target_stats.record_cancelled_end(health.stats)
        )

    def record_connected(self, name: str) -> None:
        """Record a connection, which proves that the target can be reached."""
        health = self.get(name)
        if health.failures:
            self._set(name, health._replace(failures=0, excluded_until=0))

    def record_delegation_lost(
        self, name: str, key: events.AttemptKey, until: float, reason: str
    ) -> None:
        """Exclude a host that broke off a delegation until a given time."""
        health = self.get(name)
        if key in health.in_flight:
            health = _remove_in_flight(health, key)
            health = health._replace(
                stats=target_stats.record_cancelled_end(health.stats)
            )
        health = health._replace(excluded_until=until)
        self._set(name, health, f'no help: {reason}')

    def record_address_reused(self, name: str, now: float) -> None:
        """Record that another process has the address now."""
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
    """Return the seconds of a target's unusual silence, or None."""
    if not health.in_flight:
        return None
    oldest = next(iter(health.in_flight.values()))
    silence = now - max(oldest, health.stats.measured_at)
    threshold = max(MIN_PAUSE_S, health.stats.latency * PAUSE_FACTOR)
    return silence if silence > threshold else None


def is_excluded(health: TargetHealth, now: float) -> bool:
    """Return whether a target is excluded, apart from a trial now and then."""
    if health is UNSEEN:
        return False
    if now < health.excluded_until:
        return True
    return is_silent(health, now) and now < health.next_trial


def is_silent(health: TargetHealth, now: float) -> bool:
    """Return whether a target has been silent for longer than pauses take."""
    silence = measure_silence(health, now)
    if silence is None:
        return False
    return silence > max(MIN_SILENCE_S, health.stats.latency * SILENCE_FACTOR)


def is_unconfirmed(health: TargetHealth, now: float) -> bool:
    """Return whether there is no proof that a target can be reached."""
    return health.failures > 0 or is_silent(health, now)


def estimate_cost(
    health: TargetHealth,
    instance: instances.Instance,
    own_centre: str,
    now: float,
) -> float:
    """Estimate the cost of a request to a target, in seconds.

    It is the time until the answer plus penalties. `own_centre` is the data
    centre of this host.
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
    """Estimate the cost for comparing a near target with a far one, in seconds.

    A target works on as many requests at a time as it has slots, so only
    requests beyond these wait. If all requests in flight counted, one near by
    would be enough to send the next one to another data centre. Near targets
    are compared with each other by the full count, which spreads the load.

    The latency of a far target does not decay with time, and an unmeasured far
    target is assumed to take `usual_latency`: measuring it would cost traffic
    between data centres, and hedges measure it anyway.
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
    """Estimate the cost of a target apart from its work, in seconds."""
    cost = 0.0
    if instance.data_centre != own_centre:
        cost += CROSS_CENTRE_COST_S
    if health.stats.failure_record is not ejections.NO_FAILURES:
        cost += FAILURE_COST_S * ejections.compute_penalty(
            health.stats.failure_record, now
        )
    silence = measure_silence(health, now)
    if silence is not None:
        # A target that has been silent for long is likely to stay silent for as
        # long again.
        cost += max(PAUSE_COST_S, silence)
    return cost


def estimate_gather_cost(health: TargetHealth, now: float) -> float:
    """Estimate the seconds until a delegate host has gathered its parts."""
    silence = measure_silence(health, now) or 0
    return target_stats.estimate_cost(health.stats, now, 0) + silence


def describe(health: TargetHealth, now: float) -> str:
    """Describe the health of a target in a few words, for operators."""
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
    """Eject a target that has failed too often lately."""
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
