"""Read JSON that comes from outside this process."""

import json
from typing import Any, Final, NoReturn


def load(text: str | bytes) -> Any:
    """Read one JSON text. Raises ValueError for anything else.

    Nesting beyond what the interpreter recurses raises an error that is no
    ValueError, and ended the thread whose reader let it through. NaN and the
    infinities, which Python reads too, pass every check of bounds, since no
    comparison with NaN is true.
    """
    decoded = text if isinstance(text, str) else text.decode()
    try:
        return _decode(decoded)
    except RecursionError as error:
        raise ValueError('nested too deep') from error


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f'{name} is not JSON')


_decode: Final = json.JSONDecoder(parse_constant=_refuse_constant).decode
