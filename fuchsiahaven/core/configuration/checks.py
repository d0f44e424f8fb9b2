"""Check what a configuration means: who is reached, and by what policy.

The shape of names and values is checked in `shapes`; here the parts are
looked at together. A change is held to what it makes worse, never to what
was so before, or one old problem would block every repair.
"""

import collections
from collections.abc import Iterable, Iterator, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import configurations, parts, selectors
from fuchsiahaven.core.customers import customers

#: An at-most-once request may reach one group: each one it reaches runs it.
ONE_GROUP: Final = 1


#: How many live targets each group has in each data centre.
Live = Mapping[str, Mapping[str, int]]


class Problem(NamedTuple):
    """Tell one problem; `forceable` where an operator may mean it."""

    text: str
    forceable: bool = False


def find_new_problems(
    before: configurations.Configuration,
    after: configurations.Configuration,
    kept: parts.Parts,
) -> tuple[Problem, ...]:
    """List the problems that a change brings in, in a steady order.

    Targets that were not read count by what `kept` says of their parts.
    """
    old = frozenset(find_problems(before, kept))
    new = [found for found in find_problems(after, kept) if found not in old]
    # A new class has no selector yet; only losing the last one is news.
    lost = _list_served(before) - _list_served(after)
    for policy in after.classes:
        if policy.name in lost:
            text = f'class {policy.name} is left without a selector'
            new.append(Problem(text, forceable=True))
    if before.customers and not after.customers:
        text = 'no customer is left: no class asks for a key any more'
        new.append(Problem(text, forceable=True))
    return tuple(new)


def find_problems(
    configuration: configurations.Configuration,
    kept: parts.Parts,
) -> Iterator[Problem]:
    """Find what is wrong with a configuration of valid shape."""
    yield from _check_targets(configuration.groups)
    for one, other in customers.find_shared(configuration.customers):
        yield Problem(f'customers {one} and {other} hold one key')
    for policy in configuration.classes:
        if policy.repeat is configurations.Repeat.AT_MOST_ONCE:
            yield from _check_policy(policy)
            yield from _check_runs(configuration, policy)
    live = _count_live(configuration, kept)
    names = {each.name for each in configuration.classes}
    for selector in configuration.selectors:
        if selector.request_class not in names:
            yield Problem(
                f'selector {selector.name}: '
                f'there is no class {selector.request_class}'
            )
        yield from _check_selector(selector, configuration.groups, live)


def _list_served(
    configuration: configurations.Configuration,
) -> set[str]:
    return {selector.request_class for selector in configuration.selectors}


def _check_selector(
    selector: configurations.Selector,
    groups: tuple[configurations.Group, ...],
    live: Live,
) -> Iterator[Problem]:
    expression = selectors.parse(selector.expression)
    if isinstance(expression, selectors.Fault):
        yield Problem(
            f'selector {selector.name}: {expression.text} '
            f'at offset {expression.position} of {selector.expression!r}'
        )
        return
    reached = [
        group.name
        for group in groups
        if selectors.matches(expression, dict(group.labels))
    ]
    if not reached:
        text = f'selector {selector.name} reaches no group'
        yield Problem(text, forceable=True)
    everywhere = {centre for counts in live.values() for centre in counts}
    for lender in selector.data_centres:
        if lender not in everywhere:
            text = f'selector {selector.name}: no target is in {lender}'
            yield Problem(text, forceable=True)
    for name in reached:
        yield from _check_reach(selector, name, live[name], everywhere)


def _check_reach(
    selector: configurations.Selector,
    group: str,
    live: Mapping[str, int],
    everywhere: set[str],
) -> Iterator[Problem]:
    """Find data centres whose callers could get nothing from a group."""
    if any(lender in live for lender in selector.data_centres):
        return
    for centre in sorted(everywhere - live.keys()):
        text = (
            f'selector {selector.name} reaches group {group}, '
            f'which has no live target in {centre}'
        )
        yield Problem(text, forceable=True)


def _check_targets(
    groups: tuple[configurations.Group, ...],
) -> Iterator[Problem]:
    """Find targets that share a name or an address.

    Caps are counted by target, so one behind two names would be given twice
    the connections that it takes.
    """
    targets = [target for group in groups for target in group.targets]
    for name in _find_twice(target.name for target in targets):
        yield Problem(f'target {name} is in two groups')
    for address in _find_twice(target.address for target in targets):
        yield Problem(f'two targets have the address {address}')


def _check_policy(policy: configurations.RequestClass) -> Iterator[Problem]:
    """Find policies that would run a request twice, or a part of it."""
    head = f'class {policy.name} runs at most once, so'
    if policy.fan_out is not configurations.FanOut.KEYED:
        yield Problem(f'{head} fan_out must be keyed')
    if policy.needs is not configurations.Needs.COMPLETE:
        yield Problem(f'{head} needs must be complete')
    if policy.hedge_share:
        yield Problem(f'{head} hedge_share must be 0')


def _check_runs(
    configuration: configurations.Configuration,
    policy: configurations.RequestClass,
) -> Iterator[Problem]:
    reached = selectors.reach_groups(configuration, policy.name)
    if len(reached) > ONE_GROUP:
        names = ', '.join(group.name for group in reached)
        yield Problem(
            f'class {policy.name} runs at most once, so it may reach '
            f'one group, not {names}'
        )


def _count_live(
    configuration: configurations.Configuration, kept: parts.Parts
) -> Live:
    live: dict[str, dict[str, int]] = {
        group.name: {} for group in configuration.groups
    }
    unread = ((place, part) for place, part in kept.items() if part.unread)
    for place, part in (*unread, *parts.split(configuration)):
        count = parts.count_live(part)
        if count and place[0] in live:
            live[place[0]][place[1]] = count
    return live


def _find_twice(names: Iterable[str]) -> list[str]:
    counts = collections.Counter(names)
    return sorted(name for name, count in counts.items() if count > 1)
