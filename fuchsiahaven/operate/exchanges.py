"""Ask a running host one question over HTTP, for a command."""

import json
import ssl
from collections.abc import Mapping
from typing import Final, NamedTuple, cast

import urllib3

from fuchsiahaven.core import addresses, json_texts

CONNECT_TIMEOUT_S: Final = 2.0
JSON_TYPE: Final = {'Content-Type': 'application/json'}

Body = Mapping[str, object]


class Told(NamedTuple):
    """Hold what the host answered."""

    status: int
    body: Body


class Silent(NamedTuple):
    """Say that no answer came, and whether the host may have acted."""

    reason: str
    sent: bool


def ask(
    address: addresses.Address,
    method: str,
    path: str,
    *,
    body: Body | None = None,
    timeout_s: float = 10.0,
    context: ssl.SSLContext | None = None,
    fields: Mapping[str, str] = JSON_TYPE,
) -> Told | Silent:
    """Ask once, never twice, and tell what came back; by TLS if asked to."""
    scheme = 'https' if context else 'http'
    url = f'{scheme}://{addresses.format_address(address)}{path}'
    # urllib3 repeats a request whose connection broke, unless told not to. A
    # refund asked for again by the library would show as two requests in the
    # host's log for one command.
    with urllib3.PoolManager(retries=False, ssl_context=context) as pool:
        try:
            response = pool.request(
                method,
                url,
                body=None if body is None else json.dumps(body),
                headers=fields,
                timeout=limit_time(timeout_s),
            )
        except urllib3.exceptions.HTTPError as error:
            return Silent(str(error), sent=not _is_unsent(error))
    return _read(response)


def limit_time(timeout_s: float) -> urllib3.Timeout:
    """Bound the whole exchange, and the connecting more tightly."""
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


def _read(response: urllib3.BaseHTTPResponse) -> Told | Silent:
    try:
        body = json_texts.load(response.data or b'{}')
    except ValueError:
        body = None
    if not isinstance(body, dict):
        return Silent(f'status {response.status} without JSON', sent=True)
    return Told(response.status, cast(Body, body))
