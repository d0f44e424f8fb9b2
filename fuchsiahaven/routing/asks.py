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
LONGEST_AWAY_S: Final = 0.04
OK: Final = 200
FAILURES: Final = 500

#: How soon asking again may help, in seconds. A full target has room again
#: after about one request's work; an entry that lapsed is back in two.
RETRY_AFTER: Final = {
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
UNSERVED: Final = frozenset(
    (coverage.Reason.NO_REPLICA, coverage.Reason.EVACUATED)
)
#: There are targets, which take no more just now.
FULL: Final = frozenset(
    (
        coverage.Reason.OVERLOADED,
        coverage.Reason.REFUSED,
        coverage.Reason.WARMING,
    )
)


class Taken(NamedTuple):
    """Hold a request whose route is known and that may be begun.

    `priority` is 0 for the most urgent, `version` the configuration's.
    """

    number: int
    request: events.Request
    route: configs.Route
    version: int
    priority: int


class Flight(NamedTuple):
    """Describe one sending that has not ended.

    `instance` is empty where another host sends it and has not told where.
    """

    number: int
    instance: str
    sent: float


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

    flights: tuple[Flight, ...] = ()
    tried: tuple[str, ...] = ()
    sent: int = 0
    number: int = 0
    answer: events.Answer | None = None
    failed: events.Answer | None = None
    reason: coverage.Reason | None = None
    lost: bool = False
    may_have_run: bool = False
    refusers: tuple[str, ...] = ()
    asked_again: int = 0
    doubted: bool = False
    spared: bool = False

    @property
    def targets(self) -> int:
        """Count the targets to which it was sent."""
        return self.sent - self.asked_again

    @property
    def attempts(self) -> int:
        """Count the sendings that ran or may run."""
        return self.sent - len(self.refusers)


class Ask(NamedTuple):
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
    cut: float
    ends: float
    parts: dict[str, Part]
    open: set[str]
    tries: list[str]
    told: set[str]
    assists: bool = False

    @property
    def gathers(self) -> bool:
        """Tell whether the parts are shards to be merged."""
        return isinstance(self.route.way, configs.Gather)


def begin(
    number: int,
    request: events.Request,
    route: configs.Route,
    version: int,
    services: tuple[str, ...],
    own: float = margins.LEAST_S,
) -> Ask:
    """Begin an ask that reaches the services given.

    `own` is how many seconds before the objective this host has to decide on
    the answer, beside the caller's way.
    """
    arrived = request.arrived
    margin = own + min(request.away, LONGEST_AWAY_S)
    ends = min(arrived + route.timeout, request.deadline - margin)
    return Ask(
        number,
        request,
        route,
        version,
        arrived + route.objective - margin,
        ends,
        dict.fromkeys(services, Part()),
        set(services),
        [],
        set(),
    )


def list_open(ask: Ask) -> list[str]:
    """List the parts that are neither in nor lost, in the route's order."""
    return [service for service in ask.parts if service in ask.open]


def is_idle(ask: Ask, service: str) -> bool:
    """Tell whether nothing is under way for a part, nor looked into."""
    part = ask.parts[service]
    return not part.flights and not part.doubted


def list_flights(ask: Ask) -> list[events.FlightKey]:
    """List the sendings to targets that have not ended."""
    return [
        events.FlightKey(ask.number, service, flight.number)
        for service, part in ask.parts.items()
        for flight in part.flights
        if flight.instance
    ]


def count_missing(ask: Ask) -> int:
    """Count the parts that are not in."""
    return sum(1 for part in ask.parts.values() if part.answer is None)


def is_enough(ask: Ask) -> bool:
    """Tell whether what is in makes an answer."""
    return _covers(ask, count_missing(ask))


def is_hopeless(ask: Ask) -> bool:
    """Tell whether too much is lost for what may still come to matter."""
    return not _covers(ask, sum(1 for it in ask.parts.values() if it.lost))


def count_spare(ask: Ask) -> int:
    """Count how many more parts may be lost before no answer can be made."""
    lost = sum(1 for part in ask.parts.values() if part.lost)
    most = len(ask.parts)
    return next(
        (it for it in range(most) if not _covers(ask, lost + it + 1)), 0
    )


def _covers(ask: Ask, missing: int) -> bool:
    total = len(ask.parts)
    needed = float(total)
    if isinstance(ask.route.way, configs.Gather):
        needed *= ask.route.way.coverage
    covered = total - missing
    return covered > 0 and covered >= needed


def is_over(ask: Ask, now: float) -> bool:
    """Tell whether the caller is to be told now.

    Past the objective an answer that covers enough goes out at once: a part
    that is missing costs the caller less than an answer that comes late.
    What can no longer cover enough is not held back until its deadline.
    """
    if not ask.open or now >= ask.ends:
        return True
    if is_hopeless(ask):
        return True
    return ask.gathers and now >= ask.cut and is_enough(ask)


def build_outcome(ask: Ask) -> events.Outcome:
    """Build what the caller is told."""
    if is_enough(ask):
        return _build_answer(ask)
    if not ask.gathers:
        failed = next(iter(ask.parts.values())).failed
        if failed is not None:
            return events.Relayed(failed)
    return _build_failure(ask)


def say_ran(ask: Ask) -> errors.Ran:
    """Say whether any target may have run any part of this."""
    parts = ask.parts.values()
    if any(part.answer or part.failed for part in parts):
        return errors.Ran.YES
    if any(part.may_have_run or part.flights for part in parts):
        return errors.Ran.UNKNOWN
    return errors.Ran.NO


def _build_answer(ask: Ask) -> events.Outcome:
    answers = [
        part.answer for part in ask.parts.values() if part.answer is not None
    ]
    if not isinstance(ask.route.way, configs.Gather):
        return events.Relayed(answers[0])
    return events.Merged(
        tuple(answer.signature for answer in answers),
        len(ask.parts) - len(answers),
        merges.merge_records(
            [answer.body for answer in answers], ask.route.way.limit
        ),
    )


def _build_failure(ask: Ask) -> errors.Failure:
    parts = ask.parts.values()
    reasons = [coverage.Reason.TIMED_OUT]
    if is_hopeless(ask):
        reasons = [it.reason for it in parts if it.lost and it.reason]
    detail = f'{count_missing(ask)} of {len(parts)} missing: {reasons[0]}'
    return errors.make_failure(
        _choose_kind(reasons),
        SOURCE,
        detail,
        retry_after=max(RETRY_AFTER[reason] for reason in reasons),
        ran=say_ran(ask),
    )


def _choose_kind(reasons: list[coverage.Reason]) -> errors.Kind:
    if coverage.Reason.TIMED_OUT in reasons:
        return errors.Kind.TIMED_OUT
    if coverage.Reason.QUARANTINED in reasons:
        return errors.Kind.QUARANTINED
    if UNSERVED.issuperset(reasons):
        return errors.Kind.NO_ROUTE
    if FULL.issuperset(reasons):
        return errors.Kind.OVERLOADED
    return errors.Kind.INCOMPLETE
