"""Check a configuration as a whole: reachability and request policies.

`tree_validation` checks the form of single names and values; this module
checks how they fit together. A change is refused only for problems that it
introduces; otherwise one old problem would block every repair.
"""

import collections
from collections.abc import Iterable, Iterator, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import configurations, parts, selectors
from fuchsiahaven.core.customers import customers

#: A class that runs at most once may reach one group only, since each group
#: that a request reaches runs it.
MAX_AT_MOST_ONCE_GROUPS: Final = 1


#: The number of live targets, by group and data centre.
LiveCounts = Mapping[str, Mapping[str, int]]


class Problem(NamedTuple):
    """Describe one problem; an operator may override a `forceable` one."""

    text: str
    forceable: bool = False


def find_new_problems(
    before: configurations.Configuration,
    after: configurations.Configuration,
    stored_parts: parts.Parts,
) -> tuple[Problem, ...]:
    """List the problems that a change introduces, in a deterministic order.

    Targets that were not read are counted from `stored_parts`.
    """
    old = frozenset(find_problems(before, stored_parts))
    new = [
        problem
        for problem in find_problems(after, stored_parts)
        if problem not in old
    ]
    # A new class has no selector yet, so only the loss of the last selector
    # of a class is a problem.
    unselected = _list_selected_classes(before) - _list_selected_classes(after)
    for request_class in after.classes:
        if request_class.name in unselected:
            text = f'class {request_class.name} is left without a selector'
            new.append(Problem(text, forceable=True))
    if before.customers and not after.customers:
        text = 'no customer is left: no class asks for a key any more'
        new.append(Problem(text, forceable=True))
    return tuple(new)


def find_problems(
    configuration: configurations.Configuration,
    stored_parts: parts.Parts,
) -> Iterator[Problem]:
    """Yield the problems of a configuration that passed validation."""
    yield from _check_targets(configuration.groups)
    for one, other in customers.find_shared_keys(configuration.customers):
        yield Problem(f'customers {one} and {other} hold one key')
    for request_class in configuration.classes:
        if request_class.repeat is configurations.Repeat.AT_MOST_ONCE:
            yield from _check_at_most_once(request_class)
            yield from _check_single_group(configuration, request_class)
    live = _count_live(configuration, stored_parts)
    class_names = {known_class.name for known_class in configuration.classes}
    for selector in configuration.selectors:
        if selector.request_class not in class_names:
            yield Problem(
                f'selector {selector.name}: '
                f'there is no class {selector.request_class}'
            )
        yield from _check_selector(selector, configuration.groups, live)


def _list_selected_classes(
    configuration: configurations.Configuration,
) -> set[str]:
    return {selector.request_class for selector in configuration.selectors}


def _check_selector(
    selector: configurations.Selector,
    groups: tuple[configurations.Group, ...],
    live: LiveCounts,
) -> Iterator[Problem]:
    expression = selectors.parse(selector.expression)
    if isinstance(expression, selectors.SyntaxFault):
        yield Problem(
            f'selector {selector.name}: {expression.text} '
            f'at offset {expression.offset} of {selector.expression!r}'
        )
        return
    matched = [
        group.name
        for group in groups
        if selectors.matches(expression, dict(group.labels))
    ]
    if not matched:
        text = f'selector {selector.name} reaches no group'
        yield Problem(text, forceable=True)
    all_centres = {centre for counts in live.values() for centre in counts}
    for fallback in selector.data_centres:
        if fallback not in all_centres:
            text = f'selector {selector.name}: no target is in {fallback}'
            yield Problem(text, forceable=True)
    for name in matched:
        yield from _check_data_centres(selector, name, live[name], all_centres)


def _check_data_centres(
    selector: configurations.Selector,
    group: str,
    live: Mapping[str, int],
    all_centres: set[str],
) -> Iterator[Problem]:
    """Find data centres whose callers could reach no target of a group."""
    if any(fallback in live for fallback in selector.data_centres):
        return
    for centre in sorted(all_centres - live.keys()):
        text = (
            f'selector {selector.name} reaches group {group}, '
            f'which has no live target in {centre}'
        )
        yield Problem(text, forceable=True)


def _check_targets(
    groups: tuple[configurations.Group, ...],
) -> Iterator[Problem]:
    """Find targets that share a name or an address.

    Limits are enforced by target name, so a target with two names would get
    twice the connections that it accepts.
    """
    targets = [target for group in groups for target in group.targets]
    for name in _find_duplicates(target.name for target in targets):
        yield Problem(f'target {name} is in two groups')
    for address in _find_duplicates(target.address for target in targets):
        yield Problem(f'two targets have the address {address}')


def _check_at_most_once(
    request_class: configurations.RequestClass,
) -> Iterator[Problem]:
    """Find policies that could run a request twice or only in part."""
    prefix = f'class {request_class.name} runs at most once, so'
    if request_class.fan_out is not configurations.FanOut.KEYED:
        yield Problem(f'{prefix} fan_out must be keyed')
    if request_class.needs is not configurations.Needs.COMPLETE:
        yield Problem(f'{prefix} needs must be complete')
    if request_class.hedge_share:
        yield Problem(f'{prefix} hedge_share must be 0')


def _check_single_group(
    configuration: configurations.Configuration,
    request_class: configurations.RequestClass,
) -> Iterator[Problem]:
    reached = selectors.list_reachable_groups(configuration, request_class.name)
    if len(reached) > MAX_AT_MOST_ONCE_GROUPS:
        names = ', '.join(group.name for group in reached)
        yield Problem(
            f'class {request_class.name} runs at most once, so it may reach '
            f'one group, not {names}'
        )


def _count_live(
    configuration: configurations.Configuration, stored_parts: parts.Parts
) -> LiveCounts:
    live: dict[str, dict[str, int]] = {
        group.name: {} for group in configuration.groups
    }
    unread_parts = (
        (part_id, part)
        for part_id, part in stored_parts.items()
        if part.unread_count
    )
    for part_id, part in (
        *unread_parts,
        *parts.split_configuration(configuration),
    ):
        count = parts.count_live(part)
        if count and part_id[0] in live:
            live[part_id[0]][part_id[1]] = count
    return live


def _find_duplicates(names: Iterable[str]) -> list[str]:
    counts = collections.Counter(names)
    return sorted(name for name, count in counts.items() if count > 1)
