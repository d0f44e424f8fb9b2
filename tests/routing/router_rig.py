"""Drive the routing of one host by hand: events in, actions out."""

from collections.abc import Iterable
from typing import Final

from fuchsiahaven.core import request_identities
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import (
    configs,
    deployments,
    dispatch,
    events,
    instances,
    states,
)

HOST: Final = deployments.Host('host-1', '10.0.0.1:7000', 'north')
EXTRA_LOAD: Final = deployments.ExtraLoadLimit(0.2, 40.0, 10.0)
IDEMPOTENT: Final = configurations.Repeat.IDEMPOTENT
AT_MOST_ONCE: Final = configurations.Repeat.AT_MOST_ONCE


def make_route(
    action: configs.RouteAction,
    *,
    prefix: str = '/search/',
    repeat: configurations.Repeat = IDEMPOTENT,
    attempts: int = 2,
) -> configs.Route:
    """Make a route with an objective of 100 ms and a timeout of 800 ms."""
    return configs.Route(
        f'route {prefix}',
        'shop.example',
        prefix,
        repeat,
        0.8,
        0.1,
        attempts,
        1,
        action,
    )


def make_instances(
    services: Iterable[str], count: int = 2, data_centre: str = 'north'
) -> list[instances.Instance]:
    """Make targets named `service-0` and so on, in one data centre."""
    return [
        instances.Instance(
            f'{service}-{number}',
            f'{service}-{number}',
            service,
            f'10.0.1.{number}:80',
            data_centre,
            2,
            leaving=False,
            warming=0.0,
        )
        for service in services
        for number in range(count)
    ]


class Rig:
    """Hold the router of one host and its clock."""

    def __init__(
        self,
        routes: Iterable[configs.Route],
        targets: Iterable[instances.Instance],
        hosts: int = 1,
    ) -> None:
        """Start a router with these routes as configuration version 1."""
        self.now = 100.0
        self.router = states.Router(HOST, EXTRA_LOAD, float)
        self.sent: list[events.SendAttempt] = []
        self.replies: list[events.Reply] = []
        self.summaries: list[events.RequestSummary] = []
        self.other_actions: list[events.Action] = []
        self._last_number = 0
        self.configure(1, routes)
        self.post(events.HostsChanged(hosts))
        self.replace_targets(targets)

    def configure(
        self,
        version: int,
        routes: Iterable[configs.Route],
        customers: tuple[configs.Customer, ...] | None = None,
    ) -> None:
        """Post a version of the configuration."""
        configuration = configs.Configuration(
            version, tuple(routes), (), configs.Limits(), customers
        )
        self.post(events.ConfigurationReceived(configuration))

    def replace_targets(self, targets: Iterable[instances.Instance]) -> None:
        """Post a directory of these targets."""
        self.post(events.DirectoryChanged(instances.build_directory(targets)))

    def send_request(
        self,
        uri: str = '/search/1',
        wait: float = 0.8,
        transit_s: float = 0.006,
    ) -> int:
        """Post a new GET request and return its number."""
        request = events.Request(
            f'id-{self._last_number + 1}',
            'GET',
            uri,
            'shop.example',
            (),
            b'',
            self.now,
            self.now + wait,
            transit_s,
            request_identities.identify('shop.example', uri.encode()),
        )
        return self.submit(request)

    def submit(self, request: events.Request) -> int:
        """Post a given request and return its number."""
        self._last_number += 1
        self.post(events.RequestReceived(self._last_number, request))
        return self._last_number

    def answer(
        self, send: events.SendAttempt, body: bytes = b'', status: int = 200
    ) -> None:
        """Post the answer to an attempt."""
        signature = f'signed {send.key.service} {send.key.number}'
        answer = events.Answer(status, (), signature, body)
        self.post(events.TargetAnswered(send.key, answer))

    def refuse(
        self,
        send: events.SendAttempt,
        reason: messages.RefusalReason = messages.RefusalReason.SHED,
    ) -> None:
        """Post a refusal of an attempt, which has not run."""
        self.post(events.TargetRefused(send.key, reason))

    def break_attempt(
        self,
        send: events.SendAttempt,
        fault: messages.Fault = messages.Fault.CONNECTION_LOST,
    ) -> None:
        """Post a fault of an attempt, which may have run.

        After a lost connection the target is alive: it accepts the connection
        with which the pool checks it.
        """
        self.post(events.AttemptBroken(send.key, fault))
        if fault is messages.Fault.CONNECTION_LOST:
            self.post(events.TargetConnected(send.instance.name))

    def end_target(self, send: events.SendAttempt) -> None:
        """Post the exit of the target that runs an attempt."""
        self.post(
            events.AttemptBroken(send.key, messages.Fault.CONNECTION_LOST)
        )
        self.post(events.TargetExited(send.instance.name))

    def fail_to_send(
        self,
        send: events.SendAttempt,
        *,
        unreachable: bool = True,
        withdrawn: bool = False,
    ) -> None:
        """Post that an attempt was not sent."""
        self.post(events.AttemptUnsent(send.key, unreachable, withdrawn))

    def advance_time(self, seconds: float) -> None:
        """Advance the clock, firing the timers one by one."""
        end = self.now + seconds
        while (
            deadline := self.router.find_next_deadline()
        ) is not None and deadline <= end:
            self.now = max(self.now, deadline)
            self.post(events.ClockTicked())
        self.now = end

    def post(self, event: events.Event) -> None:
        """Handle an event and keep the resulting actions."""
        for action in dispatch.handle_event(self.router, event, self.now):
            match action:
                case events.SendAttempt():
                    self.sent.append(action)
                case events.Reply():
                    self.replies.append(action)
                case events.RequestSummary():
                    self.summaries.append(action)
                case _:
                    self.other_actions.append(action)

    def pop_sent(self) -> list[events.SendAttempt]:
        """Return the attempts sent since the last call."""
        sent = self.sent
        self.sent = []
        return sent

    def pop_outcome(self) -> events.Outcome:
        """Return the outcome of the one reply since the last call."""
        (reply,) = self.replies
        self.replies = []
        return reply.outcome
