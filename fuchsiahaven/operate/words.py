"""Read what operators type: labels, targets, fields and their values."""

import argparse
import math
import re
from collections.abc import Iterable, Mapping
from typing import Any, Final

from fuchsiahaven.core.configuration import configurations

Pairs = tuple[tuple[str, Any], ...]

#: A range of numbers, as in shells.
RANGE: Final = re.compile(r'\{([0-9]{1,9})\.\.([0-9]{1,9})\}')
#: One range may stand for this many targets.
MAX_EXPANDED: Final = 10_000

#: Fields of a group's caps and of a class's policy, with how to read them.
CAPS: Final[Mapping[str, type]] = {
    'slots': int,
    'connections': int,
    'connect_ms': float,
}
POLICY: Final[Mapping[str, type]] = {
    'deadline_ms': int,
    'needs': str,
    'repeat': str,
    'fan_out': str,
    'priority': int,
    'hedge_share': float,
    'retry_share': float,
    'public': bool,
}
CUSTOMER: Final[Mapping[str, type]] = {
    'priority': int,
    'rate': float,
    'burst': float,
}
#: Priority of a customer whose requests go by that of their class.
NO_PRIORITY: Final = 'none'
#: What is expected of values that are no numbers with a point.
KINDS: Final[Mapping[type, str]] = {int: 'a whole number', bool: 'yes or no'}
TRUTHS: Final = {'yes': True, 'true': True, 'no': False, 'false': False}


def split_pair(text: str) -> tuple[str, str]:
    """Read `NAME=VALUE`. Raises argparse.ArgumentTypeError."""
    name, equals, told = text.partition('=')
    if not (name and equals):
        raise argparse.ArgumentTypeError(f'expected NAME=VALUE, not {text!r}')
    return name.strip(), told.strip()


def split_labels(
    words: Iterable[str],
) -> tuple[tuple[tuple[str, str], ...], tuple[str, ...]]:
    """Read `key=value` as a label to set and `key-` as one to remove.

    Raises argparse.ArgumentTypeError.
    """
    texts = tuple(words)
    removed = tuple(
        text[:-1] for text in texts if text.endswith('-') and '=' not in text
    )
    labels = [
        split_pair(text)
        for text in texts
        if '=' in text or not text.endswith('-')
    ]
    return tuple(labels), removed


def read_fields(
    pairs: Iterable[tuple[str, str]], known: Mapping[str, type]
) -> Pairs:
    """Read values of known fields. Raises argparse.ArgumentTypeError."""
    return tuple((name, read_field(name, it, known)) for name, it in pairs)


def read_field(name: str, text: str, known: Mapping[str, type]) -> Any:
    """Read the value of one field. Raises argparse.ArgumentTypeError."""
    kind = known.get(name)
    if kind is None:
        names = ', '.join(known)
        raise argparse.ArgumentTypeError(f'no field {name}; known: {names}')
    try:
        return _read_value(text, kind)
    except ValueError:
        what = KINDS.get(kind, 'a number')
        raise argparse.ArgumentTypeError(
            f'{name}: expected {what}, not {text!r}'
        ) from None


def read_customer(pairs: Iterable[tuple[str, str]]) -> Pairs:
    """Read fields of a customer; a priority may be taken away by `none`.

    Raises argparse.ArgumentTypeError.
    """
    return tuple(
        (name, None)
        if (name, text) == ('priority', NO_PRIORITY)
        else (name, read_field(name, text, CUSTOMER))
        for name, text in pairs
    )


def _read_value(text: str, kind: type) -> Any:
    if kind is bool:
        if text.lower() not in TRUTHS:
            raise ValueError(text)
        return TRUTHS[text.lower()]
    found = kind(text)
    if isinstance(found, float) and not math.isfinite(found):
        # Python reads "nan", which lies within any bounds: a share of hedges
        # that is no number would leave hedging without a limit.
        raise ValueError(text)
    return found


def split_names(text: str) -> tuple[str, ...]:
    """Read names separated by commas or spaces."""
    return tuple(text.replace(',', ' ').split())


def make_targets(
    pairs: Iterable[tuple[str, str]], data_centre: str
) -> tuple[configurations.Target, ...]:
    """Read the targets of one data centre; names and addresses may range."""
    return tuple(
        configurations.Target(name, address, data_centre)
        for names, found in pairs
        for name, address in expand_pair(names, found)
    )


def expand_pair(names: str, found: str) -> list[tuple[str, str]]:
    """Expand `a-{01..02}=10.0.0.{1..2}:80` into one pair for each.

    Raises argparse.ArgumentTypeError where the counts differ.
    """
    left, right = expand(names), expand(found)
    if len(left) != len(right):
        raise argparse.ArgumentTypeError(
            f'{names} is {len(left)} names, {found} is {len(right)} addresses'
        )
    return list(zip(left, right, strict=True))


def expand(text: str) -> list[str]:
    """Expand each `{first..last}`, the last one running fastest.

    A first number with leading zeros sets the width, as in shells. Raises
    argparse.ArgumentTypeError for a range that is none, or too long.
    """
    found = RANGE.search(text)
    if found is None:
        if '{' in text:
            raise argparse.ArgumentTypeError(f'expected {{1..20}} in {text!r}')
        return [text]
    first, last = found.groups()
    numbers = range(int(first), int(last) + 1)
    tails = expand(text[found.end() :])
    if not 0 < len(numbers) * len(tails) <= MAX_EXPANDED:
        raise argparse.ArgumentTypeError(f'{text!r} has a range out of bounds')
    head = text[: found.start()]
    heads = [f'{head}{str(it).zfill(len(first))}' for it in numbers]
    return [f'{start}{end}' for start in heads for end in tails]
