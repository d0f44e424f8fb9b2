"""Convert HTTP messages to and from the events of `routing`."""

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
#: Deadline of a request that states none; most routes allow as much.
DEFAULT_DEADLINE_S: Final = 2.0
#: Statuses that promise that the request has not run and will not run.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
MISDIRECTED_STATUS: Final = 421
#: Path at which the load balancer asks whether this host takes requests.
READINESS_PATH: Final = '/ready'
LOAD_VALUES: Final = 3
#: A larger number of requests is no load; estimates multiply it as a float.
MAX_LOAD: Final = 1_000_000

#: Authentication scheme of customer keys, in any letter case.
AUTH_SCHEME: Final = 'token'
MAX_KEY_BYTES: Final = keys.MAX_KEY_BYTES
digest_key: Final = keys.compute_digest

#: Hop-by-hop header fields, and fields that are encoded anew here.
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
#: Header fields that only this host sets; a caller's values are dropped.
_HOST_CONTROLLED: Final = _HOP_BY_HOP | {
    headers.CUSTOMER,
    headers.DEADLINE_MS,
    headers.INSTANCE,
    headers.AUTHORIZATION,
}
#: Header fields of a target's answer that are not relayed to callers.
_NOT_RELAYED: Final = _HOP_BY_HOP | {
    headers.LOAD,
    headers.RETRY_AFTER,
    'date',
    'server',
}

RawFields = Iterable[tuple[bytes, bytes]]


class Message(NamedTuple):
    """Hold a complete HTTP message that was received.

    Names of header fields are lower case. `uri` and `method` are set in
    requests, `status` in answers.
    """

    uri: str
    status: int
    fields: events.Fields
    body: bytes
    method: str = ''


class EncodedAnswer(NamedTuple):
    """Hold an HTTP answer that is ready to be sent."""

    status: int
    fields: events.Fields
    body: bytes


def decode_fields(raw_fields: RawFields) -> events.Fields:
    """Decode header fields to text, one character for each byte."""
    return tuple(
        (name.decode('latin-1').lower(), value.decode('latin-1'))
        for name, value in raw_fields
    )


def decode_request(
    message: Message, now: float, transit_s: float = 0.0
) -> events.Request:
    """Decode a caller's request.

    `transit_s` is the time that the request and its answer spend outside this
    host, in seconds.
    """
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
            transit_s,
            key_digest=_decode_key_digest(key_fields),
            credentials=credentials,
        )
    )


def add_identity(request: events.Request) -> events.Request:
    """Return the request with its identity, which is equal on all hosts."""
    identity = request_identities.identify(
        request.customer or _name_caller(request),
        request.method.encode('latin-1'),
        request.uri.encode('latin-1'),
        request.body,
    )
    return request._replace(identity=identity)


def _name_caller(request: events.Request) -> str:
    """Name the caller by a digest of its key, or else by its `host` field."""
    all_fields = (*request.credentials, *request.fields)
    for name, value in all_fields:
        if name == headers.AUTHORIZATION:
            return request_identities.identify(
                '', value.encode('latin-1')
            ).digest
    host = dict(request.fields).get('host', '')
    return host.partition(':')[0].lower()


def _decode_key_digest(key_fields: events.Fields) -> str:
    """Return the digest of the only key in the fields, or an empty text."""
    return keys.parse_key_digest(
        [value for _, value in key_fields], AUTH_SCHEME
    )


def encode_request_fields(
    send: events.SendAttempt, now: float
) -> events.Fields:
    """Encode the header fields of a request to a target."""
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
        # Header fields are sent as Latin-1, so each UTF-8 byte becomes one
        # character here.
        name = request.customer.encode('utf-8').decode('latin-1')
        host_fields = ((headers.CUSTOMER, name), *host_fields)
    return (*request.fields, *request.credentials, *host_fields)


def is_answer_to(message: Message, request: events.Request) -> bool:
    """Check whether a target's answer belongs to a request."""
    request_id = dict(message.fields).get(headers.REQUEST_ID)
    return request_id == request.request_id


def decode_answer(
    send: events.SendAttempt, message: Message
) -> events.TargetAnswered | events.TargetRefused | events.AttemptBroken:
    """Decode a target's answer to an attempt."""
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
        # Without the signature the answer may not come from the target.
        return events.AttemptBroken(send.key, messages.Fault.MALFORMED)
    if message.status in NOT_RUN_STATUSES:
        # The status promises that the request did not run, but the field by
        # which a target states so is missing.
        return events.AttemptBroken(send.key, messages.Fault.MALFORMED)
    relayed = _list_relayed(message.fields, fields, _NOT_RELAYED)
    return events.TargetAnswered(
        send.key,
        events.Answer(message.status, relayed, signature, message.body, load),
    )


def encode_outcome(outcome: events.Outcome) -> EncodedAnswer:
    """Encode the answer to a caller."""
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
    """Encode a failure.

    A status that promises that the request did not run is used only where
    that is known.
    """
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
        counts = [int(number) for number in numbers[:LOAD_VALUES]]
    except ValueError:
        return None
    return messages.Load(*counts) if max(counts) <= MAX_LOAD else None
