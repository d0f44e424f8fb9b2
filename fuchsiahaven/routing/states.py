"""Hold the routing state of one host, which its event loop alone changes."""

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
    """Hedge the slow parts of a request.

    If `recurs` is set, the timer is set again for a little later.
    """

    request_number: int
    recurs: bool = True


class CutoffTimer(NamedTuple):
    """Reply if the received parts suffice or the deadline has passed."""

    request_number: int


class TargetCheckTimer(NamedTuple):
    """Continue with a part if the check of its target has not ended."""

    identity: request_identities.Identity
    key: events.AttemptKey


class TrialTimer(NamedTuple):
    """Resume the requests that wait for the trial of a suspect request."""

    identity: request_identities.Identity


class QuotaTimer(NamedTuple):
    """Check the requests that wait for a token of their customer's quota."""


Timer = HedgeTimer | CutoffTimer | TargetCheckTimer | TrialTimer | QuotaTimer


class InFlightAttempt(NamedTuple):
    """Describe an attempt in flight, which may outlast its request.

    `charged` is true if it was charged to the budget of extra load, `deadline`
    is the one that the target was given.
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
    """Describe the parts that a helper gathers for this host.

    `attempt_numbers` maps each service to the number of its attempt,
    `unreported` are the services that the helper has not reported on. If
    `is_retry` is set, the helper reports only parts that it has received, so
    that its silence says nothing about the helper.
    """

    helper: deployments.Host
    attempt_numbers: Mapping[str, int]
    unreported: set[str]
    is_retry: bool = False


class RouteUsage(NamedTuple):
    """Hold the recent number of requests on a route, as a decaying sum."""

    route: configs.Route
    weight: float
    updated_at: float


class Router:
    """Hold the routing state of one host."""

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
        """Return the controls that decide whether a request is admitted."""
        return self._controls

    @property
    def centre_health(self) -> centre_health.CentreHealth:
        """Return which data centres answer this host."""
        return self._centre_health

    @property
    def reply_margin(self) -> margins.Margin:
        """Return the time reserved before the objective for the reply."""
        return self._reply_margin

    @property
    def losses(self) -> losses.Losses:
        """Return the attempts lost at targets that may have exited."""
        return self._losses

    @property
    def suspects(self) -> suspects.Suspects:
        """Return the requests that seem to crash the targets that run them."""
        return self._suspects

    @property
    def warmups(self) -> warmups.Warmups:
        """Return which targets are cold, and what this host sends them."""
        return self._warmups

    def update_wide_centres(self) -> None:
        """Update which data centres hold targets of wide queries.

        The hosts assigned to chunks there send the hedges and retries. A data
        centre that loses some of its targets still counts, so that the hosts'
        parts of the bound do not change with each lost target. An evacuated
        data centre counts too: its hosts may learn of the evacuation later
        than others, and would still use their part.
        """
        self._wide_centres = self.directory.evacuated.union(
            instance.data_centre
            for service in self.index.wide_shards
            for instance in self.directory.by_service.get(service, ())
        )

    def list_wide_centres(self) -> frozenset[str]:
        """List the data centres whose assigned hosts send extra load."""
        settled = self._centre_health.list_populated()
        return self._wide_centres & settled or settled

    def get_budget(self, service: str) -> budgets.Budget:
        """Return the extra-load budget of a service, a new one if needed."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = budgets.Budget(self.extra_load)
            self._budgets[service] = budget
        return budget

    def next_number(self) -> int:
        """Return a number that is unique on this host."""
        return next(self._order)

    def update_extra_load(self, extra_load: deployments.ExtraLoadLimit) -> None:
        """Replace the bound on extra load, also for what was counted."""
        self.extra_load = extra_load
        for budget in self._budgets.values():
            budget.extra_load = extra_load

    def set_timer(self, deadline: float, timer: Timer) -> None:
        """Have a timer fire at a deadline."""
        heapq.heappush(self._timers, (deadline, next(self._order), timer))

    def pop_timer(self, now: float) -> Timer | None:
        """Remove and return the next expired timer; None without one."""
        if not self._timers or self._timers[0][0] > now:
            return None
        return heapq.heappop(self._timers)[2]

    def find_next_deadline(self) -> float | None:
        """Find the earliest timer deadline; None without timers."""
        return self._timers[0][0] if self._timers else None
