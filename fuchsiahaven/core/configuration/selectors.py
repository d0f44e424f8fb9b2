"""Read label expressions and say which groups a class may reach.

The syntax is the one that operators know from orchestration tools:
`tier=gold,region in (a,b),!cold`. All requirements must hold. `!=` and
`notin` also hold where the key is absent; an empty expression matches all.
"""

import re
from collections.abc import Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import configurations

MAX_EXPRESSION: Final = 4096
MAX_NAME: Final = 63
MAX_PREFIX: Final = 253

_NAME: Final = re.compile('[A-Za-z0-9]([-A-Za-z0-9_.]*[A-Za-z0-9])?')
_PREFIX: Final = re.compile(
    r'[a-z0-9]([-a-z0-9]*[a-z0-9])?(\.[a-z0-9]([-a-z0-9]*[a-z0-9])?)*'
)
# A word runs up to the next character that the syntax uses.
_TOKEN: Final = re.compile(r'\s*(==|!=|[=!,()]|[^\s=!,()]+|\Z)')
_EQUALS: Final = frozenset(('=', '=='))
_SEPARATORS: Final = frozenset((',', ')'))
_SETS: Final = frozenset(('in', 'notin'))
_SYMBOLS: Final = frozenset(('=', '==', '!=', '!', ',', '(', ')', ''))


class Exists(NamedTuple):
    """Require that a label is present."""

    key: str


class Absent(NamedTuple):
    """Require that a label is not present."""

    key: str


class OneOf(NamedTuple):
    """Require that a label is present with one of these values."""

    key: str
    values: frozenset[str]


class NoneOf(NamedTuple):
    """Require that a label is absent or has none of these values."""

    key: str
    values: frozenset[str]


Requirement = Exists | Absent | OneOf | NoneOf


class Expression(NamedTuple):
    """Hold the requirements of one expression; all must hold."""

    requirements: tuple[Requirement, ...]


class Fault(NamedTuple):
    """Say what is wrong with a text and at which offset."""

    position: int
    text: str


class Reached(NamedTuple):
    """Hold a group that a class may reach, and from where else.

    `data_centres` are the other data centres that may serve when the own
    one cannot, in the order in which the selectors name them.
    """

    group: configurations.Group
    data_centres: tuple[str, ...]


class _Token(NamedTuple):
    position: int
    text: str


class _Parsed(NamedTuple):
    requirement: Requirement
    after: int


def parse(text: str) -> Expression | Fault:
    """Parse an expression; a fault names the offset of the first error."""
    if len(text) > MAX_EXPRESSION:
        return Fault(MAX_EXPRESSION, 'the expression is too long')
    tokens = _split(text)
    if not tokens[0].text:
        return Expression(())
    requirements: list[Requirement] = []
    index = 0
    while True:
        parsed = _parse_requirement(tokens, index)
        if isinstance(parsed, Fault):
            return parsed
        requirements.append(parsed.requirement)
        token = tokens[parsed.after]
        if not token.text:
            return Expression(tuple(requirements))
        if token.text != ',':
            return Fault(token.position, 'expected a comma or the end')
        index = parsed.after + 1


def matches(expression: Expression, labels: Mapping[str, str]) -> bool:
    """Tell whether the labels meet every requirement."""
    return all(
        _holds(requirement, labels) for requirement in expression.requirements
    )


def reach(
    configuration: configurations.Configuration, class_name: str
) -> tuple[Reached, ...]:
    """List the groups that any selector of the class matches, by name.

    The result depends on the configuration alone, so a caller keeps it for
    as long as the revision is in force.
    """
    chosen: dict[str, Reached] = {}
    for selector in configuration.selectors:
        if selector.request_class != class_name:
            continue
        expression = parse(selector.expression)
        if isinstance(expression, Fault):
            # Skipping this one selector would leave its groups out of the
            # answer, which would still be told as complete. Changes with
            # such an expression are refused; one can still arrive from a
            # newer release. The class then answers that it has no route.
            return ()
        for group in configuration.groups:
            if matches(expression, dict(group.labels)):
                _add(chosen, group, selector.data_centres)
    return tuple(chosen[name] for name in sorted(chosen))


def reach_groups(
    configuration: configurations.Configuration, class_name: str
) -> tuple[configurations.Group, ...]:
    """List only the groups of `reach`."""
    return tuple(reached.group for reached in reach(configuration, class_name))


def check_key(key: str) -> Fault | None:
    """Check a label key: a name, or a DNS prefix, a slash and a name."""
    prefix, slash, name = key.rpartition('/')
    start = len(prefix) + len(slash)
    if slash and not _fits(_PREFIX, prefix, MAX_PREFIX):
        return Fault(0, 'the key has a malformed prefix')
    if not _fits(_NAME, name, MAX_NAME):
        return Fault(start, 'the key has a malformed name')
    return None


def check_value(text: str) -> Fault | None:
    """Check a label value, which may be empty."""
    if text and not _fits(_NAME, text, MAX_NAME):
        return Fault(0, 'the value is malformed')
    return None


def _fits(pattern: re.Pattern[str], text: str, limit: int) -> bool:
    return len(text) <= limit and pattern.fullmatch(text) is not None


def _add(
    chosen: dict[str, Reached],
    group: configurations.Group,
    data_centres: tuple[str, ...],
) -> None:
    before = chosen.get(group.name)
    known = before.data_centres if before else ()
    added = tuple(name for name in data_centres if name not in known)
    chosen[group.name] = Reached(group, known + added)


def _holds(requirement: Requirement, labels: Mapping[str, str]) -> bool:
    match requirement:
        case Exists(key):
            return key in labels
        case Absent(key):
            return key not in labels
        case OneOf(key, values):
            return labels.get(key) in values
        case NoneOf(key, values):
            return labels.get(key) not in values


def _split(text: str) -> list[_Token]:
    # The pattern matches at every offset, and the end is an empty token.
    tokens: list[_Token] = []
    offset = 0
    while True:
        found = _TOKEN.match(text, offset)
        assert found is not None
        tokens.append(_Token(found.start(1), found.group(1)))
        if not found.group(1):
            return tokens
        offset = found.end()


def _parse_requirement(tokens: list[_Token], index: int) -> _Parsed | Fault:
    if tokens[index].text == '!':
        key = _read_key(tokens[index + 1])
        if isinstance(key, Fault):
            return key
        return _Parsed(Absent(key), index + 2)
    key = _read_key(tokens[index])
    if isinstance(key, Fault):
        return key
    operator = tokens[index + 1].text
    if operator in _EQUALS or operator == '!=':
        return _parse_equality(tokens, index + 1, key)
    if operator in _SETS:
        return _parse_set(tokens, index + 1, key)
    return _Parsed(Exists(key), index + 1)


def _parse_equality(
    tokens: list[_Token], index: int, key: str
) -> _Parsed | Fault:
    value = _read_value(tokens[index + 1])
    if isinstance(value, Fault):
        return value
    after = index + 2 if value else index + 1
    values = frozenset((value,))
    if tokens[index].text in _EQUALS:
        return _Parsed(OneOf(key, values), after)
    return _Parsed(NoneOf(key, values), after)


def _parse_set(tokens: list[_Token], index: int, key: str) -> _Parsed | Fault:
    opening = tokens[index + 1]
    if opening.text != '(':
        return Fault(opening.position, 'expected an opening bracket')
    values: set[str] = set()
    after = index + 1
    while tokens[after].text != ')':
        value = _read_value(tokens[after + 1])
        if isinstance(value, Fault):
            return value
        values.add(value)
        after += 2 if value else 1
        if tokens[after].text not in _SEPARATORS:
            return Fault(
                tokens[after].position, 'expected a comma or a bracket'
            )
    if tokens[index].text == 'in':
        return _Parsed(OneOf(key, frozenset(values)), after + 1)
    return _Parsed(NoneOf(key, frozenset(values)), after + 1)


def _read_key(token: _Token) -> str | Fault:
    if token.text in _SYMBOLS:
        return Fault(token.position, 'expected a label key')
    fault = check_key(token.text)
    if fault is not None:
        return fault._replace(position=token.position + fault.position)
    return token.text


def _read_value(token: _Token) -> str | Fault:
    # A missing value is the empty one, as in `tier=` and `tier in ()`.
    if token.text in _SYMBOLS:
        return ''
    fault = check_value(token.text)
    if fault is not None:
        return fault._replace(position=token.position)
    return token.text
