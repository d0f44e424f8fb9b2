"""Test which connections to targets are kept when the targets change."""

import asyncio
import time

from fuchsiahaven.core.targets import messages
from fuchsiahaven.relay import fleets, traffic
from fuchsiahaven.routing import deployments, events, instances, states
from tests.relay import peers

HOST = deployments.Host('host-1', '10.0.0.1:7000', 'north')
FIELDS = (('host', 'shop.example'),)
EXTRA = deployments.ExtraLoadLimit(0.2, 40.0, 10.0)


async def be_silent(head: bytes, writer: asyncio.StreamWriter) -> None:
    """Take requests and answer none."""


def make_send(target: instances.Instance, ask: int) -> events.SendAttempt:
    """Ask for a request to be sent that may take half a minute."""
    now = time.monotonic()
    request = events.Request(
        f'id-{ask}', 'GET', '/a/1', 'shop.example', FIELDS, b'', now, now + 30
    )
    key = events.AttemptKey(ask, 'records', 1)
    return events.SendAttempt(
        key, target, request, now + 30, fresh_connection=False
    )


def test_sends_elsewhere_what_waits_at_a_target_that_is_left_out() -> None:
    """Symptom: a request reaches a target seconds after its evacuation.

    Two requests are for a target with one connection. The second one waits for
    it when the order comes; the first one ends there in peace.
    """

    async def run() -> list[events.Event]:
        reported: list[events.Event] = []
        async with peers.listen(be_silent) as server:
            target = server.as_instance()
            desk = states.Router(HOST, EXTRA, float)
            desk.directory = instances.build_directory([target])
            fleet = fleets.Fleet(
                desk, reported.append, time.monotonic, traffic.Traffic()
            )
            fleet.place(make_send(target, 1))
            await peers.wait_for(lambda: bool(server.heads))
            fleet.place(make_send(target, 2))
            desk.directory = instances.build_directory([target], {'north'})
            fleet.prune()
            # Closing all of it would tell the same.
            told = list(reported)
            fleet.close()
        return told

    waiting = events.AttemptKey(2, 'records', 1)
    reported = asyncio.run(run())
    assert reported[1:] == [events.AttemptUnsent(waiting, unreachable=False)]


def test_gives_up_what_waits_at_an_earlier_start_of_a_target() -> None:
    """Symptom: a request waits until its deadline at a process that is gone.

    A target is restarted under its id behind a cut that resets nothing. Its
    new entry tells that the process before has ended, and that the outcome
    of what was sent there is not known.
    """

    async def run() -> list[events.Event]:
        reported: list[events.Event] = []
        async with peers.listen(be_silent) as server:
            first = server.as_instance()
            desk = states.Router(HOST, EXTRA, float)
            desk.directory = instances.build_directory([first])
            fleet = fleets.Fleet(
                desk, reported.append, time.monotonic, traffic.Traffic()
            )
            fleet.place(make_send(first, 1))
            await peers.wait_for(lambda: bool(server.heads))
            second = first._replace(
                name=instances.make_start_name(first.id, 2), born=2
            )
            desk.directory = instances.build_directory([second])
            fleet.prune()
            # Closing all of it would tell the same.
            told = list(reported)
            fleet.close()
        return told

    reported = asyncio.run(run())
    lost = messages.Fault.CONNECTION_LOST
    assert (
        events.AttemptBroken(events.AttemptKey(1, 'records', 1), lost)
        in reported
    )
