"""Drive the decisions of one host by hand: events in, actions out."""

from collections.abc import Iterable
from typing import Final

from fuchsiahaven.core import request_identities
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import (
    configs,
    desks,
    events,
    instances,
    places,
    states,
)

HOST: Final = places.Host('host-1', '10.0.0.1:7000', 'north')
EXTRA: Final = places.ExtraLoad(0.2, 40.0, 10.0)
IDEMPOTENT: Final = configurations.Repeat.IDEMPOTENT
ONCE: Final = configurations.Repeat.AT_MOST_ONCE


def make_route(
    way: configs.Way,
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
        way,
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
    """Own the decisions of one host and its clock."""

    def __init__(
        self,
        routes: Iterable[configs.Route],
        targets: Iterable[instances.Instance],
        hosts: int = 1,
    ) -> None:
        """Put the routes in force, as version 1."""
        self.now = 100.0
        self.desk = states.Desk(HOST, EXTRA, float)
        self.sent: list[events.Send] = []
        self.replies: list[events.Reply] = []
        self.stories: list[events.Story] = []
        self.others: list[events.Action] = []
        self._last = 0
        self.configure(1, routes)
        self.post(events.Counted(hosts))
        self.direct(targets)

    def configure(
        self,
        version: int,
        routes: Iterable[configs.Route],
        customers: tuple[configs.Customer, ...] | None = None,
    ) -> None:
        """Bring a version."""
        configuration = configs.Configuration(
            version, tuple(routes), (), configs.Limits(), customers
        )
        self.post(events.Configured(configuration))

    def direct(self, targets: Iterable[instances.Instance]) -> None:
        """Bring the targets there are."""
        self.post(events.Directed(instances.build_directory(targets)))

    def ask(
        self, target: str = '/search/1', wait: float = 0.8, away: float = 0.006
    ) -> int:
        """Bring a request; return its number."""
        request = events.Request(
            f'id-{self._last + 1}',
            'GET',
            target,
            'shop.example',
            (),
            b'',
            self.now,
            self.now + wait,
            away,
            request_identities.identify('shop.example', target.encode()),
        )
        return self.bring(request)

    def bring(self, request: events.Request) -> int:
        """Bring a request as it was read; return its number."""
        self._last += 1
        self.post(events.Asked(self._last, request))
        return self._last

    def answer(
        self, send: events.Send, body: bytes = b'', status: int = 200
    ) -> None:
        """Bring the answer to a sending."""
        signature = f'signed {send.key.service} {send.key.number}'
        answer = events.Answer(status, (), signature, body)
        self.post(events.Answered(send.key, answer))

    def refuse(
        self,
        send: events.Send,
        reason: messages.RefusalReason = messages.RefusalReason.SHED,
    ) -> None:
        """Bring a refusal that says not run."""
        self.post(events.Refused(send.key, reason))

    def break_off(
        self,
        send: events.Send,
        fault: messages.Fault = messages.Fault.CONNECTION_LOST,
    ) -> None:
        """Bring the end of a sending with unknown outcome.

        The target lives, and accepts the connection by which its pool looks
        whether it does.
        """
        self.post(events.Broken(send.key, fault))
        if fault is messages.Fault.CONNECTION_LOST:
            self.post(events.Reached(send.instance.name))

    def end_target(self, send: events.Send) -> None:
        """Bring the end of a target that runs a sending."""
        self.post(events.Broken(send.key, messages.Fault.CONNECTION_LOST))
        self.post(events.Ended(send.instance.name))

    def fail_to_send(
        self,
        send: events.Send,
        *,
        unreachable: bool = True,
        withdrawn: bool = False,
    ) -> None:
        """Bring word that a sending has not left."""
        self.post(events.Unsent(send.key, unreachable, withdrawn))

    def pass_time(self, seconds: float) -> None:
        """Let time pass, timer by timer."""
        end = self.now + seconds
        while (wake := self.desk.next_wake()) is not None and wake <= end:
            self.now = max(self.now, wake)
            self.post(events.Ticked())
        self.now = end

    def post(self, event: events.Event) -> None:
        """Bring an event and keep what is to be done."""
        for action in desks.handle(self.desk, event, self.now):
            match action:
                case events.Send():
                    self.sent.append(action)
                case events.Reply():
                    self.replies.append(action)
                case events.Story():
                    self.stories.append(action)
                case _:
                    self.others.append(action)

    def take_sent(self) -> list[events.Send]:
        """Return what was sent since the last time."""
        taken = self.sent
        self.sent = []
        return taken

    def take_outcome(self) -> events.Outcome:
        """Return the one outcome that was replied since the last time."""
        (reply,) = self.replies
        self.replies = []
        return reply.outcome
