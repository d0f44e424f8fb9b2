"""Read and validate callers' requests within limits of size and depth."""

import math
import re
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

import fastjsonschema

from fuchsiahaven.core import errors, json_texts
from fuchsiahaven.core.targets import messages

SOURCE: Final = 'callers'
MS_PER_S: Final = 1000
MAX_DEADLINE_MS: Final = 600_000
MAX_RESULT_LIMIT: Final = 1000
REQUEST_ID_PATTERN: Final = '^[A-Za-z0-9._:-]{1,64}$'

SCHEMA: Final[dict[str, object]] = {
    'type': 'object',
    'required': ['class', 'query'],
    'properties': {
        'class': {'type': 'string', 'minLength': 1, 'maxLength': 64},
        # The id becomes a header of each sub-request: a line break in it
        # would inject further headers.
        'request_id': {'type': 'string', 'pattern': REQUEST_ID_PATTERN},
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
                    'maximum': MAX_RESULT_LIMIT,
                },
            },
        },
    },
}
_validate: Final[Callable[[object], object]] = fastjsonschema.compile(
    SCHEMA, use_default=False
)
_LINE_END: Final = re.compile(r'[\r\n]')


class BodyBounds(NamedTuple):
    """Limit the depth and the number of values of a parsed body."""

    max_depth: int
    max_items: int


class Refusal(Exception):
    """Report a refused request with the failure for its caller."""

    def __init__(
        self, kind: errors.Kind, detail: str, request_id: str | None = None
    ) -> None:
        """Build the failure."""
        super().__init__(detail)
        self.failure = errors.make_failure(kind, SOURCE, detail)
        self.request_id = request_id


def decode_query(
    body: bytes,
    bounds: BodyBounds,
    make_request_id: Callable[[], str],
    arrived: float,
) -> messages.Query:
    """Decode one request. Raises Refusal if it is malformed."""
    parsed = _decode_object(body)
    _check_bounds(parsed, bounds)
    try:
        _validate(parsed)
    except fastjsonschema.JsonSchemaValueException as error:
        detail = error.message.replace('data.', '').replace('data ', 'body ')
        raise Refusal(
            errors.Kind.BAD_REQUEST, detail, _find_request_id(parsed)
        ) from error
    deadline_ms = parsed.get('deadline_ms', math.inf)
    return messages.Query(
        request_id=parsed.get('request_id') or make_request_id(),
        class_name=parsed['class'],
        terms=parsed['query'],
        key=parsed.get('key'),
        arrived_at=arrived,
        deadline=arrived + deadline_ms / MS_PER_S,
    )


def read_body(environ: Mapping[str, Any]) -> bytes:
    """Read a body; the port limits its size and time.

    Raises Refusal, or TimeoutError, to which the port responds.
    """
    length = _parse_length(environ)
    body: bytes = environ['wsgi.input'].read(length)
    if len(body) < length:
        raise Refusal(errors.Kind.BAD_REQUEST, 'the body is too short')
    return body


def _parse_length(environ: Mapping[str, Any]) -> int:
    text = environ.get('CONTENT_LENGTH') or ''
    if not (text.isascii() and text.isdigit()):
        raise Refusal(errors.Kind.BAD_REQUEST, 'a Content-Length is required')
    return int(text)


def _decode_object(body: bytes) -> dict[str, Any]:
    try:
        parsed = json_texts.load(body)
    except ValueError as error:
        detail = f'the body is not JSON: {_LINE_END.sub(" ", str(error))}'
        raise Refusal(errors.Kind.BAD_REQUEST, detail) from error
    if not isinstance(parsed, dict):
        raise Refusal(errors.Kind.BAD_REQUEST, 'the body is not an object')
    return parsed


def _check_bounds(parsed: object, bounds: BodyBounds) -> None:
    level = [parsed]
    count = 0
    depth = 0
    while level:
        depth += 1
        count += len(level)
        if depth > bounds.max_depth or count > bounds.max_items:
            detail = (
                f'the body may be {bounds.max_depth} deep and hold '
                f'{bounds.max_items} values'
            )
            raise Refusal(errors.Kind.TOO_LARGE, detail)
        level = [child for parent in level for child in _list_children(parent)]


def _list_children(parent: object) -> list[object]:
    if isinstance(parent, dict):
        return list(parent.values())
    return parent if isinstance(parent, list) else []


def _find_request_id(parsed: Mapping[str, Any]) -> str | None:
    request_id = parsed.get('request_id')
    if isinstance(request_id, str) and re.fullmatch(
        REQUEST_ID_PATTERN, request_id
    ):
        return request_id
    return None
