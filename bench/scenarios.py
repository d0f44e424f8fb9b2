"""Define the scenarios: which faults occur, and when.

Times are fractions of the measured run, so that a scenario fits any length.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from standins import layouts, wire

STRAGGLER_FACTOR: Final = 20
SLOW_FRACTION: Final = 0.01
OFTEN_SLOW_FRACTION: Final = 0.05
# Slow enough that searchers, not the processors of hosts, are the bottleneck.
SLOW_MEDIAN_MS: Final = 100.0
FREEZE_S: Final = 1.5
SURGE_FACTOR: Final = 4.0
NEXT_SNAPSHOT: Final = layouts.FIRST_SNAPSHOT + 1


class ControlTargets(NamedTuple):
    """Send a control request to the stand-ins for targets."""

    body: wire.Json


class ControlPlatform(NamedTuple):
    """Send a control request to the stand-in for the platform."""

    body: wire.Json


class AnnounceLeaving(NamedTuple):
    """Have instances leave; the host list shows it with a delay."""

    instances: tuple[str, ...]


class CutDataCentre(NamedTuple):
    """Disconnect the last data centre from the platform, or reconnect it."""

    cut: bool


class Surge(NamedTuple):
    """Multiply the arrival rate by a factor."""

    factor: float


class Restart(NamedTuple):
    """Stop one host gracefully and start it again."""

    host: int


class Kill(NamedTuple):
    """Kill one host and start it again."""

    host: int


class Freeze(NamedTuple):
    """Suspend one host for some seconds."""

    host: int
    seconds: float


class CommitChange(NamedTuple):
    """Commit the next revision of the configuration."""


Action = (
    ControlTargets
    | ControlPlatform
    | AnnounceLeaving
    | CutDataCentre
    | Surge
    | Restart
    | Kill
    | Freeze
    | CommitChange
)


class Step(NamedTuple):
    """Hold one action and its time as a fraction of the run."""

    at_fraction: float
    action: Action


Steps = tuple[Step, ...]
Services = tuple[layouts.Service, ...]


class Scenario(NamedTuple):
    """Hold one scenario; `repeat_fraction` of its ids are sent twice."""

    name: str
    summary: str
    make_steps: Callable[[Services], Steps]
    data_centres: int = 1
    repeat_fraction: float = 0.0
    only_at_most_once: bool = False


def _do_nothing(services: Services) -> Steps:
    return ()


def _slow_two_searchers(services: Services) -> Steps:
    names = [f'{service.name}-07/0' for service in services[:2]]
    return (_change_behaviour(0.1, names, straggle=STRAGGLER_FACTOR),)


def _slow_some_runs(services: Services) -> Steps:
    return (_change_behaviour(0, '*', slow_share=SLOW_FRACTION),)


def _slow_more_runs(services: Services) -> Steps:
    return (_change_behaviour(0, '*', slow_share=OFTEN_SLOW_FRACTION),)


def _slow_all_runs(services: Services) -> Steps:
    return (_change_behaviour(0, '*', median_ms=SLOW_MEDIAN_MS),)


def _lose_replicas(services: Services) -> Steps:
    names = _name_instances(services, 1)
    return (
        _change_state(0.3, names, 'dead'),
        _change_state(0.7, names, 'cold'),
    )


def _drain_instances(services: Services) -> Steps:
    steps: list[Step] = []
    # One at a time, as neighbours hold the two replicas of a shard.
    for start, number in ((0.05, 1), (0.55, 2)):
        names = _name_instances(services, number)
        steps.append(Step(start, AnnounceLeaving(names)))
        steps.append(_change_state(start + 0.25, names, 'dead'))
        steps.append(_change_state(start + 0.3, names, 'cold'))
    return tuple(steps)


def _change_index(services: Services) -> Steps:
    # The new snapshot is added to one instance after another, beside the old.
    first = services[0]
    rolling = (
        _control_targets(
            0.2 + 0.3 * number / first.instances,
            [f'{service.name}-{number:02}' for service in services],
            add_snapshot=NEXT_SNAPSHOT,
        )
        for number in range(max(service.instances for service in services))
    )
    return (
        *rolling,
        _control_targets(0.8, '*', drop_snapshot=layouts.FIRST_SNAPSHOT),
    )


def _repartition(services: Services) -> Steps:
    name = services[0].name
    shards = services[0].shards + 5
    old = layouts.FIRST_SNAPSHOT
    return (
        _control_targets(0.3, name, add_snapshot=NEXT_SNAPSHOT, shards=shards),
        _control_targets(0.5, name, drop_snapshot=old),
    )


def _surge_arrivals(services: Services) -> Steps:
    return Step(0.3, Surge(SURGE_FACTOR)), Step(0.6, Surge(1))


def _stop_platform(services: Services) -> Steps:
    down, up = ControlPlatform({'down': True}), ControlPlatform({'down': False})
    return Step(0.3, down), Step(0.7, up)


def _restart_hosts(services: Services) -> Steps:
    return Step(0.1, Restart(0)), Step(0.6, Restart(1))


def _cut_data_centre(services: Services) -> Steps:
    return (
        Step(0.2, CutDataCentre(cut=True)),
        Step(0.4, CommitChange()),
        Step(0.7, CutDataCentre(cut=False)),
    )


def _lose_answers(services: Services) -> Steps:
    lost = ControlPlatform({'lose_writes': 2})
    losses = [Step(at / 100, lost) for at in range(1, 100, 2)]
    outages = [
        Step(start / 10 + after, ControlPlatform({'down': not after}))
        for start in (2, 4, 8)
        for after in (0, 0.02)
    ]
    kills = [Step(at / 10, Kill(at % 2)) for at in range(1, 10)]
    freezes = [Step(at, Freeze(1, FREEZE_S)) for at in (0.25, 0.65)]
    dropped_answers = _change_behaviour(0, '*', drop='after', share=0.02)
    return (dropped_answers, *losses, *outages, *kills, *freezes)


def _commit_changes(services: Services) -> Steps:
    return tuple(Step(at / 10, CommitChange()) for at in range(1, 10, 2))


def _change_behaviour(
    at: float, targets: str | list[str], **changes: object
) -> Step:
    return _control_targets(at, targets, behaviour=changes)


def _change_state(at: float, targets: tuple[str, ...], state: str) -> Step:
    return _control_targets(at, list(targets), state=state)


def _control_targets(
    at: float, targets: str | list[str], **fields: object
) -> Step:
    return Step(at, ControlTargets({'targets': targets, **fields}))


def _name_instances(services: Services, number: int) -> tuple[str, ...]:
    return tuple(f'{service.name}-{number:02}' for service in services)


SCENARIOS: Final = {
    scenario.name: scenario
    for scenario in (
        Scenario('steady', 'nothing goes wrong', _do_nothing),
        Scenario(
            'straggler',
            'two searchers take 20 times as long',
            _slow_two_searchers,
        ),
        Scenario(
            'random-slow', '1% of all runs takes 200 ms more', _slow_some_runs
        ),
        Scenario('often-slow', '5% of all runs do', _slow_more_runs),
        Scenario('heavy-work', 'each run takes 100 ms', _slow_all_runs),
        Scenario('replica-lost', 'an instance of each is lost', _lose_replicas),
        Scenario(
            'rolling-drain', 'instances leave one by one', _drain_instances
        ),
        Scenario('index-change', 'a new snapshot rolls out', _change_index),
        Scenario('repartition', 'five shards more', _repartition),
        Scenario('surge', 'four times the arrivals', _surge_arrivals),
        Scenario('platform-down', 'no platform for a while', _stop_platform),
        Scenario(
            'rolling-restart', 'each host restarts as planned', _restart_hosts
        ),
        Scenario(
            'data-centre-cut', 'one of two is cut off', _cut_data_centre, 2
        ),
        Scenario(
            'refunds',
            'answers are lost, hosts killed, ids sent twice',
            _lose_answers,
            repeat_fraction=0.3,
            only_at_most_once=True,
        ),
        Scenario('config-change', 'five changes are accepted', _commit_changes),
    )
}
