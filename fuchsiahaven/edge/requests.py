"""Read and check what callers send, within bounds of size, depth and time."""

import io
import json
import math
import re
import time
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple, NoReturn

import fastjsonschema

from fuchsiahaven.core import errors, messages

SOURCE: Final = 'callers'
MILLISECONDS: Final = 1000
MAX_DEADLINE_MS: Final = 600_000
MAX_LIMIT: Final = 1000
REQUEST_ID: Final = '^[A-Za-z0-9._:-]{1,64}$'

SCHEMA: Final[dict[str, object]] = {
    'type': 'object',
    'required': ['class', 'query'],
    'properties': {
        'class': {'type': 'string', 'minLength': 1, 'maxLength': 64},
        # An id goes into a header of each sub-request: a line break in it
        # would forge further headers.
        'request_id': {'type': 'string', 'pattern': REQUEST_ID},
        'deadline_ms': {
            'type': 'integer',
            'minimum': 1,
            'maximum': MAX_DEADLINE_MS,
        },
        'key': {'type': 'string', 'minLength': 1, 'maxLength': 256},
        'query': {
            'type': 'object',
            'properties': {
                'limit': {
                    'type': 'integer',
                    'minimum': 0,
                    'maximum': MAX_LIMIT,
                },
            },
        },
    },
}
_check: Final[Callable[[object], object]] = fastjsonschema.compile(
    SCHEMA, use_default=False
)
_LINE_END: Final = re.compile(r'[\r\n]')


class Bounds(NamedTuple):
    """Bound what one request may be."""

    body_bytes: int
    depth: int
    items: int


class Refusal(Exception):
    """Refuse a request with the failure that its caller is told."""

    def __init__(
        self, kind: errors.Kind, detail: str, request_id: str | None = None
    ) -> None:
        """Build the failure."""
        super().__init__(detail)
        self.failure = errors.make_failure(kind, SOURCE, detail)
        self.request_id = request_id


def read_query(
    body: bytes, bounds: Bounds, mint: Callable[[], str], arrived: float
) -> messages.Query:
    """Read one request; raises Refusal for what is not one."""
    parsed = _parse(body)
    _measure(parsed, bounds)
    try:
        _check(parsed)
    except fastjsonschema.JsonSchemaValueException as error:
        detail = error.message.replace('data.', '').replace('data ', 'body ')
        raise Refusal(
            errors.Kind.BAD_REQUEST, detail, _find_id(parsed)
        ) from error
    deadline_ms = parsed.get('deadline_ms', math.inf)
    return messages.Query(
        request_id=parsed.get('request_id') or mint(),
        class_name=parsed['class'],
        terms=parsed['query'],
        key=parsed.get('key'),
        arrived=arrived,
        deadline=arrived + deadline_ms / MILLISECONDS,
    )


def read_body(environ: Mapping[str, Any], limit: int, give_up: float) -> bytes:
    """Read a body of at most `limit` bytes until the time `give_up`.

    Raises Refusal.
    """
    stream = environ['wsgi.input']
    # What the server hands over reads until all is there, each byte with a
    # timeout of its own. A sender of a byte a second would hold a thread for
    # hours; so only what has come is taken, and the clock asked each time.
    source = getattr(stream, 'rfile', stream)
    wanted = _read_length(environ, limit)
    pieces: list[bytes] = []
    while wanted:
        ready = _wait_for_more(source, give_up)
        piece = stream.read(min(ready, wanted))
        wanted -= len(piece)
        pieces.append(piece)
    return b''.join(pieces)


def _wait_for_more(source: io.BufferedReader, give_up: float) -> int:
    try:
        ready = len(source.peek(1))
    except OSError as error:
        raise _too_slow() from error
    if time.monotonic() > give_up:
        raise _too_slow()
    if not ready:
        raise Refusal(errors.Kind.BAD_REQUEST, 'the body is too short')
    return ready


def _too_slow() -> Refusal:
    return Refusal(errors.Kind.SLOW_REQUEST, 'the body did not come in time')


def _read_length(environ: Mapping[str, Any], limit: int) -> int:
    text = environ.get('CONTENT_LENGTH') or ''
    if not (text.isascii() and text.isdigit()):
        raise Refusal(errors.Kind.BAD_REQUEST, 'a Content-Length is required')
    length = int(text)
    if length > limit:
        raise Refusal(errors.Kind.TOO_LARGE, f'the body may have {limit} bytes')
    return length


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f'{name} is not JSON')


_decode: Final = json.JSONDecoder(parse_constant=_refuse_constant).decode


def _parse(body: bytes) -> dict[str, Any]:
    try:
        parsed = _decode(body.decode())
    except (ValueError, RecursionError) as error:
        detail = f'the body is not JSON: {_LINE_END.sub(" ", str(error))}'
        raise Refusal(errors.Kind.BAD_REQUEST, detail) from error
    if not isinstance(parsed, dict):
        raise Refusal(errors.Kind.BAD_REQUEST, 'the body is not an object')
    return parsed


def _measure(parsed: object, bounds: Bounds) -> None:
    level = [parsed]
    count = 0
    depth = 0
    while level:
        depth += 1
        count += len(level)
        if depth > bounds.depth or count > bounds.items:
            detail = (
                f'the body may be {bounds.depth} deep and hold '
                f'{bounds.items} values'
            )
            raise Refusal(errors.Kind.TOO_LARGE, detail)
        level = [inner for outer in level for inner in _list_inner(outer)]


def _list_inner(outer: object) -> list[object]:
    if isinstance(outer, dict):
        return list(outer.values())
    return outer if isinstance(outer, list) else []


def _find_id(parsed: Mapping[str, Any]) -> str | None:
    found = parsed.get('request_id')
    if isinstance(found, str) and re.fullmatch(REQUEST_ID, found):
        return found
    return None
