"""Parse values of the command line: labels, targets and fields."""

import argparse
import math
import re
from collections.abc import Iterable, Mapping
from typing import Any, Final

from fuchsiahaven.core.configuration import configurations

Pairs = tuple[tuple[str, Any], ...]

#: A range of numbers, as in shells.
RANGE_PATTERN: Final = re.compile(r'\{([0-9]{1,9})\.\.([0-9]{1,9})\}')
#: Names that one text with ranges may expand to.
MAX_EXPANDED_NAMES: Final = 10_000

#: Fields of groups, classes and customers, with their types.
CAP_FIELDS: Final[Mapping[str, type]] = {
    'slots': int,
    'connections': int,
    'connect_ms': float,
}
CLASS_FIELDS: Final[Mapping[str, type]] = {
    'deadline_ms': int,
    'needs': str,
    'repeat': str,
    'fan_out': str,
    'priority': int,
    'hedge_share': float,
    'retry_share': float,
    'public': bool,
}
CUSTOMER_FIELDS: Final[Mapping[str, type]] = {
    'priority': int,
    'rate': float,
    'burst': float,
}
#: Value for a customer whose requests have the priority of their class.
NO_PRIORITY: Final = 'none'
#: What is expected of values that are not floating-point numbers.
EXPECTED_BY_TYPE: Final[Mapping[type, str]] = {
    int: 'a whole number',
    bool: 'yes or no',
}
BOOLEANS: Final = {'yes': True, 'true': True, 'no': False, 'false': False}


def parse_pair(text: str) -> tuple[str, str]:
    """Parse `NAME=VALUE`. Raises argparse.ArgumentTypeError."""
    name, equals, value = text.partition('=')
    if not (name and equals):
        raise argparse.ArgumentTypeError(f'expected NAME=VALUE, not {text!r}')
    return name.strip(), value.strip()


def parse_labels(
    operands: Iterable[str],
) -> tuple[tuple[tuple[str, str], ...], tuple[str, ...]]:
    """Parse `key=value` as a label to set and `key-` as one to remove.

    Raises argparse.ArgumentTypeError.
    """
    texts = tuple(operands)
    removed = tuple(
        text[:-1] for text in texts if text.endswith('-') and '=' not in text
    )
    labels = [
        parse_pair(text)
        for text in texts
        if '=' in text or not text.endswith('-')
    ]
    return tuple(labels), removed


def parse_fields(
    pairs: Iterable[tuple[str, str]], field_types: Mapping[str, type]
) -> Pairs:
    """Parse the values of fields. Raises argparse.ArgumentTypeError."""
    return tuple(
        (name, parse_field(name, it, field_types)) for name, it in pairs
    )


def parse_field(name: str, text: str, field_types: Mapping[str, type]) -> Any:
    """Parse the value of one field. Raises argparse.ArgumentTypeError."""
    value_type = field_types.get(name)
    if value_type is None:
        names = ', '.join(field_types)
        raise argparse.ArgumentTypeError(f'no field {name}; known: {names}')
    try:
        return _parse_value(text, value_type)
    except ValueError:
        expected = EXPECTED_BY_TYPE.get(value_type, 'a number')
        raise argparse.ArgumentTypeError(
            f'{name}: expected {expected}, not {text!r}'
        ) from None


def parse_customer_fields(pairs: Iterable[tuple[str, str]]) -> Pairs:
    """Parse fields of a customer; `none` removes its priority.

    Raises argparse.ArgumentTypeError.
    """
    return tuple(
        (name, None)
        if (name, text) == ('priority', NO_PRIORITY)
        else (name, parse_field(name, text, CUSTOMER_FIELDS))
        for name, text in pairs
    )


def _parse_value(text: str, value_type: type) -> Any:
    if value_type is bool:
        if text.lower() not in BOOLEANS:
            raise ValueError(text)
        return BOOLEANS[text.lower()]
    parsed = value_type(text)
    if isinstance(parsed, float) and not math.isfinite(parsed):
        # Python parses "nan", which passes every check of bounds: a hedge
        # share of NaN would leave hedges without a limit.
        raise ValueError(text)
    return parsed


def parse_names(text: str) -> tuple[str, ...]:
    """Parse names separated by commas or spaces."""
    return tuple(text.replace(',', ' ').split())


def parse_targets(
    pairs: Iterable[tuple[str, str]], data_centre: str
) -> tuple[configurations.Target, ...]:
    """Parse the targets of one data centre, with ranges expanded."""
    return tuple(
        configurations.Target(name, address, data_centre)
        for names, address_range in pairs
        for name, address in expand_pair(names, address_range)
    )


def expand_pair(names: str, addresses: str) -> list[tuple[str, str]]:
    """Expand `a-{01..02}=10.0.0.{1..2}:80` into pairs of name and address.

    Raises argparse.ArgumentTypeError where the counts differ.
    """
    left, right = expand_ranges(names), expand_ranges(addresses)
    if len(left) != len(right):
        raise argparse.ArgumentTypeError(
            f'{names} is {len(left)} names, '
            f'{addresses} is {len(right)} addresses'
        )
    return list(zip(left, right, strict=True))


def expand_ranges(text: str) -> list[str]:
    """Expand each range `{first..last}`; the last range varies fastest.

    Leading zeros of the first number set the width, as in shells. Raises
    argparse.ArgumentTypeError for a malformed, empty or too long range.
    """
    match = RANGE_PATTERN.search(text)
    if match is None:
        if '{' in text:
            raise argparse.ArgumentTypeError(f'expected {{1..20}} in {text!r}')
        return [text]
    first, last = match.groups()
    numbers = range(int(first), int(last) + 1)
    tails = expand_ranges(text[match.end() :])
    if not 0 < len(numbers) * len(tails) <= MAX_EXPANDED_NAMES:
        raise argparse.ArgumentTypeError(f'{text!r} has a range out of bounds')
    head = text[: match.start()]
    heads = [f'{head}{str(it).zfill(len(first))}' for it in numbers]
    return [f'{start}{end}' for start in heads for end in tails]
