"""Say how each exchange with a target is written, read and ended."""

from typing import NamedTuple

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import frames, target_protocol


class Exchange(NamedTuple):
    """Hold one request to a target and when to stop waiting for its answer.

    A cancellation also holds what it cancels.
    """

    action: messages.Send | messages.Probe | messages.Cancel
    expires: float
    cancelled: messages.Send | None = None


def make_probe(target: configurations.Target, expires: float) -> Exchange:
    """Make the question for a target's health."""
    return Exchange(messages.Probe(target), expires)


def encode_request(exchange: Exchange, now: float) -> bytes:
    """Write the request as bytes."""
    match exchange.action:
        case messages.Send() as send:
            return target_protocol.encode_search(send, now)
        case messages.Probe() as probe:
            return target_protocol.encode_probe(probe)
    assert exchange.cancelled is not None
    return target_protocol.encode_cancel(exchange.cancelled)


def may_send(exchange: Exchange, now: float) -> bool:
    """Tell whether the request is still in time to be sent."""
    if isinstance(exchange.action, messages.Send):
        return target_protocol.may_send(exchange.action.request, now)
    return now < exchange.expires


def needs_tested_connection(exchange: Exchange) -> bool:
    """Tell whether this must not be the first request on its connection.

    A target past its cap closes a new connection unread, which looks like
    any other loss: a request that runs at most once would end with its
    outcome unknown although it was never read.
    """
    action = exchange.action
    return isinstance(action, messages.Send) and action.request.at_most_once


def decode_answer(
    exchange: Exchange, frame: frames.Frame
) -> messages.Event | None:
    """Read the answer; None where there is nothing to tell."""
    match exchange.action:
        case messages.Send() as send:
            return target_protocol.decode_search(send, frame)
        case messages.Probe() as probe:
            return target_protocol.decode_probe(probe, frame)
    return None


def make_refusal(
    exchange: Exchange, reason: messages.RefusalReason
) -> messages.Event | None:
    """End what was never sent."""
    match exchange.action:
        case messages.Send() as send:
            return messages.PartRefused(send.part, send.target.name, reason)
        case messages.Probe(target):
            return messages.TargetProbed(target.name, None)
    return None


def make_failure(
    exchange: Exchange, fault: messages.Fault
) -> messages.Event | None:
    """End what was sent and brought no answer."""
    match exchange.action:
        case messages.Send() as send:
            return messages.PartFailed(send.part, send.target.name, fault)
        case messages.Probe(target):
            return messages.TargetProbed(target.name, None)
    return None


def is_for_part(exchange: Exchange | None, part: messages.PartKey) -> bool:
    """Tell whether this is the sub-request of that key."""
    return (
        exchange is not None
        and isinstance(exchange.action, messages.Send)
        and exchange.action.part == part
    )
