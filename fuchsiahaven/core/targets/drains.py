"""Decide whether a target is live or leaving, from four signals.

The signals are the target's own answers, its health reports, the platform's
host list and an operator's mark. Any one takes the target out; none but
newer evidence brings it back. Health reports and host list lag, so their
`live` is often older than the `leaving` that another signal brought: a
target believed too early is sent work that it must refuse, or cuts. What a
target already runs is left to finish.
"""

import math
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import messages

# How far the host list may lag. A list read within this time after a restart
# was learned may still mean the process before it, and a `live` read within
# this time after a `leaving` may come from an older copy.
LIST_LAG_S: Final = 30.0

# The longest time from the first sign of leaving to the last new work is
# the sum of these and of one round trip, which stays under 3 s.
PROBE_EVERY_S: Final = 1.0
PROBE_TIMEOUT_S: Final = 1.0


class Stamp(NamedTuple):
    """Order a target's own reports: process first, then report."""

    started_epoch: float
    sequence: int


class Standing(NamedTuple):
    """Hold the evidence about one target; times are monotonic seconds.

    `told`: the present process said that it leaves. `confirmed`: its newest
    report said so too, so that a later one can take it back. `listed`: the
    host list named it as leaving; `unlisted`: when the list took that back.
    `renewed` and `cleared` are when a new process, or an end of leaving,
    was learned.
    """

    stamp: Stamp | None = None
    told: bool = False
    confirmed: bool = False
    listed: bool = False
    unlisted: float = math.inf
    marked: bool = False
    renewed: float = -math.inf
    cleared: float = -math.inf


def is_leaving(standing: Standing) -> bool:
    """Tell whether the target may get no new work."""
    return standing.told or standing.listed or standing.marked


def is_fresh(standing: Standing, health: messages.Health) -> bool:
    """Tell whether a report is newer than all before it.

    Reports can overtake each other; an older one would also bring back
    holdings that the target has dropped.
    """
    return standing.stamp is None or _get_stamp(health) > standing.stamp


def note_answer(
    standing: Standing, state: messages.TargetState, asked: float
) -> Standing:
    """Take in the state in an answer or refusal to what was sent at `asked`.

    An answer has no stamp. One to a request from before the target came back
    may be of the process before, and would take the new one out for good.
    """
    if state is not messages.TargetState.LEAVING:
        return standing
    if asked < standing.cleared or (standing.told and not standing.confirmed):
        return standing
    return standing._replace(told=True, confirmed=False)


def note_health(
    standing: Standing, health: messages.Health, now: float
) -> Standing:
    """Take in the target's own report, unless an older one comes late."""
    if not is_fresh(standing, health):
        return standing
    before = standing.stamp
    renewed = before is not None and health.started_epoch > before.started_epoch
    noted = standing._replace(stamp=_get_stamp(health))
    if renewed:
        noted = noted._replace(
            told=False,
            confirmed=False,
            listed=False,
            unlisted=math.inf,
            renewed=now,
            cleared=now,
        )
    if health.state is messages.TargetState.LEAVING:
        return noted._replace(told=True, confirmed=True)
    return _take_back(noted, now)


def note_listed(standing: Standing, *, leaving: bool, now: float) -> Standing:
    """Take in a newly read host list that names the target."""
    if not leaving:
        return standing._replace(unlisted=min(standing.unlisted, now))
    if now < standing.renewed + LIST_LAG_S:
        return standing
    return standing._replace(listed=True, unlisted=math.inf)


def note_marked(standing: Standing, *, marked: bool, now: float) -> Standing:
    """Take in the operator's mark of a newly accepted configuration.

    Taking a mark off is an operator's word that the target is live, and ends
    all evidence from before. It also frees a target whose clock went back
    between two processes, so that its reports look old.
    """
    if standing.marked and not marked:
        return Standing(renewed=now, cleared=now)
    return standing._replace(marked=marked)


def _get_stamp(health: messages.Health) -> Stamp:
    return Stamp(health.started_epoch, health.sequence)


def _take_back(standing: Standing, now: float) -> Standing:
    # `live` ends only what is known to be older than it. A report that said
    # `leaving` is; an answer is not, for it may have overtaken a report that
    # lags. A listing is when the list has long taken it back as well.
    if standing.told and standing.confirmed:
        standing = standing._replace(told=False, confirmed=False, cleared=now)
    if standing.listed and now >= standing.unlisted + LIST_LAG_S:
        standing = standing._replace(
            listed=False, unlisted=math.inf, cleared=now
        )
    return standing
