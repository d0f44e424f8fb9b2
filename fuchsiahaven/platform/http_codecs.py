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

MS_PER_S: Final = 1000
#: What a caller waits that does not say; as long as most routes allow.
DEFAULT_DEADLINE_S: Final = 2.0
#: Statuses that promise that a request has not run and will not.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
MISDIRECTED_STATUS: Final = 421
#: Where the balancer asks whether to send requests here.
READINESS_PATH: Final = '/ready'
LOAD_VALUES: Final = 3

#: How callers show their keys, in any case.
AUTH_SCHEME: Final = 'token'
MAX_KEY_BYTES: Final = keys.MAX_KEY_BYTES
digest_key: Final = keys.compute_digest

#: Fields that concern one connection only, or that are written anew here.
_HOP_BY_HOP: Final = frozenset(
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
_HOST_CONTROLLED: Final = _HOP_BY_HOP | {
    headers.CUSTOMER,
    headers.DEADLINE_MS,
    headers.INSTANCE,
    headers.AUTHORIZATION,
}
#: Fields of a target's answer that speak to this host and not to callers.
_NOT_RELAYED: Final = _HOP_BY_HOP | {
    headers.LOAD,
    headers.RETRY_AFTER,
    'date',
    'server',
}

RawFields = Iterable[tuple[bytes, bytes]]


class Message(NamedTuple):
    """Hold a whole HTTP message that was received; names are lower case."""

    uri: str
    status: int
    fields: events.Fields
    body: bytes
    method: str = ''


class EncodedAnswer(NamedTuple):
    """Hold an HTTP answer to be sent."""

    status: int
    fields: events.Fields
    body: bytes


def decode_fields(raw_fields: RawFields) -> events.Fields:
    """Read header fields as text; any byte is kept as it came."""
    return tuple(
        (name.decode('latin-1').lower(), value.decode('latin-1'))
        for name, value in raw_fields
    )


def decode_request(
    message: Message, now: float, distance_s: float = 0.0
) -> events.Request:
    """Read the request of a caller, who is so many seconds away in all."""
    fields = dict(message.fields)
    host = fields.get('host', '').partition(':')[0].lower()
    relayed = _list_relayed(message.fields, fields, _HOST_CONTROLLED)
    key_fields = tuple(
        field for field in message.fields if field[0] == headers.AUTHORIZATION
    )
    credentials = _list_relayed(key_fields, fields, _HOP_BY_HOP)
    return add_identity(
        events.Request(
            fields.get(headers.REQUEST_ID, ''),
            message.method,
            message.uri,
            host,
            relayed,
            message.body,
            now,
            now + _decode_wait(fields.get(headers.DEADLINE_MS)),
            distance_s,
            key_digest=_decode_key_digest(key_fields),
            credentials=credentials,
        )
    )


def add_identity(request: events.Request) -> events.Request:
    """Give a request the identity that each host works out for it."""
    identity = request_identities.identify(
        request.customer or _name_caller(request),
        request.method.encode('latin-1'),
        request.uri.encode('latin-1'),
        request.body,
    )
    return request._replace(identity=identity)


def _name_caller(request: events.Request) -> str:
    """Name who asks: whoever shows a key, or else whose name is asked at."""
    all_fields = (*request.credentials, *request.fields)
    for name, value in all_fields:
        if name == headers.AUTHORIZATION:
            return request_identities.identify(
                '', value.encode('latin-1')
            ).digest
    host = dict(request.fields).get('host', '')
    return host.partition(':')[0].lower()


def _decode_key_digest(key_fields: events.Fields) -> str:
    """Read the digest of the one key that a caller shows, empty without."""
    return keys.parse_key_digest(
        [value for _, value in key_fields], AUTH_SCHEME
    )


def encode_request_fields(
    send: events.SendAttempt, now: float
) -> events.Fields:
    """Write the header fields of a request to a target."""
    request = send.request
    remaining_ms = max(
        1, int((min(send.deadline, request.deadline) - now) * MS_PER_S)
    )
    host_fields = (
        (headers.DEADLINE_MS, str(remaining_ms)),
        (headers.INSTANCE, send.instance.id),
        *_encode_length(request),
    )
    if request.customer:
        # Fields are written byte by byte.
        name = request.customer.encode('utf-8').decode('latin-1')
        host_fields = ((headers.CUSTOMER, name), *host_fields)
    return (*request.fields, *request.credentials, *host_fields)


def is_answer_to(message: Message, request: events.Request) -> bool:
    """Tell whether a target's answer belongs to a request."""
    request_id = dict(message.fields).get(headers.REQUEST_ID)
    return request_id == request.request_id


def decode_answer(
    send: events.SendAttempt, message: Message
) -> events.TargetAnswered | events.TargetRefused | events.AttemptBroken:
    """Read what a target answered."""
    fields = dict(message.fields)
    load = _decode_load(fields.get(headers.LOAD))
    if message.status == MISDIRECTED_STATUS:
        return events.TargetRefused(
            send.key, messages.RefusalReason.LEAVING, load
        )
    if headers.NOT_RUN in fields:
        return events.TargetRefused(send.key, messages.RefusalReason.SHED, load)
    signature = fields.get(headers.SIGNATURE, '')
    if not signature or 'content-encoding' in fields:
        # Without the signature a success is not the target's own word.
        return events.AttemptBroken(send.key, messages.Fault.MALFORMED)
    if message.status in NOT_RUN_STATUSES:
        # It promises what the target has not said: that it did not run.
        return events.AttemptBroken(send.key, messages.Fault.MALFORMED)
    relayed = _list_relayed(message.fields, fields, _NOT_RELAYED)
    return events.TargetAnswered(
        send.key,
        events.Answer(message.status, relayed, signature, message.body, load),
    )


def encode_outcome(outcome: events.Outcome) -> EncodedAnswer:
    """Write what a caller is told."""
    match outcome:
        case events.RelayedAnswer(answer):
            return EncodedAnswer(answer.status, answer.fields, answer.body)
        case events.MergedAnswer(signatures, missing, body):
            return EncodedAnswer(
                HTTPStatus.OK,
                (
                    ('content-type', 'application/octet-stream'),
                    (headers.PART_SIGNATURES, ', '.join(signatures)),
                    (headers.MISSING_PARTS, str(missing)),
                ),
                body,
            )
        case errors.Failure():
            return encode_failure(outcome)


def encode_failure(failure: errors.Failure) -> EncodedAnswer:
    """Write a failure; a status that promises is used only if it is true."""
    properties = errors.KIND_PROPERTIES[failure.kind]
    status = properties.status
    if status in NOT_RUN_STATUSES and failure.ran is not errors.Ran.NO:
        status = HTTPStatus.BAD_GATEWAY
    if status == HTTPStatus.GATEWAY_TIMEOUT and failure.ran is errors.Ran.NO:
        status = HTTPStatus.SERVICE_UNAVAILABLE
    fields = [('content-type', 'text/plain')]
    if failure.retry_after is not None:
        fields.append((headers.RETRY_AFTER, f'{failure.retry_after:g}'))
    text = f'{failure.kind.value}: {properties.text}; ran={failure.ran.value}\n'
    return EncodedAnswer(status, tuple(fields), text.encode())


def _list_relayed(
    fields: events.Fields, values: Mapping[str, str], excluded: frozenset[str]
) -> events.Fields:
    listed = values.get('connection', '').lower()
    if listed:
        excluded |= {name.strip() for name in listed.split(',')}
    return tuple(field for field in fields if field[0] not in excluded)


def _encode_length(request: events.Request) -> events.Fields:
    if not request.body and request.method in {'GET', 'HEAD', 'DELETE'}:
        return ()
    return (('content-length', str(len(request.body))),)


def _decode_wait(value: str | None) -> float:
    try:
        wait_s = float(value or '') / MS_PER_S
    except ValueError:
        return DEFAULT_DEADLINE_S
    return wait_s if math.isfinite(wait_s) else DEFAULT_DEADLINE_S


def _decode_load(value: str | None) -> messages.Load | None:
    numbers = (value or '').split(',')
    if len(numbers) < LOAD_VALUES:
        return None
    try:
        return messages.Load(*[int(number) for number in numbers[:LOAD_VALUES]])
    except ValueError:
        return None
