"""Find out whether a target ended where a request was lost with its connection.

A connection that breaks says little: it may have been reset, or the way cut. A
target whose port is closed right after, or that has started again, has ended,
and what it ran may be why.
"""

import enum
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from fuchsiahaven.core import request_identities
from fuchsiahaven.routing import events, instances

#: How long a loss is remembered, in seconds: a target's next start enters
#: itself within that.
REMEMBER_S: Final = 5.0
#: How long a part waits for word of its target, in seconds: a connection takes
#: a round trip and what the target needs to accept it.
LOOK_S: Final = 0.05
#: Losses and ends remembered at most; one target has a few under way.
MOST: Final = 512


class Word(enum.Enum):
    """Say what is known of the target of a loss.

    SENT_LATE tells that it had ended before the request left, which therefore
    never ran there.
    """

    ENDED = enum.auto()
    SENT_LATE = enum.auto()
    UNKNOWN = enum.auto()


class Loss(NamedTuple):
    """Describe a sending that ended with its connection."""

    key: events.FlightKey
    identity: request_identities.Identity
    request_id: str
    instance: instances.Instance
    purpose: events.Purpose
    sent: float
    lost: float


class Losses:
    """Own what was lost at targets, and which of them have ended."""

    def __init__(self) -> None:
        """Start with nothing lost."""
        self._lost: dict[events.FlightKey, Loss] = {}
        self._ended: dict[str, float] = {}

    def note(self, loss: Loss) -> Word:
        """Take in a loss; tell what is known of its target."""
        ended = self._ended.get(loss.instance.name)
        if ended is not None:
            return Word.ENDED if loss.sent < ended else Word.SENT_LATE
        _make_room(self._lost)
        self._lost[loss.key] = loss
        return Word.UNKNOWN

    def note_ended(self, name: str, now: float) -> list[Loss]:
        """Take in that a target has ended; return what was lost there."""
        found = self.take(name)
        if name not in self._ended:
            _make_room(self._ended)
            self._ended[name] = now
        return found

    def take(self, name: str) -> list[Loss]:
        """Return and forget what was lost at a target."""
        found = [it for it in self._lost.values() if it.instance.name == name]
        for loss in found:
            self._lost.pop(loss.key)
        return found

    def list_restarted(self, directory: instances.Directory) -> list[str]:
        """List the targets of losses that have started again under their id."""
        if not self._lost:
            return []
        current = {one.id: one for one in directory.by_name.values()}
        return sorted(
            {
                loss.instance.name
                for loss in self._lost.values()
                if _is_restarted(loss.instance, current)
            }
        )

    def forget_old(self, now: float) -> None:
        """Forget what is too old to be told of any more."""
        since = now - REMEMBER_S
        self._lost = {
            key: loss for key, loss in self._lost.items() if loss.lost >= since
        }
        self._ended = {
            name: ended for name, ended in self._ended.items() if ended >= since
        }


def _is_restarted(
    one: instances.Instance, current: Mapping[str, instances.Instance]
) -> bool:
    now = current.get(one.id)
    return now is not None and now.born > one.born


def _make_room(table: dict[Any, Any]) -> None:
    """Drop the oldest entry of a table that is full."""
    if len(table) >= MOST:
        table.pop(next(iter(table)))
