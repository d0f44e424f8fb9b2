"""Determine whether a lost connection means that its target has exited.

A lost connection alone shows little: it may have been reset, or the network may
be cut. A target whose port is closed right after, or that has restarted, has
exited, and a request that it was running may be the cause.
"""

import enum
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from fuchsiahaven.core import request_identities
from fuchsiahaven.routing import events, instances

#: How long a loss is kept: a restarted target registers within it.
LOSS_RETENTION_S: Final = 5.0
#: How long a part waits for the check of its target: a connection takes a round
#: trip and the time that the target needs to accept it.
TARGET_CHECK_TIMEOUT_S: Final = 0.05
#: Bound on the losses kept, and on the exits; a target has few requests in
#: flight.
MAX_TABLE_ENTRIES: Final = 512


class TargetFate(enum.Enum):
    """Name what is known of the target of a loss.

    EXITED_BEFORE: it had exited before the attempt was sent, so the attempt
    never ran there.
    """

    EXITED = enum.auto()
    EXITED_BEFORE = enum.auto()
    UNKNOWN = enum.auto()


class Loss(NamedTuple):
    """Describe an attempt whose connection was lost."""

    key: events.AttemptKey
    identity: request_identities.Identity
    request_id: str
    instance: instances.Instance
    purpose: events.Purpose
    sent_at: float
    lost_at: float


class Losses:
    """Hold the attempts lost at targets, and the exits of targets."""

    def __init__(self) -> None:
        """Start without losses."""
        self._losses: dict[events.AttemptKey, Loss] = {}
        self._exits: dict[str, float] = {}

    def record_loss(self, loss: Loss) -> TargetFate:
        """Record a loss and return what is known of its target."""
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
        """Record that a target has exited; return what was lost there."""
        target_losses = self.pop_losses(name)
        if name not in self._exits:
            _evict_oldest(self._exits)
            self._exits[name] = now
        return target_losses

    def pop_losses(self, name: str) -> list[Loss]:
        """Remove and return the losses at a target."""
        target_losses = [
            it for it in self._losses.values() if it.instance.name == name
        ]
        for loss in target_losses:
            self._losses.pop(loss.key)
        return target_losses

    def list_restarted(self, directory: instances.Directory) -> list[str]:
        """List the targets of losses that have restarted with the same id."""
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
        """Remove losses and exits that are too old to matter."""
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
    """Remove the oldest entry of a full table."""
    if len(table) >= MAX_TABLE_ENTRIES:
        table.pop(next(iter(table)))
