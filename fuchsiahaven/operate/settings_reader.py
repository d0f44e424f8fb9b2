"""Read the settings file and tell every fault in it at once."""

import configparser
import difflib
import enum
import types
import typing
from collections.abc import Iterator, Mapping
from pathlib import Path

from fuchsiahaven.core import addresses
from fuchsiahaven.operate import settings

MAX_NAME: typing.Final = 63
BOOLEANS: typing.Final[Mapping[str, bool]] = {
    'yes': True,
    'true': True,
    'on': True,
    'no': False,
    'false': False,
    'off': False,
}
#: A name that configparser would give special meaning to; never in a file.
NO_SECTION: typing.Final = '\0'

Hints = Mapping[str, object]
Sections = Mapping[str, Mapping[str, str]]


class Fault(typing.NamedTuple):
    """Tell one fault: where it is, what is there, what is expected."""

    section: str
    key: str
    value: str
    expected: str


class Reading(typing.NamedTuple):
    """Hold the settings, or None and the faults that forbid them."""

    settings: settings.Settings | None
    faults: tuple[Fault, ...]


class _Rejected(typing.NamedTuple):
    expected: str


def read_file(path: Path) -> Reading:
    """Read a settings file; one that cannot be read is a fault too."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        fault = Fault('', str(path), str(error), 'a readable UTF-8 file')
        return Reading(None, (fault,))
    reading = read_text(text)
    if reading.settings is None:
        return reading
    faults = tuple(_find_missing_files(reading.settings))
    return Reading(None if faults else reading.settings, faults)


def read_text(text: str) -> Reading:
    """Read the text of a settings file."""
    sections, faults = split(text)
    hints = typing.get_type_hints(settings.Settings)
    faults.extend(_find_unknown(sections, hints))
    values: dict[str, typing.Any] = {}
    for name, section_type in hints.items():
        found = _read_section(name, section_type, sections.get(name, {}))
        values[name] = found[0]
        faults.extend(found[1])
    if faults:
        return Reading(None, tuple(faults))
    complete = settings.Settings(**values)
    faults.extend(_find_tls_faults(complete))
    faults.extend(_find_shared_ports(complete))
    return Reading(None if faults else complete, tuple(faults))


def describe(fault: Fault) -> str:
    """Write a fault as one line for a person."""
    section = f'[{fault.section}]' if fault.section else ''
    value = f'= {fault.value}' if fault.value else ''
    words = (word for word in (section, fault.key, value) if word)
    return '{0}: expected {1}'.format(' '.join(words), fault.expected)


def split(text: str) -> tuple[Sections, list[Fault]]:
    """Split the text into sections, blanking each line that cannot be read.

    configparser stops at the first such line; going on shows the rest of the
    faults in the same run. Each round blanks a line, so the loop ends.
    """
    lines = text.splitlines()
    faults: list[Fault] = []
    while True:
        parser = configparser.ConfigParser(
            interpolation=None,
            default_section=NO_SECTION,
            empty_lines_in_values=False,
        )
        # Keys are taken as written: a known key in other case is a fault.
        parser.optionxform = str  # type: ignore[assignment,method-assign]
        try:
            parser.read_string('\n'.join(lines))
        except configparser.Error as error:
            number, fault = _explain(error, lines)
            faults.append(fault)
            lines[number - 1] = ''
        else:
            return {name: parser[name] for name in parser.sections()}, faults


def _explain(
    error: configparser.Error,
    lines: list[str],
) -> tuple[int, Fault]:
    match error:
        case configparser.DuplicateOptionError(section=section, option=key):
            number = error.lineno or 1
            return number, Fault(
                section, key, '', f'once, not on line {number}'
            )
        case configparser.DuplicateSectionError(section=section):
            number = error.lineno or 1
            return number, Fault(section, '', '', f'once, not on line {number}')
        case configparser.MissingSectionHeaderError():
            number = error.lineno
        case configparser.ParsingError(errors=errors):
            number = errors[0][0]
        case _:
            raise error
    fault = Fault('', f'line {number}', lines[number - 1], 'key = value')
    return number, fault


def _find_unknown(sections: Sections, hints: Hints) -> Iterator[Fault]:
    for name, section in sections.items():
        known = hints.get(name)
        if known is None:
            yield Fault(name, '', '', _suggest('section', name, hints))
            continue
        fields = typing.get_type_hints(known)
        for key, value in section.items():
            if key not in fields:
                yield Fault(name, key, value, _suggest('key', key, fields))


def _suggest(what: str, name: str, known: Mapping[str, object]) -> str:
    lowered = {key.lower(): key for key in known}
    close = difflib.get_close_matches(name.lower(), lowered, n=1)
    if close:
        return f'a known {what}; the nearest is {lowered[close[0]]}'
    return 'a known {0}: {1}'.format(what, ', '.join(known))


def _read_section(
    name: str,
    section_type: typing.Any,
    section: Mapping[str, str],
) -> tuple[object, list[Fault]]:
    values: dict[str, object] = {}
    faults: list[Fault] = []
    hints = typing.get_type_hints(section_type, include_extras=True)
    for key, hint in hints.items():
        text = section.get(key)
        if text is None:
            if key not in section_type._field_defaults:
                faults.append(Fault(name, key, '', _expect(hint)))
            continue
        value = _convert(text, hint)
        if isinstance(value, _Rejected):
            faults.append(Fault(name, key, text, value.expected))
        values[key] = value
    return (None if faults else section_type(**values)), faults


def _expect(hint: object) -> str:
    """Say what is expected of a required key."""
    rejected = _convert('', hint)
    return rejected.expected if isinstance(rejected, _Rejected) else 'a value'


def _convert(text: str, hint: object) -> object:
    origin = typing.get_origin(hint)
    if origin is typing.Annotated:
        plain, bounds = typing.get_args(hint)
        return _convert_number(text, plain, bounds)
    if origin in {types.UnionType, typing.Union}:
        return _convert(text, typing.get_args(hint)[0])
    if hint is bool:
        wanted = 'one of {0}'.format(', '.join(BOOLEANS))
        return BOOLEANS.get(text.lower(), _Rejected(wanted))
    if hint is settings.Verbosity:
        return _convert_choice(text, settings.Verbosity)
    if hint is settings.PolicyName:
        return _convert_choice(text, settings.PolicyName)
    if hint is addresses.Address:
        return addresses.parse(text) or _Rejected('an IP number and port')
    if hint == settings.Addresses:
        return _convert_addresses(text)
    if hint is Path:
        return Path(text) if text else _Rejected('the path of a file')
    return _convert_name(text)


def _convert_number(
    text: str,
    plain: type[int] | type[float],
    bounds: settings.Bounds,
) -> object:
    kind = 'a whole number' if plain is int else 'a number'
    rejected = _Rejected(f'{kind} from {bounds.low:g} to {bounds.high:g}')
    try:
        number = plain(text)
    except ValueError:
        return rejected
    return number if bounds.low <= number <= bounds.high else rejected


def _convert_choice(text: str, choices: type[enum.StrEnum]) -> object:
    try:
        return choices(text.lower())
    except ValueError:
        return _Rejected('one of {0}'.format(', '.join(choices)))


def _convert_addresses(text: str) -> object:
    found = [addresses.parse(word) for word in text.replace(',', ' ').split()]
    if found and None not in found:
        return tuple(found)
    return _Rejected('IP numbers with ports, separated by commas')


def _convert_name(text: str) -> object:
    """Take a name that can stand in a log line and in a label unquoted."""
    plain = text.isprintable() and not any(
        letter in ' "=,\'' for letter in text
    )
    if plain and 0 < len(text) <= MAX_NAME:
        return text
    return _Rejected(f'a name of 1 to {MAX_NAME} characters without spaces')


def _find_tls_faults(complete: settings.Settings) -> Iterator[Fault]:
    for name, section in complete._asdict().items():
        files = [key for key in settings.FILE_KEYS if hasattr(section, key)]
        given = {key for key in files if getattr(section, key) is not None}
        pair = {'tls_certificate', 'tls_key'}
        if len(given & pair) == 1:
            missing = (pair - given).pop()
            yield Fault(name, missing, '', 'a file, as the other is given')
    peers = complete.peers
    wanted = set(settings.FILE_KEYS)
    given = {key for key in wanted if getattr(peers, key) is not None}
    if not peers.allow_plain and given != wanted:
        names = ', '.join(sorted(wanted - given))
        yield Fault('peers', names, '', 'files, or allow_plain = yes')


def _find_shared_ports(complete: settings.Settings) -> Iterator[Fault]:
    """Find ports of one host that are the same.

    With several processes on one port the second listener would not fail: the
    system would deal it every other connection, and callers would now and
    then reach the peer port.
    """
    taken: dict[addresses.Address, str] = {}
    for name in ('callers', 'peers', 'metrics'):
        address = getattr(complete, name).address
        if address is None:
            continue
        other = taken.setdefault(address, name)
        if other != name:
            wanted = f'another address than that of [{other}]'
            yield Fault(
                name, 'address', addresses.format_address(address), wanted
            )


def _find_missing_files(complete: settings.Settings) -> Iterator[Fault]:
    for name, section in complete._asdict().items():
        for key in settings.FILE_KEYS:
            path = getattr(section, key, None)
            if path is not None and not path.is_file():
                yield Fault(name, key, str(path), 'a file that exists')
