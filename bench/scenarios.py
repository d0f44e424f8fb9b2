"""Name the scenarios: what goes wrong, and when.

Times are shares of the measured run, so that a scenario fits any length.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from standins import layouts, wire

STRAGGLE: Final = 20
SLOW_SHARE: Final = 0.01
OFTEN_SLOW_SHARE: Final = 0.05
# So slow that the searchers, and not the hosts' processors, set the limit.
SLOW_MEDIAN_MS: Final = 100.0
FREEZE_S: Final = 1.5
SURGE: Final = 4.0
NEXT_SNAPSHOT: Final = layouts.FIRST_SNAPSHOT + 1


class TargetOrder(NamedTuple):
    """Tell the targets' stand-ins something."""

    body: wire.Json


class PlatformOrder(NamedTuple):
    """Tell the platform's stand-in something."""

    body: wire.Json


class Leave(NamedTuple):
    """Let instances leave, and the host list say so later."""

    instances: tuple[str, ...]


class CutCentre(NamedTuple):
    """Cut the last data centre off from the platform, or join it again."""

    cut: bool


class Surge(NamedTuple):
    """Multiply the arrivals."""

    factor: float


class Restart(NamedTuple):
    """Stop one host as planned and start it again."""

    host: int


class Kill(NamedTuple):
    """End one host at once and start it again."""

    host: int


class Freeze(NamedTuple):
    """Let one host stand still for a while."""

    host: int
    seconds: float


class Change(NamedTuple):
    """Accept the next revision of the configuration."""


Action = (
    TargetOrder
    | PlatformOrder
    | Leave
    | CutCentre
    | Surge
    | Restart
    | Kill
    | Freeze
    | Change
)


class Step(NamedTuple):
    """Hold one action and when it comes, as a share of the run."""

    at: float
    action: Action


Steps = tuple[Step, ...]
Services = tuple[layouts.Service, ...]


class Scenario(NamedTuple):
    """Hold one scenario; `repeats` is the share of ids asked for twice."""

    name: str
    summary: str
    make_steps: Callable[[Services], Steps]
    data_centres: int = 1
    repeats: float = 0.0
    only_at_most_once: bool = False


def _wait(services: Services) -> Steps:
    return ()


def _straggle(services: Services) -> Steps:
    names = [f'{service.name}-07/0' for service in services[:2]]
    return (_behave(0.1, names, straggle=STRAGGLE),)


def _slow_down(services: Services) -> Steps:
    return (_behave(0, '*', slow_share=SLOW_SHARE),)


def _slow_down_often(services: Services) -> Steps:
    return (_behave(0, '*', slow_share=OFTEN_SLOW_SHARE),)


def _fill(services: Services) -> Steps:
    return (_behave(0, '*', median_ms=SLOW_MEDIAN_MS),)


def _lose_replicas(services: Services) -> Steps:
    names = _name_instances(services, 1)
    return (_enter(0.3, names, 'dead'), _enter(0.7, names, 'cold'))


def _drain(services: Services) -> Steps:
    steps: list[Step] = []
    # One at a time: neighbours hold the two replicas of one shard.
    for start, number in ((0.05, 1), (0.55, 2)):
        names = _name_instances(services, number)
        steps.append(Step(start, Leave(names)))
        steps.append(_enter(start + 0.25, names, 'dead'))
        steps.append(_enter(start + 0.3, names, 'cold'))
    return tuple(steps)


def _change_index(services: Services) -> Steps:
    # The new snapshot comes instance by instance while the old one stands.
    first = services[0]
    rolling = (
        _order(
            0.2 + 0.3 * number / first.instances,
            [f'{service.name}-{number:02}' for service in services],
            add_snapshot=NEXT_SNAPSHOT,
        )
        for number in range(max(one.instances for one in services))
    )
    return (*rolling, _order(0.8, '*', drop_snapshot=layouts.FIRST_SNAPSHOT))


def _repartition(services: Services) -> Steps:
    name = services[0].name
    shards = services[0].shards + 5
    old = layouts.FIRST_SNAPSHOT
    return (
        _order(0.3, name, add_snapshot=NEXT_SNAPSHOT, shards=shards),
        _order(0.5, name, drop_snapshot=old),
    )


def _surge(services: Services) -> Steps:
    return Step(0.3, Surge(SURGE)), Step(0.6, Surge(1))


def _stop_platform(services: Services) -> Steps:
    down, up = PlatformOrder({'down': True}), PlatformOrder({'down': False})
    return Step(0.3, down), Step(0.7, up)


def _restart(services: Services) -> Steps:
    return Step(0.1, Restart(0)), Step(0.6, Restart(1))


def _cut_centre(services: Services) -> Steps:
    return (
        Step(0.2, CutCentre(cut=True)),
        Step(0.4, Change()),
        Step(0.7, CutCentre(cut=False)),
    )


def _lose_answers(services: Services) -> Steps:
    lost = PlatformOrder({'lose_writes': 2})
    losses = [Step(at / 100, lost) for at in range(1, 100, 2)]
    downs = [
        Step(start / 10 + after, PlatformOrder({'down': not after}))
        for start in (2, 4, 8)
        for after in (0, 0.02)
    ]
    kills = [Step(at / 10, Kill(at % 2)) for at in range(1, 10)]
    stills = [Step(at, Freeze(1, FREEZE_S)) for at in (0.25, 0.65)]
    dropped = _behave(0, '*', drop='after', share=0.02)
    return (dropped, *losses, *downs, *kills, *stills)


def _change(services: Services) -> Steps:
    return tuple(Step(at / 10, Change()) for at in range(1, 10, 2))


def _behave(at: float, targets: str | list[str], **changes: object) -> Step:
    return _order(at, targets, behaviour=changes)


def _enter(at: float, targets: tuple[str, ...], state: str) -> Step:
    return _order(at, list(targets), state=state)


def _order(at: float, targets: str | list[str], **fields: object) -> Step:
    return Step(at, TargetOrder({'targets': targets, **fields}))


def _name_instances(services: Services, number: int) -> tuple[str, ...]:
    return tuple(f'{service.name}-{number:02}' for service in services)


SCENARIOS: Final = {
    scenario.name: scenario
    for scenario in (
        Scenario('steady', 'nothing goes wrong', _wait),
        Scenario('straggler', 'two searchers take 20 times as long', _straggle),
        Scenario('random-slow', '1% of all runs takes 200 ms more', _slow_down),
        Scenario('often-slow', '5% of all runs do', _slow_down_often),
        Scenario('heavy-work', 'each run takes 100 ms', _fill),
        Scenario('replica-lost', 'an instance of each is lost', _lose_replicas),
        Scenario('rolling-drain', 'instances leave one by one', _drain),
        Scenario('index-change', 'a new snapshot rolls out', _change_index),
        Scenario('repartition', 'five shards more', _repartition),
        Scenario('surge', 'four times the arrivals', _surge),
        Scenario('platform-down', 'no platform for a while', _stop_platform),
        Scenario('rolling-restart', 'each host restarts as planned', _restart),
        Scenario('data-centre-cut', 'one of two is cut off', _cut_centre, 2),
        Scenario(
            'refunds',
            'answers are lost, hosts killed, ids asked for twice',
            _lose_answers,
            repeats=0.3,
            only_at_most_once=True,
        ),
        Scenario('config-change', 'five changes are accepted', _change),
    )
}
