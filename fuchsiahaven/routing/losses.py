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
LOSS_RETENTION_S: Final = 5.0
#: How long a part waits for word of its target, in seconds: a connection takes
#: a round trip and what the target needs to accept it.
TARGET_CHECK_TIMEOUT_S: Final = 0.05
#: Losses and ends remembered at most; one target has a few under way.
MAX_ENTRIES: Final = 512


class TargetFate(enum.Enum):
    """Say what is known of the target of a loss.

    SENT_LATE tells that it had ended before the request left, which therefore
    never ran there.
    """

    EXITED = enum.auto()
    EXITED_BEFORE = enum.auto()
    UNKNOWN = enum.auto()


class Loss(NamedTuple):
    """Describe a sending that ended with its connection."""

    key: events.AttemptKey
    identity: request_identities.Identity
    request_id: str
    instance: instances.Instance
    purpose: events.Purpose
    sent_at: float
    lost_at: float


class Losses:
    """Own what was lost at targets, and which of them have ended."""

    def __init__(self) -> None:
        """Start with nothing lost."""
        self._losses: dict[events.AttemptKey, Loss] = {}
        self._exits: dict[str, float] = {}

    def record_loss(self, loss: Loss) -> TargetFate:
        """Take in a loss; tell what is known of its target."""
        exited_at = self._exits.get(loss.instance.name)
        if exited_at is not None:
            return (
                TargetFate.EXITED
                if loss.sent_at < exited_at
                else TargetFate.EXITED_BEFORE
            )
        _evict_oldest(self._losses)
        self._losses[loss.key] = loss
        return TargetFate.UNKNOWN

    def record_exit(self, name: str, now: float) -> list[Loss]:
        """Take in that a target has ended; return what was lost there."""
        target_losses = self.pop_losses(name)
        if name not in self._exits:
            _evict_oldest(self._exits)
            self._exits[name] = now
        return target_losses

    def pop_losses(self, name: str) -> list[Loss]:
        """Return and forget what was lost at a target."""
        target_losses = [
            it for it in self._losses.values() if it.instance.name == name
        ]
        for loss in target_losses:
            self._losses.pop(loss.key)
        return target_losses

    def list_restarted(self, directory: instances.Directory) -> list[str]:
        """List the targets of losses that have started again under their id."""
        if not self._losses:
            return []
        current = {
            instance.id: instance for instance in directory.by_name.values()
        }
        return sorted(
            {
                loss.instance.name
                for loss in self._losses.values()
                if _is_restarted(loss.instance, current)
            }
        )

    def expire_old(self, now: float) -> None:
        """Forget what is too old to be told of any more."""
        since = now - LOSS_RETENTION_S
        self._losses = {
            key: loss
            for key, loss in self._losses.items()
            if loss.lost_at >= since
        }
        self._exits = {
            name: exited_at
            for name, exited_at in self._exits.items()
            if exited_at >= since
        }


def _is_restarted(
    instance: instances.Instance, current: Mapping[str, instances.Instance]
) -> bool:
    current_instance = current.get(instance.id)
    return (
        current_instance is not None and current_instance.born > instance.born
    )


def _evict_oldest(table: dict[Any, Any]) -> None:
    """Drop the oldest entry of a table that is full."""
    if len(table) >= MAX_ENTRIES:
        table.pop(next(iter(table)))
