"""Follow one request from its route to its one outcome.

A request for one target is an ask with one part, a query over shards has one
part for each shard. The tables of an ask belong to it and change in place.
"""

from typing import Final, NamedTuple

from fuchsiahaven.core import coverage, errors
from fuchsiahaven.routing import configs, events, margins, merges

SOURCE: Final = 'asks'
#: The way to a caller that is taken into account at most: what a caller with
#: a slow line loses there is its own, and its answer may not go out at once
#: with hardly anything in it.
MAX_TRANSIT_S: Final = 0.04
OK_STATUS: Final = 200
MIN_FAILURE_STATUS: Final = 500

#: How soon asking again may help, in seconds. A full target has room again
#: after about one request's work; an entry that lapsed is back in two.
RETRY_AFTER_S: Final = {
    coverage.Reason.NO_REPLICA: 1.0,
    coverage.Reason.OVERLOADED: 0.1,
    coverage.Reason.REFUSED: 0.1,
    coverage.Reason.UNREACHABLE: 0.5,
    coverage.Reason.BROKEN_ANSWER: 0.1,
    coverage.Reason.TIMED_OUT: 0.2,
    # Orders last for seconds at the least, and for as long as it takes.
    coverage.Reason.EVACUATED: 5.0,
    coverage.Reason.WARMING: 0.5,
    # At the least; what is known of the request tells how long it takes.
    coverage.Reason.QUARANTINED: 1.0,
}
#: A target has to come, or an order to be taken back.
UNSERVED_REASONS: Final = frozenset(
    (coverage.Reason.NO_REPLICA, coverage.Reason.EVACUATED)
)
#: There are targets, which take no more just now.
OVERLOAD_REASONS: Final = frozenset(
    (
        coverage.Reason.OVERLOADED,
        coverage.Reason.REFUSED,
        coverage.Reason.WARMING,
    )
)


class RoutedRequest(NamedTuple):
    """Hold a request whose route is known and that may be begun.

    `priority` is 0 for the most urgent, `version` the configuration's.
    """

    number: int
    request: events.Request
    route: configs.Route
    version: int
    priority: int


class PartAttempt(NamedTuple):
    """Describe one sending that has not ended.

    `instance` is empty where another host sends it and has not told where.
    """

    number: int
    instance: str
    sent_at: float


class Part(NamedTuple):
    """Hold what is known of one part.

    `tried` are the targets not to be asked again, `sent` counts the sendings
    that reached a target, `refusers` are those that refused to run it,
    `asked_again` counts the sendings to one of them once more,
    `number` is the last one's number. `failed` is a
    target's own answer that tells of a failure. `lost` says why the part is
    missing for good; one that is `spared` was set aside and may be sent again
    where the others do not suffice. While it is `doubted` nobody
    knows yet whether the target that lost it has ended.
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
        """Count the targets to which it was sent."""
        return self.sent_count - self.resent_count

    @property
    def used_attempts(self) -> int:
        """Count the sendings that ran or may run."""
        return self.sent_count - len(self.refused_by)


class ActiveRequest(NamedTuple):
    """Hold one request under way.

    At `cut` what is in hand is worth more than what may still come; `ends` is
    when the caller has to be told whatever there is. Where another host asked
    for assistance, `assists` is true and `told` holds the parts that it was
    told of, and the empty name once it was told anything.
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
        """Tell whether the parts are shards to be merged."""
        return isinstance(self.route.way, configs.Gather)


def start_request(
    number: int,
    request: events.Request,
    route: configs.Route,
    version: int,
    services: tuple[str, ...],
    host_margin: float = margins.MIN_MARGIN_S,
) -> ActiveRequest:
    """Begin an ask that reaches the services given.

    `own` is how many seconds before the objective this host has to decide on
    the answer, beside the caller's way.
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
    """List the parts that are neither in nor lost, in the route's order."""
    return [service for service in active.parts if service in active.open_parts]


def is_part_idle(active: ActiveRequest, service: str) -> bool:
    """Tell whether nothing is under way for a part, nor looked into."""
    part = active.parts[service]
    return not part.in_flight and not part.awaits_target_check


def list_in_flight(active: ActiveRequest) -> list[events.AttemptKey]:
    """List the sendings to targets that have not ended."""
    return [
        events.AttemptKey(active.number, service, attempt.number)
        for service, part in active.parts.items()
        for attempt in part.in_flight
        if attempt.instance
    ]


def count_missing(active: ActiveRequest) -> int:
    """Count the parts that are not in."""
    return sum(1 for part in active.parts.values() if part.answer is None)


def has_enough_parts(active: ActiveRequest) -> bool:
    """Tell whether what is in makes an answer."""
    return _has_coverage(active, count_missing(active))


def is_unanswerable(active: ActiveRequest) -> bool:
    """Tell whether too much is lost for what may still come to matter."""
    return not _has_coverage(
        active, sum(1 for it in active.parts.values() if it.lost)
    )


def count_tolerable_losses(active: ActiveRequest) -> int:
    """Count how many more parts may be lost before no answer can be made."""
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
    """Tell whether the caller is to be told now.

    Past the objective an answer that covers enough goes out at once: a part
    that is missing costs the caller less than an answer that comes late.
    What can no longer cover enough is not held back until its deadline.
    """
    if not active.open_parts or now >= active.reply_deadline:
        return True
    if is_unanswerable(active):
        return True
    return (
        active.is_gather and now >= active.cutoff and has_enough_parts(active)
    )


def build_outcome(active: ActiveRequest) -> events.Outcome:
    """Build what the caller is told."""
    if has_enough_parts(active):
        return _build_answer(active)
    if not active.is_gather:
        failed_answer = next(iter(active.parts.values())).failed_answer
        if failed_answer is not None:
            return events.RelayedAnswer(failed_answer)
    return _build_failure(active)


def compute_ran(active: ActiveRequest) -> errors.Ran:
    """Say whether any target may have run any part of this."""
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
    if UNSERVED_REASONS.issuperset(reasons):
        return errors.Kind.NO_ROUTE
    if OVERLOAD_REASONS.issuperset(reasons):
        return errors.Kind.OVERLOADED
    return errors.Kind.INCOMPLETE
