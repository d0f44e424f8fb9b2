"""Send one HTTP request to a running host, for a command."""

import json
import ssl
from collections.abc import Mapping
from typing import Final, NamedTuple, cast

import urllib3

from fuchsiahaven.core import addresses, json_texts

CONNECT_TIMEOUT_S: Final = 2.0
JSON_TYPE: Final = {'Content-Type': 'application/json'}

JsonObject = Mapping[str, object]


class Response(NamedTuple):
    """Hold the host's answer."""

    status: int
    body: JsonObject


class NoResponse(NamedTuple):
    """Report that no answer came, and whether the request may have run."""

    reason: str
    may_have_run: bool


def send_request(
    address: addresses.Address,
    method: str,
    path: str,
    *,
    body: JsonObject | None = None,
    timeout_s: float = 10.0,
    context: ssl.SSLContext | None = None,
    fields: Mapping[str, str] = JSON_TYPE,
) -> Response | NoResponse:
    """Send a request once, without retries; over TLS if a context is given."""
    scheme = 'https' if context else 'http'
    url = f'{scheme}://{addresses.format_address(address)}{path}'
    # By default urllib3 retries a request whose connection broke. A refund
    # that the library sends again would be two requests in the host's log
    # for one command.
    with urllib3.PoolManager(retries=False, ssl_context=context) as pool:
        try:
            response = pool.request(
                method,
                url,
                body=None if body is None else json.dumps(body),
                headers=fields,
                timeout=build_timeout(timeout_s),
            )
        except urllib3.exceptions.HTTPError as error:
            return NoResponse(str(error), may_have_run=not _is_unsent(error))
    return _decode_response(response)


def build_timeout(timeout_s: float) -> urllib3.Timeout:
    """Bound the whole exchange, and connecting by CONNECT_TIMEOUT_S."""
    connect_s = min(CONNECT_TIMEOUT_S, timeout_s)
    return urllib3.Timeout(total=timeout_s, connect=connect_s)


def _is_unsent(error: urllib3.exceptions.HTTPError) -> bool:
    return isinstance(
        error,
        (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ),
    )


def _decode_response(
    response: urllib3.BaseHTTPResponse,
) -> Response | NoResponse:
    try:
        body = json_texts.load(response.data or b'{}')
    except ValueError:
        body = None
    if not isinstance(body, dict):
        return NoResponse(
            f'status {response.status} without JSON', may_have_run=True
        )
    return Response(response.status, cast(JsonObject, body))
