"""Find the requests under which targets crash, and hold them back."""

from collections.abc import Iterable
from typing import Final

from fuchsiahaven.core import request_identities, suspects
from fuchsiahaven.routing import (
    active_requests,
    attempts,
    completions,
    events,
    instances,
    losses,
    states,
    trials,
)

Actions = list[events.Action]

#: How long the lost parts of a query over shards are gathered before a trial.
#: Other requests that were active at the same target retry the lost part first;
#: a trial at another lost shard does not crash the second target they use.
LOSS_GATHERING_S: Final = 0.005


def record_loss(
    router: states.Router,
    key: events.AttemptKey,
    in_flight: states.InFlightAttempt,
    now: float,
) -> Actions | None:
    """Record an attempt whose connection was lost.

    Return None if the part has to wait until the connection pool has checked
    whether the target has exited. A target that was leaving may cut off
    unfinished requests, and is not checked.
    """
    instance = router.directory.by_name.get(in_flight.instance)
    if instance is None:
        return []
    loss = losses.Loss(
        key,
        in_flight.identity,
        in_flight.request_id,
        instance,
        in_flight.purpose,
        in_flight.sent_at,
        now,
    )
    match router.losses.record_loss(loss):
        case losses.TargetFate.EXITED:
            return _record_crashes(router, [loss], now)
        case losses.TargetFate.UNKNOWN:
            timer = states.TargetCheckTimer(in_flight.identity, key)
            router.set_timer(now + losses.TARGET_CHECK_TIMEOUT_S, timer)
            return None
    return []


def handle_connection(router: states.Router, name: str, now: float) -> Actions:
    """Handle a new connection: the target is alive and had reset others."""
    return _continue_parts(router, router.losses.pop_losses(name), now)


def handle_exit(router: states.Router, name: str, now: float) -> Actions:
    """Handle the exit of a target."""
    target_losses = router.losses.record_exit(name, now)
    return [
        *_record_crashes(router, target_losses, now),
        *_continue_parts(router, target_losses, now),
    ]


def handle_directory(
    router: states.Router, directory: instances.Directory, now: float
) -> Actions:
    """Handle the exit of targets that a new directory shows as restarted."""
    actions: Actions = []
    for name in router.losses.list_restarted(directory):
        actions.extend(handle_exit(router, name, now))
    return actions


def handle_check_timeout(
    router: states.Router, timer: states.TargetCheckTimer, now: float
) -> Actions:
    """Continue with a part whose target could not be checked in time."""
    return _continue_part(router, timer.identity, timer.key, now)


def handle_suspect_reports(
    router: states.Router, event: events.SuspectsReported, now: float
) -> Actions:
    """Merge the suspect reports of other hosts."""
    actions: Actions = []
    own_name = router.host.name
    for report in event.reports:
        if router.suspects.merge_report(report, now, own_name):
            actions.extend(
                _build_report(router, report.identity, now, broadcast=False)
            )
            actions.extend(_withdraw_unsent(router, report.identity, now))
    return actions


def record_success(
    router: states.Router,
    identity: request_identities.Identity,
    key: events.AttemptKey,
    now: float,
) -> Actions:
    """Record that a target has completed a part of a request."""
    if not router.suspects.record_success(identity, key.service, key):
        return []
    _resume_waiting(router, identity, now)
    return _report_suspicion(router, identity, now)


def end_trial(
    router: states.Router,
    identity: request_identities.Identity,
    key: events.AttemptKey,
    now: float,
) -> None:
    """Record that an attempt has ended, with whatever result."""
    if router.suspects.end_trial(identity, key):
        _resume_waiting(router, identity, now)


def _record_crashes(
    router: states.Router, target_losses: Iterable[losses.Loss], now: float
) -> Actions:
    actions: Actions = []
    for loss in target_losses:
        actions.append(_report_crash(loss))
        crash = suspects.Crash(
            loss.key.service,
            loss.instance.name,
            loss.key,
            loss.sent_at,
            loss.lost_at,
        )
        if router.suspects.record_crash(loss.identity, crash, now):
            actions.extend(_report_suspicion(router, loss.identity, now))
            actions.extend(_withdraw_unsent(router, loss.identity, now))
    return actions


def _report_crash(loss: losses.Loss) -> events.CrashReport:
    return events.CrashReport(
        loss.instance.name,
        loss.key.service,
        loss.request_id,
        loss.identity.digest,
        loss.purpose,
        loss.key.number,
        loss.lost_at - loss.sent_at,
    )


def _report_suspicion(
    router: states.Router, identity: request_identities.Identity, now: float
) -> Actions:
    """Report a suspect request to the log, and to other hosts if needed."""
    broadcast = router.suspects.admit_report(identity, now)
    return _build_report(router, identity, now, broadcast=broadcast)


def _build_report(
    router: states.Router,
    identity: request_identities.Identity,
    now: float,
    *,
    broadcast: bool,
) -> Actions:
    report = router.suspects.make_report(identity, now)
    return (
        [] if report is None else [events.SuspicionChanged(report, broadcast)]
    )


def _withdraw_unsent(
    router: states.Router, identity: request_identities.Identity, now: float
) -> Actions:
    """Withdraw the unsent attempts of a request; resume what waits."""
    _resume_waiting(router, identity, now)
    return [
        events.WithdrawAttempt(key)
        for active in router.active_requests.values()
        if active.request.identity == identity
        for key in active_requests.list_in_flight(active)
    ]


def _resume_waiting(
    router: states.Router, identity: request_identities.Identity, now: float
) -> None:
    """Resume the requests that wait for the trial of a suspect request."""
    if identity in router.suspects.waiting_ids:
        router.set_timer(now, states.TrialTimer(identity))


def _continue_parts(
    router: states.Router, target_losses: Iterable[losses.Loss], now: float
) -> Actions:
    actions: Actions = []
    for loss in target_losses:
        actions.extend(_continue_part(router, loss.identity, loss.key, now))
    return actions


def _continue_part(
    router: states.Router,
    identity: request_identities.Identity,
    key: events.AttemptKey,
    now: float,
) -> Actions:
    """Continue with a part that waited for the check of its target."""
    end_trial(router, identity, key, now)
    active = router.active_requests.get(key.request_number)
    part = None if active is None else active.parts.get(key.service)
    if active is None or part is None or not part.awaits_target_check:
        return []
    active.parts[key.service] = part._replace(awaits_target_check=False)
    if key.service not in active.open_parts:
        return []
    permission = trials.get_permission(router, active, now)
    if active.is_gather and permission is suspects.SendPermission.TRIAL:
        # The trial uses one of all parts that are lost by then.
        trials.wait_for_trial(router, active)
        timer = states.TrialTimer(identity)
        router.set_timer(now + LOSS_GATHERING_S, timer)
        return []
    actions = attempts.retry_part(router, active, key.service, now)
    return [*actions, *completions.complete_if_ready(router, active, now)]
