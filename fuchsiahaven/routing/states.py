"""Hold the state of a host's decisions, in tables that belong to its loop."""

import heapq
import itertools
from collections.abc import Callable, Mapping
from typing import NamedTuple

from fuchsiahaven.core import request_identities, suspects
from fuchsiahaven.core.queries import hedges
from fuchsiahaven.routing import (
    active_requests,
    budgets,
    centre_health,
    configs,
    controls,
    deployments,
    events,
    instances,
    losses,
    margins,
    target_health,
    warmups,
)


class HedgeTimer(NamedTuple):
    """Look at which parts of an ask are worth a second sending.

    With `again` they are looked at once more, a little later.
    """

    request_number: int
    recurs: bool = True


class CutoffTimer(NamedTuple):
    """See whether what is in hand makes an answer, or the time is over."""

    request_number: int


class TargetCheckTimer(NamedTuple):
    """Go on with a part whose target nobody could look at."""

    identity: request_identities.Identity
    key: events.AttemptKey


class TrialTimer(NamedTuple):
    """Look at the asks that wait for the trial of a request."""

    identity: request_identities.Identity


class QuotaTimer(NamedTuple):
    """Look at the requests that wait for a word about their customer."""


Timer = HedgeTimer | CutoffTimer | TargetCheckTimer | TrialTimer | QuotaTimer


class InFlightAttempt(NamedTuple):
    """Describe a sending that has not ended, also after its ask has.

    `extra` tells that it was charged to the budget of repeats, `ends` is the
    deadline that the target was given.
    """

    instance: str
    purpose: events.Purpose
    sent_at: float
    route: str
    charged: bool
    data_centre: str = ''
    deadline: float = float('inf')
    request_id: str = ''
    identity: request_identities.Identity = request_identities.UNKNOWN


class Delegation(NamedTuple):
    """Describe parts that another host gathers.

    `flights` maps each service to the number of its sending; `left` are those
    that have not been told of. With `again` the helper tells of each part as it
    comes and of nothing else, so that its silence says nothing about it.
    """

    helper: deployments.Host
    attempt_numbers: Mapping[str, int]
    unreported: set[str]
    is_retry: bool = False


class RouteUsage(NamedTuple):
    """Hold how often a route was asked lately, as a sum that decays."""

    route: configs.Route
    weight: float
    updated_at: float


class Router:
    """Own all that one host decides by."""

    def __init__(
        self,
        host: deployments.Host,
        extra_load: deployments.ExtraLoadLimit,
        draw: Callable[[], float],
    ) -> None:
        """Start with no configuration and no targets."""
        self.host = host
        self.extra_load = extra_load
        self.draw = draw
        self.host_count = 1
        self.hosts: tuple[deployments.Host, ...] = ()
        self.index = configs.build_index(configs.EMPTY_CONFIGURATION)
        self.directory = instances.EMPTY_DIRECTORY
        self.target_health = target_health.TargetHealthTable()
        self.active_requests: dict[int, active_requests.ActiveRequest] = {}
        self.helper_health = target_health.TargetHealthTable()
        self.delegations: dict[events.DelegationKey, Delegation] = {}
        self.in_flight: dict[events.AttemptKey, InFlightAttempt] = {}
        self.latency_windows: dict[str, hedges.Window] = {}
        self.route_usage: dict[str, RouteUsage] = {}
        self.split_positions: dict[str, float] = {}
        self._budgets: dict[str, budgets.Budget] = {}
        self._timers: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()
        self._wide_centres: frozenset[str] = frozenset()
        self._centre_health = centre_health.CentreHealth(host.data_centre)
        self._centre_health.update_hosts((host,))
        self._reply_margin = margins.Margin()
        self._losses = losses.Losses()
        self._suspects = suspects.Suspects()
        self._warmups = warmups.Warmups(host)
        self._controls = controls.make_controls(host)

    @property
    def controls(self) -> controls.Controls:
        """Return what decides whether a request may be taken in."""
        return self._controls

    @property
    def centre_health(self) -> centre_health.CentreHealth:
        """Return what is known of the way to other data centres."""
        return self._centre_health

    @property
    def reply_margin(self) -> margins.Margin:
        """Return what this host keeps back from the objective."""
        return self._reply_margin

    @property
    def losses(self) -> losses.Losses:
        """Return what was lost at targets that may have ended."""
        return self._losses

    @property
    def suspects(self) -> suspects.Suspects:
        """Return which requests seem to end the targets that run them."""
        return self._suspects

    @property
    def warmups(self) -> warmups.Warmups:
        """Return which targets are cold, and what they get from here."""
        return self._warmups

    def update_wide_centres(self) -> None:
        """Note which data centres hold targets of wide queries.

        Their hosts on duty are the ones that send repeats. A data centre that
        loses some of its targets goes on counting, so that what the hosts
        take of the bound does not jump with each target that goes. One that is
        evacuated goes on counting too: its hosts may hear of the order later
        than others, and would still take their part.
        """
        self._wide_centres = self.directory.evacuated.union(
            instance.data_centre
            for service in self.index.wide_shards
            for instance in self.directory.by_service.get(service, ())
        )

    def list_wide_centres(self) -> frozenset[str]:
        """Find the data centres whose hosts on duty send repeats."""
        settled = self._centre_health.list_populated()
        return self._wide_centres & settled or settled

    def get_budget(self, service: str) -> budgets.Budget:
        """Find the budget of repeats at a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = budgets.Budget(self.extra_load)
            self._budgets[service] = budget
        return budget

    def next_number(self) -> int:
        """Take a number that no other caller of this gets."""
        return next(self._order)

    def update_extra_load(self, extra_load: deployments.ExtraLoadLimit) -> None:
        """Take another bound on repeats, for what was counted as well."""
        self.extra_load = extra_load
        for budget in self._budgets.values():
            budget.extra_load = extra_load

    def set_timer(self, deadline: float, timer: Timer) -> None:
        """Have something looked at then."""
        heapq.heappush(self._timers, (deadline, next(self._order), timer))

    def pop_timer(self, now: float) -> Timer | None:
        """Take the next thing that is due."""
        if not self._timers or self._timers[0][0] > now:
            return None
        return heapq.heappop(self._timers)[2]

    def find_next_deadline(self) -> float | None:
        """Return when something is due next."""
        return self._timers[0][0] if self._timers else None
