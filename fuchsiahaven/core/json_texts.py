"""Parse JSON that comes from outside this process."""

import json
from typing import Any, Final, NoReturn


def load(text: str | bytes) -> Any:
    """Parse one JSON text. Raises ValueError for anything else.

    Nesting beyond the interpreter's recursion limit raises RecursionError,
    which is no ValueError and would end a thread that does not expect it. NaN
    and infinities, which Python's parser accepts, are refused: no comparison
    with NaN is true, so NaN passes every check of bounds.
    """
    decoded = text if isinstance(text, str) else text.decode()
    try:
        return _decode(decoded)
    except RecursionError as error:
        raise ValueError('nested too deep') from error


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f'{name} is not JSON')


_decode: Final = json.JSONDecoder(parse_constant=_refuse_constant).decode
