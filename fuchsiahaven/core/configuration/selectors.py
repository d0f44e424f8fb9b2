"""Parse label expressions and list the groups that a class may reach.

The syntax is that of label selectors in orchestration tools:
`tier=gold,region in (a,b),!cold`. All requirements must be met. `!=` and
`notin` are also met if the key is absent; an empty expression matches all.
"""

import re
from collections.abc import Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import configurations

MAX_EXPRESSION_LENGTH: Final = 4096
MAX_NAME_LENGTH: Final = 63
MAX_PREFIX_LENGTH: Final = 253

_NAME: Final = re.compile('[A-Za-z0-9]([-A-Za-z0-9_.]*[A-Za-z0-9])?')
_PREFIX: Final = re.compile(
    r'[a-z0-9]([-a-z0-9]*[a-z0-9])?(\.[a-z0-9]([-a-z0-9]*[a-z0-9])?)*'
)
# A key or value extends to the next symbol or white space.
_TOKEN: Final = re.compile(r'\s*(==|!=|[=!,()]|[^\s=!,()]+|\Z)')
_EQUAL_OPERATORS: Final = frozenset(('=', '=='))
_VALUE_SEPARATORS: Final = frozenset((',', ')'))
_SET_OPERATORS: Final = frozenset(('in', 'notin'))
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
    """Hold the requirements of one expression, all of which must be met."""

    requirements: tuple[Requirement, ...]


class SyntaxFault(NamedTuple):
    """Describe a syntax error and its offset in the text."""

    offset: int
    text: str


class ReachableGroup(NamedTuple):
    """Hold a group that a class may reach, and its fallbacks.

    `data_centres` are the other data centres that may serve if the own one
    cannot, in the order in which the selectors name them.
    """

    group: configurations.Group
    data_centres: tuple[str, ...]


class _Token(NamedTuple):
    offset: int
    text: str


class _Parsed(NamedTuple):
    requirement: Requirement
    next_index: int


def parse(text: str) -> Expression | SyntaxFault:
    """Parse an expression; return the first error as a fault."""
    if len(text) > MAX_EXPRESSION_LENGTH:
        return SyntaxFault(MAX_EXPRESSION_LENGTH, 'the expression is too long')
    tokens = _tokenize(text)
    if not tokens[0].text:
        return Expression(())
    requirements: list[Requirement] = []
    index = 0
    while True:
        parsed = _parse_requirement(tokens, index)
        if isinstance(parsed, SyntaxFault):
            return parsed
        requirements.append(parsed.requirement)
        token = tokens[parsed.next_index]
        if not token.text:
            return Expression(tuple(requirements))
        if token.text != ',':
            return SyntaxFault(token.offset, 'expected a comma or the end')
        index = parsed.next_index + 1


def matches(expression: Expression, labels: Mapping[str, str]) -> bool:
    """Return whether the labels meet every requirement."""
    return all(
        _is_met(requirement, labels) for requirement in expression.requirements
    )


def list_reachable(
    configuration: configurations.Configuration, class_name: str
) -> tuple[ReachableGroup, ...]:
    """List the groups that any selector of the class matches, by name.

    The result depends only on the configuration, so callers may cache it
    while the revision is in force.
    """
    reachable: dict[str, ReachableGroup] = {}
    for selector in configuration.selectors:
        if selector.request_class != class_name:
            continue
        expression = parse(selector.expression)
        if isinstance(expression, SyntaxFault):
            # Skipping this selector would omit its groups from answers that
            # are still reported as complete. Changes with such an expression
            # are refused, but a newer release may have accepted it. The
            # class then has no route, and requests fail.
            return ()
        for group in configuration.groups:
            if matches(expression, dict(group.labels)):
                _add_reachable(reachable, group, selector.data_centres)
    return tuple(reachable[name] for name in sorted(reachable))


def list_reachable_groups(
    configuration: configurations.Configuration, class_name: str
) -> tuple[configurations.Group, ...]:
    """List the groups of `list_reachable` without their fallbacks."""
    return tuple(
        reachable.group
        for reachable in list_reachable(configuration, class_name)
    )


def find_key_fault(key: str) -> SyntaxFault | None:
    """Check a label key: a name, or a DNS prefix, a slash and a name."""
    prefix, slash, name = key.rpartition('/')
    start = len(prefix) + len(slash)
    if slash and not _is_valid_name(_PREFIX, prefix, MAX_PREFIX_LENGTH):
        return SyntaxFault(0, 'the key has a malformed prefix')
    if not _is_valid_name(_NAME, name, MAX_NAME_LENGTH):
        return SyntaxFault(start, 'the key has a malformed name')
    return None


def find_value_fault(text: str) -> SyntaxFault | None:
    """Check a label value, which may be empty."""
    if text and not _is_valid_name(_NAME, text, MAX_NAME_LENGTH):
        return SyntaxFault(0, 'the value is malformed')
    return None


def _is_valid_name(
    pattern: re.Pattern[str], text: str, max_length: int
) -> bool:
    return len(text) <= max_length and pattern.fullmatch(text) is not None


def _add_reachable(
    reachable: dict[str, ReachableGroup],
    group: configurations.Group,
    data_centres: tuple[str, ...],
) -> None:
    before = reachable.get(group.name)
    known_centres = before.data_centres if before else ()
    added_centres = tuple(
        name for name in data_centres if name not in known_centres
    )
    reachable[group.name] = ReachableGroup(group, known_centres + added_centres)


def _is_met(requirement: Requirement, labels: Mapping[str, str]) -> bool:
    match requirement:
        case Exists(key):
            return key in labels
        case Absent(key):
            return key not in labels
        case OneOf(key, values):
            return labels.get(key) in values
        case NoneOf(key, values):
            return labels.get(key) not in values


def _tokenize(text: str) -> list[_Token]:
    # The pattern matches at every offset; an empty token marks the end.
    tokens: list[_Token] = []
    offset = 0
    while True:
        match = _TOKEN.match(text, offset)
        assert match is not None
        tokens.append(_Token(match.start(1), match.group(1)))
        if not match.group(1):
            return tokens
        offset = match.end()


def _parse_requirement(
    tokens: list[_Token], index: int
) -> _Parsed | SyntaxFault:
    if tokens[index].text == '!':
        key = _parse_key(tokens[index + 1])
        if isinstance(key, SyntaxFault):
            return key
        return _Parsed(Absent(key), index + 2)
    key = _parse_key(tokens[index])
    if isinstance(key, SyntaxFault):
        return key
    operator = tokens[index + 1].text
    if operator in _EQUAL_OPERATORS or operator == '!=':
        return _parse_equality(tokens, index + 1, key)
    if operator in _SET_OPERATORS:
        return _parse_set(tokens, index + 1, key)
    return _Parsed(Exists(key), index + 1)


def _parse_equality(
    tokens: list[_Token], index: int, key: str
) -> _Parsed | SyntaxFault:
    value = _parse_value(tokens[index + 1])
    if isinstance(value, SyntaxFault):
        return value
    next_index = index + 2 if value else index + 1
    values = frozenset((value,))
    if tokens[index].text in _EQUAL_OPERATORS:
        return _Parsed(OneOf(key, values), next_index)
    return _Parsed(NoneOf(key, values), next_index)


def _parse_set(
    tokens: list[_Token], index: int, key: str
) -> _Parsed | SyntaxFault:
    opening = tokens[index + 1]
    if opening.text != '(':
        return SyntaxFault(opening.offset, 'expected an opening bracket')
    values: set[str] = set()
    next_index = index + 1
    while tokens[next_index].text != ')':
        value = _parse_value(tokens[next_index + 1])
        if isinstance(value, SyntaxFault):
            return value
        values.add(value)
        next_index += 2 if value else 1
        if tokens[next_index].text not in _VALUE_SEPARATORS:
            return SyntaxFault(
                tokens[next_index].offset, 'expected a comma or a bracket'
            )
    if tokens[index].text == 'in':
        return _Parsed(OneOf(key, frozenset(values)), next_index + 1)
    return _Parsed(NoneOf(key, frozenset(values)), next_index + 1)


def _parse_key(token: _Token) -> str | SyntaxFault:
    if token.text in _SYMBOLS:
        return SyntaxFault(token.offset, 'expected a label key')
    fault = find_key_fault(token.text)
    if fault is not None:
        return fault._replace(offset=token.offset + fault.offset)
    return token.text


def _parse_value(token: _Token) -> str | SyntaxFault:
    # A missing value stands for the empty one, as in `tier=`, `tier in ()`.
    if token.text in _SYMBOLS:
        return ''
    fault = find_value_fault(token.text)
    if fault is not None:
        return fault._replace(offset=token.offset)
    return token.text
