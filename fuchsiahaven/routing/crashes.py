"""Find the requests under which targets end, and hold them back."""

from collections.abc import Iterable
from typing import Final

from fuchsiahaven.core import request_identities, suspects
from fuchsiahaven.routing import (
    asks,
    endings,
    events,
    instances,
    losses,
    states,
    trials,
    tries,
)

Actions = list[events.Action]

#: How long the losses of a query over shards are gathered, in seconds. Others
#: that were under way there repeat the part that was lost first; a trial
#: elsewhere does not end their second target.
GATHER_S: Final = 0.005


def note_loss(
    desk: states.Desk, key: events.FlightKey, aloft: states.Aloft, now: float
) -> Actions | None:
    """Take in that a sending ended with its connection.

    Returns None if its part is to wait until the pool has looked whether the
    target has ended. A target that was leaving may end what it has not
    finished, and is not looked at.
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
    match desk.losses.note(loss):
        case losses.Word.ENDED:
            return _take_crashes(desk, [loss], now)
        case losses.Word.UNKNOWN:
            due = states.DoubtDue(aloft.identity, key)
            desk.set_timer(now + losses.LOOK_S, due)
            return None
    return []


def take_reached(desk: states.Desk, name: str, now: float) -> Actions:
    """Take in that a target lives: its connections were reset."""
    return _go_on_all(desk, desk.losses.take(name), now)


def take_end(desk: states.Desk, name: str, now: float) -> Actions:
    """Take in that a target has ended."""
    found = desk.losses.note_ended(name, now)
    return [*_take_crashes(desk, found, now), *_go_on_all(desk, found, now)]


def take_directory(
    desk: states.Desk, directory: instances.Directory, now: float
) -> Actions:
    """Take in which targets have started again."""
    actions: Actions = []
    for name in desk.losses.list_restarted(directory):
        actions.extend(take_end(desk, name, now))
    return actions


def stop_doubting(
    desk: states.Desk, due: states.DoubtDue, now: float
) -> Actions:
    """Go on with a part of which the pool could not tell in time."""
    return _go_on(desk, due.identity, due.key, now)


def take_news(desk: states.Desk, news: events.Suspected, now: float) -> Actions:
    """Take in what other hosts know against requests."""
    actions: Actions = []
    own = desk.host.name
    for one in news.found:
        if desk.suspects.merge_report(one, now, own):
            actions.extend(_describe(desk, one.identity, now, passed_on=False))
            actions.extend(_hold_back(desk, one.identity, now))
    return actions


def note_success(
    desk: states.Desk,
    identity: request_identities.Identity,
    key: events.FlightKey,
    now: float,
) -> Actions:
    """Take in that a target has run a part of a request to its end."""
    if not desk.suspects.record_success(identity, key.service, key):
        return []
    _release(desk, identity, now)
    return _tell(desk, identity, now)


def end_trial(
    desk: states.Desk,
    identity: request_identities.Identity,
    key: events.FlightKey,
    now: float,
) -> None:
    """Take in that a sending has ended, in whatever way."""
    if desk.suspects.end_trial(identity, key):
        _release(desk, identity, now)


def _take_crashes(
    desk: states.Desk, found: Iterable[losses.Loss], now: float
) -> Actions:
    actions: Actions = []
    for loss in found:
        actions.append(_tell_crash(loss))
        crash = suspects.Crash(
            loss.key.service,
            loss.instance.name,
            loss.key,
            loss.sent,
            loss.lost,
        )
        if desk.suspects.record_crash(loss.identity, crash, now):
            actions.extend(_tell(desk, loss.identity, now))
            actions.extend(_hold_back(desk, loss.identity, now))
    return actions


def _tell_crash(loss: losses.Loss) -> events.Crash:
    return events.Crash(
        loss.instance.name,
        loss.key.service,
        loss.request_id,
        loss.identity.digest,
        loss.purpose,
        loss.key.number,
        loss.lost - loss.sent,
    )


def _tell(
    desk: states.Desk, identity: request_identities.Identity, now: float
) -> Actions:
    """Tell the log, and other hosts if they are to know."""
    passed_on = desk.suspects.admit_report(identity, now)
    return _describe(desk, identity, now, passed_on=passed_on)


def _describe(
    desk: states.Desk,
    identity: request_identities.Identity,
    now: float,
    *,
    passed_on: bool,
) -> Actions:
    news = desk.suspects.make_report(identity, now)
    return [] if news is None else [events.Suspicion(news, passed_on)]


def _hold_back(
    desk: states.Desk, identity: request_identities.Identity, now: float
) -> Actions:
    """Keep what has not left yet from leaving; look at what waits."""
    _release(desk, identity, now)
    return [
        events.Withdraw(key)
        for ask in desk.asks.values()
        if ask.request.identity == identity
        for key in asks.list_flights(ask)
    ]


def _release(
    desk: states.Desk, identity: request_identities.Identity, now: float
) -> None:
    """Have the parts that wait for a trial looked at."""
    if identity in desk.suspects.waiting_ids:
        desk.set_timer(now, states.HeldDue(identity))


def _go_on_all(
    desk: states.Desk, found: Iterable[losses.Loss], now: float
) -> Actions:
    actions: Actions = []
    for loss in found:
        actions.extend(_go_on(desk, loss.identity, loss.key, now))
    return actions


def _go_on(
    desk: states.Desk,
    identity: request_identities.Identity,
    key: events.FlightKey,
    now: float,
) -> Actions:
    """Go on with a part that waited for word of its target."""
    end_trial(desk, identity, key, now)
    ask = desk.asks.get(key.ask)
    part = None if ask is None else ask.parts.get(key.service)
    if ask is None or part is None or not part.doubted:
        return []
    ask.parts[key.service] = part._replace(doubted=False)
    if key.service not in ask.open:
        return []
    gate = trials.find_gate(desk, ask, now)
    if ask.gathers and gate is suspects.SendPermission.TRIAL:
        # The trial is chosen among all parts that are lost by then.
        trials.wait(desk, ask)
        due = states.HeldDue(identity)
        desk.set_timer(now + GATHER_S, due)
        return []
    actions = tries.send_again(desk, ask, key.service, now)
    return [*actions, *endings.settle(desk, ask, now)]
