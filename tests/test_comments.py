"""Test that comments describe the present code, not its history."""

import io
import pathlib
import re
import tokenize
from collections.abc import Iterator
from typing import Final

import pytest

import fuchsiahaven

PACKAGE: Final = pathlib.Path(fuchsiahaven.__file__).parent
#: The tuning of a value, dates, issues and bench scenarios belong in the
#: commit message or in docs/CAPACITY.md.
CLEAR_CASES: Final = re.compile(
    r"""
    \d[ ]%[ ](?:more|less|better|worse)
    | \b(?:quiet|trouble|scale)-\d
    | \b(?:quiet|standard)[ ]days?\b
    | \bworth[ ]of[ ]days?\b
    | \bissue[ ]\d
    | \b20\d\d-\d\d-\d\d\b
    | \binstead[ ]of[ ]\d
    | \bused[ ]to[ ]be\b
    """,
    re.VERBOSE,
)


def list_comments(source: str) -> Iterator[tuple[int, str]]:
    """List comments and strings with their lines; doc comments are strings."""
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type in {tokenize.COMMENT, tokenize.STRING}:
            yield token.start[0], token.string


@pytest.mark.parametrize(
    'path', sorted(PACKAGE.rglob('*.py')), ids=lambda it: it.stem
)
def test_comments_hold_no_tuning_history(path: pathlib.Path) -> None:
    """How a value was tuned does not help a reader of the present code."""
    matches = [
        (line, match.group())
        for line, comment in list_comments(path.read_text())
        if (match := CLEAR_CASES.search(comment))
    ]
    assert not matches


@pytest.mark.parametrize(
    'text',
    [
        '# With 3 ms it was 2 % less.',
        '# Seen on trouble-2.',
        '# A quiet day moved more bytes.',
        '# 4 ms instead of 50.',
    ],
)
def test_finds_the_clear_cases(text: str) -> None:
    """The pattern matches known cases."""
    ((_, comment),) = list_comments(text)
    assert CLEAR_CASES.search(comment)
