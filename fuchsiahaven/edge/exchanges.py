"""Encode, decode and end the exchanges with a target."""

from typing import NamedTuple

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import frames, target_protocol


class Exchange(NamedTuple):
    """Hold a request to a target and when it expires without an answer.

    A cancellation also holds the sub-request that it cancels.
    """

    action: messages.Send | messages.Probe | messages.Cancel
    expires: float
    cancelled: messages.Send | None = None


def make_probe(target: configurations.Target, expires: float) -> Exchange:
    """Make a health probe of a target."""
    return Exchange(messages.Probe(target), expires)


def encode_request(exchange: Exchange, now: float) -> bytes:
    """Encode the request as bytes."""
    match exchange.action:
        case messages.Send() as send:
            return target_protocol.encode_search(send, now)
        case messages.Probe() as probe:
            return target_protocol.encode_probe(probe)
    assert exchange.cancelled is not None
    return target_protocol.encode_cancel(exchange.cancelled)


def may_send(exchange: Exchange, now: float) -> bool:
    """Return whether the request may still be sent."""
    if isinstance(exchange.action, messages.Send):
        return target_protocol.may_send(exchange.action.request, now)
    return now < exchange.expires


def needs_tested_connection(exchange: Exchange) -> bool:
    """Return whether the connection must have answered a request before.

    A target at its connection limit closes a new connection unread, which
    looks like any other loss: an at-most-once request would end with an
    unknown outcome although it was never read.
    """
    action = exchange.action
    return isinstance(action, messages.Send) and action.request.at_most_once


def decode_answer(
    exchange: Exchange, frame: frames.Frame
) -> messages.Event | None:
    """Decode the answer; None if there is nothing to report."""
    match exchange.action:
        case messages.Send() as send:
            return target_protocol.decode_search(send, frame)
        case messages.Probe() as probe:
            return target_protocol.decode_probe(probe, frame)
    return None


def make_refusal(
    exchange: Exchange, reason: messages.RefusalReason
) -> messages.Event | None:
    """Make the event of a request that was never sent."""
    match exchange.action:
        case messages.Send() as send:
            return messages.PartRefused(send.part, send.target.name, reason)
        case messages.Probe(target):
            return messages.TargetProbed(target.name, None)
    return None


def make_failure(
    exchange: Exchange, fault: messages.Fault
) -> messages.Event | None:
    """Make the event of a request that was sent and not answered."""
    match exchange.action:
        case messages.Send() as send:
            return messages.PartFailed(send.part, send.target.name, fault)
        case messages.Probe(target):
            return messages.TargetProbed(target.name, None)
    return None


def is_for_part(exchange: Exchange | None, part: messages.PartKey) -> bool:
    """Return whether this is the sub-request with that key."""
    return (
        exchange is not None
        and isinstance(exchange.action, messages.Send)
        and exchange.action.part == part
    )
