"""Hold the state of one request from its routing to its one outcome.

A request for one target has one part, a query over shards has one part for
each shard. The tables of an active request are its own and change in place.
"""

from typing import Final, NamedTuple

from fuchsiahaven.core import coverage, errors
from fuchsiahaven.routing import configs, events, margins, merges

SOURCE: Final = 'asks'
#: Bound on the transit time that is subtracted from the objective. With a very
#: slow connection the answer would otherwise be sent at once, with hardly any
#: parts; such a caller gets its answer after the objective instead.
MAX_TRANSIT_S: Final = 0.04
OK_STATUS: Final = 200
MIN_FAILURE_STATUS: Final = 500

#: When a repeated request may succeed. A full target has room again after
#: about the time of one request; a target whose registration has expired is
#: back in two seconds.
RETRY_AFTER_S: Final = {
    coverage.Reason.NO_REPLICA: 1.0,
    coverage.Reason.OVERLOADED: 0.1,
    coverage.Reason.REFUSED: 0.1,
    coverage.Reason.UNREACHABLE: 0.5,
    coverage.Reason.BROKEN_ANSWER: 0.1,
    coverage.Reason.TIMED_OUT: 0.2,
    # An evacuation lasts for seconds at least, and has no upper bound.
    coverage.Reason.EVACUATED: 5.0,
    coverage.Reason.WARMING: 0.5,
    # A lower bound; the rest depends on the quarantine of the request.
    coverage.Reason.QUARANTINED: 1.0,
    # Other hosts accept the request at once.
    coverage.Reason.STOPPING: 0.1,
}
#: Nothing is served until a target appears or an evacuation is revoked.
UNSERVED_REASONS: Final = frozenset(
    (coverage.Reason.NO_REPLICA, coverage.Reason.EVACUATED)
)
#: There are targets, but they accept no more requests for now.
OVERLOAD_REASONS: Final = frozenset(
    (
        coverage.Reason.OVERLOADED,
        coverage.Reason.REFUSED,
        coverage.Reason.WARMING,
    )
)


class RoutedRequest(NamedTuple):
    """Hold a request whose route is known and that may be started.

    `priority` is 0 for the most urgent, `version` is the configuration's.
    """

    number: int
    request: events.Request
    route: configs.Route
    version: int
    priority: int


class PartAttempt(NamedTuple):
    """Describe one attempt at a part that is in flight.

    `instance` is empty if the part is delegated to another host that has not
    yet reported the target.
    """

    number: int
    instance: str
    sent_at: float


class Part(NamedTuple):
    """Hold the state of one part.

    `tried_targets` are the targets that are not used again. `sent_count`
    counts the attempts that were sent to a target, `last_number` is the number
    of the last one. `refused_by` are the targets that refused to run the part,
    `resent_count` counts the attempts at a target that was tried before.
    `failed_answer` is a target's own answer with a failure. A part that is
    `lost` is missing for good, for the given `reason`; one that is `deferred`
    as well may be sent again if the others do not suffice. While
    `awaits_target_check` is set, it is not known whether the target that lost
    the part has exited.
    """

    in_flight: tuple[PartAttempt, ...] = ()
    tried_targets: tuple[str, ...] = ()
    sent_count: int = 0
    last_number: int = 0
    answer: events.Answer | None = None
    failed_answer: events.Answer | None = None
    reason: coverage.Reason | None = None
    lost: bool = False
    may_have_run: bool = False
    refused_by: tuple[str, ...] = ()
    resent_count: int = 0
    awaits_target_check: bool = False
    deferred: bool = False

    @property
    def target_count(self) -> int:
        """Count the targets to which the part was sent."""
        return self.sent_count - self.resent_count

    @property
    def used_attempts(self) -> int:
        """Count the attempts that ran or may run."""
        return self.sent_count - len(self.refused_by)


class ActiveRequest(NamedTuple):
    """Hold the state of one active request.

    From `cutoff` on, an answer with the received parts is worth more than a
    later one with more of them. At `reply_deadline` the caller gets whatever
    there is. `attempt_log` lists failed attempts for the log. If another host
    delegated the request, `is_delegated` is true, and `reported` holds the
    parts that were reported to that host. After the first report it also holds
    the empty string, `delegated_requests.FIRST_REPORT_SENT`.
    """

    number: int
    request: events.Request
    route: configs.Route
    version: int
    cutoff: float
    reply_deadline: float
    parts: dict[str, Part]
    open_parts: set[str]
    attempt_log: list[str]
    reported: set[str]
    is_delegated: bool = False

    @property
    def is_gather(self) -> bool:
        """Return whether the parts are shards whose answers are merged."""
        return isinstance(self.route.way, configs.Gather)

    @property
    def is_wide(self) -> bool:
        """Return whether other hosts gather most of the parts."""
        return configs.is_wide_action(self.route.way)


def start_request(
    number: int,
    request: events.Request,
    route: configs.Route,
    version: int,
    services: tuple[str, ...],
    host_margin: float = margins.MIN_MARGIN_S,
) -> ActiveRequest:
    """Create the state of a request that needs the given services.

    `host_margin` is how many seconds before the objective this host has to
    decide on the answer, in addition to the transit time.
    """
    arrived = request.arrived_at
    margin = host_margin + min(request.transit_s, MAX_TRANSIT_S)
    reply_deadline = min(arrived + route.timeout, request.deadline - margin)
    return ActiveRequest(
        number,
        request,
        route,
        version,
        arrived + route.objective - margin,
        reply_deadline,
        dict.fromkeys(services, Part()),
        set(services),
        [],
        set(),
    )


def list_open_parts(active: ActiveRequest) -> list[str]:
    """List the parts neither received nor lost, in the order of the route."""
    return [service for service in active.parts if service in active.open_parts]


def is_part_idle(active: ActiveRequest, service: str) -> bool:
    """Return whether a part has no attempt in flight and awaits no check."""
    part = active.parts[service]
    return not part.in_flight and not part.awaits_target_check


def list_in_flight(active: ActiveRequest) -> list[events.AttemptKey]:
    """List the keys of attempts that this host has in flight."""
    return [
        events.AttemptKey(active.number, service, attempt.number)
        for service, part in active.parts.items()
        for attempt in part.in_flight
        if attempt.instance
    ]


def count_missing(active: ActiveRequest) -> int:
    """Count the parts that were not received."""
    return sum(1 for part in active.parts.values() if part.answer is None)


def has_enough_parts(active: ActiveRequest) -> bool:
    """Return whether the received parts suffice for an answer."""
    return _has_coverage(active, count_missing(active))


def is_unanswerable(active: ActiveRequest) -> bool:
    """Return whether too many parts are lost for an answer."""
    return not _has_coverage(
        active, sum(1 for it in active.parts.values() if it.lost)
    )


def count_tolerable_losses(active: ActiveRequest) -> int:
    """Count how many more parts may be lost without losing the answer."""
    lost = sum(1 for part in active.parts.values() if part.lost)
    total = len(active.parts)
    return next(
        (it for it in range(total) if not _has_coverage(active, lost + it + 1)),
        0,
    )


def _has_coverage(active: ActiveRequest, missing: int) -> bool:
    total = len(active.parts)
    needed = float(total)
    if isinstance(active.route.way, configs.Gather):
        needed *= active.route.way.coverage
    covered = total - missing
    return covered > 0 and covered >= needed


def must_reply(active: ActiveRequest, now: float) -> bool:
    """Return whether the caller gets its reply now.

    From the cutoff on, an answer with enough parts is sent at once: a missing
    part costs the caller less than a late answer. A request that can no longer
    get enough parts fails at once, without waiting for its deadline.
    """
    if not active.open_parts or now >= active.reply_deadline:
        return True
    if is_unanswerable(active):
        return True
    return (
        active.is_gather and now >= active.cutoff and has_enough_parts(active)
    )


def build_outcome(active: ActiveRequest) -> events.Outcome:
    """Build the outcome that the caller gets."""
    if has_enough_parts(active):
        return _build_answer(active)
    if not active.is_gather:
        failed_answer = next(iter(active.parts.values())).failed_answer
        if failed_answer is not None:
            return events.RelayedAnswer(failed_answer)
    return _build_failure(active)


def compute_ran(active: ActiveRequest) -> errors.Ran:
    """Determine whether any target has run, or may have run, any part."""
    parts = active.parts.values()
    if any(part.answer or part.failed_answer for part in parts):
        return errors.Ran.YES
    if any(part.may_have_run or part.in_flight for part in parts):
        return errors.Ran.UNKNOWN
    return errors.Ran.NO


def _build_answer(active: ActiveRequest) -> events.Outcome:
    answers = [
        part.answer for part in active.parts.values() if part.answer is not None
    ]
    if not isinstance(active.route.way, configs.Gather):
        return events.RelayedAnswer(answers[0])
    return events.MergedAnswer(
        tuple(answer.signature for answer in answers),
        len(active.parts) - len(answers),
        merges.merge_records(
            [answer.body for answer in answers], active.route.way.limit
        ),
    )


def _build_failure(active: ActiveRequest) -> errors.Failure:
    parts = active.parts.values()
    reasons = [coverage.Reason.TIMED_OUT]
    if is_unanswerable(active):
        reasons = [it.reason for it in parts if it.lost and it.reason]
    detail = f'{count_missing(active)} of {len(parts)} missing: {reasons[0]}'
    return errors.make_failure(
        _choose_kind(reasons),
        SOURCE,
        detail,
        retry_after=max(RETRY_AFTER_S[reason] for reason in reasons),
        ran=compute_ran(active),
    )


def _choose_kind(reasons: list[coverage.Reason]) -> errors.Kind:
    if coverage.Reason.TIMED_OUT in reasons:
        return errors.Kind.TIMED_OUT
    if coverage.Reason.QUARANTINED in reasons:
        return errors.Kind.QUARANTINED
    if coverage.Reason.STOPPING in reasons:
        return errors.Kind.STOPPING
    if UNSERVED_REASONS.issuperset(reasons):
        return errors.Kind.NO_ROUTE
    if OVERLOAD_REASONS.issuperset(reasons):
        return errors.Kind.OVERLOADED
    return errors.Kind.INCOMPLETE
