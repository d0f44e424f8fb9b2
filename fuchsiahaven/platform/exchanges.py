"""Translate between HTTP messages and the events of the decisions."""

import math
from collections.abc import Iterable, Mapping
from http import HTTPStatus
from typing import Final, NamedTuple

from fuchsiahaven.core import errors, request_identities
from fuchsiahaven.core.customers import keys
from fuchsiahaven.core.targets import messages
from fuchsiahaven.platform import headers
from fuchsiahaven.routing import events

MILLISECONDS: Final = 1000
#: What a caller waits that does not say; as long as most routes allow.
USUAL_DEADLINE_S: Final = 2.0
#: Statuses that promise that a request has not run and will not.
PROMISES: Final = frozenset((408, 421, 429, 503))
MISDIRECTED: Final = 421
#: Where the balancer asks whether to send requests here.
READINESS_PATH: Final = '/ready'
LOAD_FIGURES: Final = 3

#: How callers show their keys, in any case.
SCHEME: Final = 'token'
LONGEST_KEY: Final = keys.MAX_KEY_BYTES
digest_key: Final = keys.compute_digest

#: Fields that concern one connection only, or that are written anew here.
_OWN: Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
#: Fields that this host sets itself, whatever a caller has sent.
_SET: Final = _OWN | {
    headers.CUSTOMER,
    headers.DEADLINE,
    headers.INSTANCE,
    headers.KEY,
}
#: Fields of a target's answer that speak to this host and not to callers.
_HIDDEN: Final = _OWN | {headers.LOAD, headers.RETRY_AFTER, 'date', 'server'}

RawFields = Iterable[tuple[bytes, bytes]]


class Message(NamedTuple):
    """Hold a whole HTTP message that was received; names are lower case."""

    first: str
    status: int
    fields: events.Fields
    body: bytes
    method: str = ''


class Written(NamedTuple):
    """Hold an HTTP answer to be sent."""

    status: int
    fields: events.Fields
    body: bytes


def read_fields(raw: RawFields) -> events.Fields:
    """Read header fields as text; any byte is kept as it came."""
    return tuple(
        (name.decode('latin-1').lower(), told.decode('latin-1'))
        for name, told in raw
    )


def read_request(
    message: Message, now: float, away: float = 0.0
) -> events.Request:
    """Read the request of a caller, who is so many seconds away in all."""
    fields = dict(message.fields)
    host = fields.get('host', '').partition(':')[0].lower()
    passed = _list_passed(message.fields, fields, _SET)
    shown = tuple(it for it in message.fields if it[0] == headers.KEY)
    credentials = _list_passed(shown, fields, _OWN)
    return identify(
        events.Request(
            fields.get(headers.REQUEST_ID, ''),
            message.method,
            message.first,
            host,
            passed,
            message.body,
            now,
            now + _read_wait(fields.get(headers.DEADLINE)),
            away,
            key_digest=_read_key(shown),
            credentials=credentials,
        )
    )


def identify(request: events.Request) -> events.Request:
    """Give a request the identity that each host works out for it."""
    identity = request_identities.identify(
        request.customer or _name_asker(request),
        request.method.encode('latin-1'),
        request.uri.encode('latin-1'),
        request.body,
    )
    return request._replace(identity=identity)


def _name_asker(request: events.Request) -> str:
    """Name who asks: whoever shows a key, or else whose name is asked at."""
    shown = (*request.credentials, *request.fields)
    for name, told in shown:
        if name == headers.KEY:
            return request_identities.identify(
                '', told.encode('latin-1')
            ).digest
    host = dict(request.fields).get('host', '')
    return host.partition(':')[0].lower()


def _read_key(shown: events.Fields) -> str:
    """Read the digest of the one key that a caller shows, empty without."""
    return keys.parse_key_digest([told for _, told in shown], SCHEME)


def write_request(send: events.SendAttempt, now: float) -> events.Fields:
    """Write the header fields of a request to a target."""
    request = send.request
    left = max(
        1, int((min(send.deadline, request.deadline) - now) * MILLISECONDS)
    )
    own = (
        (headers.DEADLINE, str(left)),
        (headers.INSTANCE, send.instance.id),
        *_write_length(request),
    )
    if request.customer:
        # Fields are written byte by byte.
        name = request.customer.encode('utf-8').decode('latin-1')
        own = ((headers.CUSTOMER, name), *own)
    return (*request.fields, *request.credentials, *own)


def is_answer_to(message: Message, request: events.Request) -> bool:
    """Tell whether a target's answer belongs to a request."""
    told = dict(message.fields).get(headers.REQUEST_ID)
    return told == request.request_id


def read_answer(
    send: events.SendAttempt, message: Message
) -> events.TargetAnswered | events.TargetRefused | events.AttemptBroken:
    """Read what a target answered."""
    fields = dict(message.fields)
    load = _read_load(fields.get(headers.LOAD))
    if message.status == MISDIRECTED:
        return events.TargetRefused(
            send.key, messages.RefusalReason.LEAVING, load
        )
    if headers.NOT_RUN in fields:
        return events.TargetRefused(send.key, messages.RefusalReason.SHED, load)
    signature = fields.get(headers.SIGNATURE, '')
    if not signature or 'content-encoding' in fields:
        # Without the signature a success is not the target's own word.
        return events.AttemptBroken(send.key, messages.Fault.MALFORMED)
    if message.status in PROMISES:
        # It promises what the target has not said: that it did not run.
        return events.AttemptBroken(send.key, messages.Fault.MALFORMED)
    passed = _list_passed(message.fields, fields, _HIDDEN)
    return events.TargetAnswered(
        send.key,
        events.Answer(message.status, passed, signature, message.body, load),
    )


def write_outcome(outcome: events.Outcome) -> Written:
    """Write what a caller is told."""
    match outcome:
        case events.RelayedAnswer(answer):
            return Written(answer.status, answer.fields, answer.body)
        case events.MergedAnswer(signatures, missing, body):
            return Written(
                HTTPStatus.OK,
                (
                    ('content-type', 'application/octet-stream'),
                    (headers.PARTS, ', '.join(signatures)),
                    (headers.MISSING, str(missing)),
                ),
                body,
            )
        case errors.Failure():
            return write_failure(outcome)


def write_failure(failure: errors.Failure) -> Written:
    """Write a failure; a status that promises is used only if it is true."""
    row = errors.KIND_PROPERTIES[failure.kind]
    status = row.status
    if status in PROMISES and failure.ran is not errors.Ran.NO:
        status = HTTPStatus.BAD_GATEWAY
    if status == HTTPStatus.GATEWAY_TIMEOUT and failure.ran is errors.Ran.NO:
        status = HTTPStatus.SERVICE_UNAVAILABLE
    fields = [('content-type', 'text/plain')]
    if failure.retry_after is not None:
        fields.append((headers.RETRY_AFTER, f'{failure.retry_after:g}'))
    text = f'{failure.kind.value}: {row.text}; ran={failure.ran.value}\n'
    return Written(status, tuple(fields), text.encode())


def _list_passed(
    fields: events.Fields, by_name: Mapping[str, str], kept: frozenset[str]
) -> events.Fields:
    named = by_name.get('connection', '').lower()
    if named:
        kept |= {name.strip() for name in named.split(',')}
    return tuple(field for field in fields if field[0] not in kept)


def _write_length(request: events.Request) -> events.Fields:
    if not request.body and request.method in {'GET', 'HEAD', 'DELETE'}:
        return ()
    return (('content-length', str(len(request.body))),)


def _read_wait(told: str | None) -> float:
    try:
        wait = float(told or '') / MILLISECONDS
    except ValueError:
        return USUAL_DEADLINE_S
    return wait if math.isfinite(wait) else USUAL_DEADLINE_S


def _read_load(told: str | None) -> messages.Load | None:
    figures = (told or '').split(',')
    if len(figures) < LOAD_FIGURES:
        return None
    try:
        return messages.Load(*[int(it) for it in figures[:LOAD_FIGURES]])
    except ValueError:
        return None
