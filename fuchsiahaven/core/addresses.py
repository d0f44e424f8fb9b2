"""Parse and format addresses: an IP address and a port."""

import ipaddress
from typing import Final, NamedTuple

MAX_PORT: Final = 65535


class Address(NamedTuple):
    """Hold an IP address and a port."""

    host: str
    port: int


def parse(text: str) -> Address | None:
    """Parse `ip:port` or `[ipv6]:port`; return None for anything else.

    Host names are refused, since the name service may be down when a host is
    started.
    """
    host, _, port = text.rpartition(':')
    bracketed = host.startswith('[') and host.endswith(']')
    number = _parse_ip(host[1:-1] if bracketed else host)
    if number is None or (number.version == 6) != bracketed:
        return None
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        return None
    return Address(str(number), int(port))


def format_address(address: Address) -> str:
    """Format an address so that `parse` accepts it."""
    host = f'[{address.host}]' if ':' in address.host else address.host
    return f'{host}:{address.port}'


def _parse_ip(
    text: str,
) -> ipaddress.IPv4Address | ipaddress.IPv6Address | None:
    try:
        return ipaddress.ip_address(text)
    except ValueError:
        return None
