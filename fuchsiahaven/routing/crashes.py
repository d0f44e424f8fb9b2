"""Tell which requests were under way at targets that ended."""

from collections.abc import Iterable

from fuchsiahaven.routing import events, instances, losses, states

Actions = list[events.Action]


def note_loss(
    desk: states.Desk, key: events.FlightKey, aloft: states.Aloft, now: float
) -> Actions:
    """Take in that a sending ended with its connection.

    A target that was leaving may end what it has not finished, and is not
    looked at.
    """
    instance = desk.directory.by_name.get(aloft.instance)
    if instance is None:
        return []
    loss = losses.Loss(
        key,
        aloft.identity,
        aloft.request_id,
        instance,
        aloft.purpose,
        aloft.sent,
        now,
    )
    return _tell([loss]) if desk.losses.note(loss) else []


def take_end(desk: states.Desk, name: str, now: float) -> Actions:
    """Take in that a target has ended."""
    return _tell(desk.losses.note_ended(name, now))


def take_directory(
    desk: states.Desk, directory: instances.Directory, now: float
) -> Actions:
    """Take in which targets have started again."""
    actions: Actions = []
    for name in desk.losses.list_restarted(directory):
        actions.extend(take_end(desk, name, now))
    return actions


def _tell(found: Iterable[losses.Loss]) -> Actions:
    return [
        events.Crash(
            loss.instance.name,
            loss.key.service,
            loss.request_id,
            loss.identity.digest,
            loss.purpose,
            loss.key.number,
            loss.lost - loss.sent,
        )
        for loss in found
    ]
