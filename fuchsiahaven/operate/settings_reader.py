"""Read the settings file and find all faults in it."""

import configparser
import difflib
import enum
import types
import typing
from collections.abc import Iterator, Mapping
from pathlib import Path

from fuchsiahaven.core import addresses
from fuchsiahaven.operate import settings

MAX_NAME_LENGTH: typing.Final = 63
BOOLEANS: typing.Final[Mapping[str, bool]] = {
    'yes': True,
    'true': True,
    'on': True,
    'no': False,
    'false': False,
    'off': False,
}
#: configparser's section of defaults; the name never occurs in a file.
DEFAULT_SECTION: typing.Final = '\0'

Hints = Mapping[str, object]
Sections = Mapping[str, Mapping[str, str]]


class Fault(typing.NamedTuple):
    """Describe a fault: its place, the given value and what is expected."""

    section: str
    key: str
    value: str
    expected: str


class Reading(typing.NamedTuple):
    """Hold the settings, or None and the faults."""

    settings: settings.Settings | None
    faults: tuple[Fault, ...]


class _Rejected(typing.NamedTuple):
    expected: str


def read_file(path: Path) -> Reading:
    """Read a settings file; an unreadable file is a fault too."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        fault = Fault('', str(path), str(error), 'a readable UTF-8 file')
        return Reading(None, (fault,))
    reading = parse_text(text)
    if reading.settings is None:
        return reading
    faults = tuple(_find_missing_files(reading.settings))
    return Reading(None if faults else reading.settings, faults)


def parse_text(text: str) -> Reading:
    """Parse the text of a settings file."""
    sections, faults = split_sections(text)
    hints = typing.get_type_hints(settings.Settings)
    faults.extend(_find_unknown_keys(sections, hints))
    values: dict[str, typing.Any] = {}
    for name, section_type in hints.items():
        parsed = _parse_section(name, section_type, sections.get(name, {}))
        values[name] = parsed[0]
        faults.extend(parsed[1])
    if faults:
        return Reading(None, tuple(faults))
    complete = settings.Settings(**values)
    faults.extend(_find_tls_faults(complete))
    faults.extend(_find_shared_ports(complete))
    return Reading(None if faults else complete, tuple(faults))


def describe_fault(fault: Fault) -> str:
    """Describe a fault in one line."""
    section = f'[{fault.section}]' if fault.section else ''
    value = f'= {fault.value}' if fault.value else ''
    parts = (part for part in (section, fault.key, value) if part)
    return '{0}: expected {1}'.format(' '.join(parts), fault.expected)


def split_sections(text: str) -> tuple[Sections, list[Fault]]:
    """Split the text into sections, and blank each line that is not valid.

    configparser stops at the first such line. Blanking it and parsing again
    finds the remaining faults. Each round blanks a line, so the loop ends.
    """
    lines = text.splitlines()
    faults: list[Fault] = []
    while True:
        parser = configparser.ConfigParser(
            interpolation=None,
            default_section=DEFAULT_SECTION,
            empty_lines_in_values=False,
        )
        # Keys are case-sensitive: a known key in another case is a fault.
        parser.optionxform = str  # type: ignore[assignment,method-assign]
        try:
            parser.read_string('\n'.join(lines))
        except configparser.Error as error:
            number, fault = _locate_fault(error, lines)
            faults.append(fault)
            lines[number - 1] = ''
        else:
            return {name: parser[name] for name in parser.sections()}, faults


def _locate_fault(
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


def _find_unknown_keys(sections: Sections, hints: Hints) -> Iterator[Fault]:
    for name, section in sections.items():
        section_type = hints.get(name)
        if section_type is None:
            yield Fault(name, '', '', _suggest('section', name, hints))
            continue
        fields = typing.get_type_hints(section_type)
        for key, value in section.items():
            if key not in fields:
                yield Fault(name, key, value, _suggest('key', key, fields))


def _suggest(kind: str, name: str, known: Mapping[str, object]) -> str:
    by_lower_case = {key.lower(): key for key in known}
    close = difflib.get_close_matches(name.lower(), by_lower_case, n=1)
    if close:
        return f'a known {kind}; the nearest is {by_lower_case[close[0]]}'
    return 'a known {0}: {1}'.format(kind, ', '.join(known))


def _parse_section(
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
                faults.append(Fault(name, key, '', _describe_expected(hint)))
            continue
        value = _parse_value(text, hint)
        if isinstance(value, _Rejected):
            faults.append(Fault(name, key, text, value.expected))
        values[key] = value
    return (None if faults else section_type(**values)), faults


def _describe_expected(hint: object) -> str:
    """Describe the value that a required key needs."""
    rejected = _parse_value('', hint)
    return rejected.expected if isinstance(rejected, _Rejected) else 'a value'


def _parse_value(text: str, hint: object) -> object:
    origin = typing.get_origin(hint)
    if origin is typing.Annotated:
        number_type, bounds = typing.get_args(hint)
        return _parse_number(text, number_type, bounds)
    if origin in {types.UnionType, typing.Union}:
        return _parse_value(text, typing.get_args(hint)[0])
    if hint is bool:
        expected = 'one of {0}'.format(', '.join(BOOLEANS))
        return BOOLEANS.get(text.lower(), _Rejected(expected))
    if hint is settings.Verbosity:
        return _parse_choice(text, settings.Verbosity)
    if hint is settings.PolicyName:
        return _parse_choice(text, settings.PolicyName)
    if hint is addresses.Address:
        return addresses.parse(text) or _Rejected('an IP number and port')
    if hint == settings.Addresses:
        return _parse_addresses(text)
    if hint is Path:
        return Path(text) if text else _Rejected('the path of a file')
    return _parse_name(text)


def _parse_number(
    text: str,
    number_type: type[int] | type[float],
    bounds: settings.Bounds,
) -> object:
    kind = 'a whole number' if number_type is int else 'a number'
    rejected = _Rejected(f'{kind} from {bounds.low:g} to {bounds.high:g}')
    try:
        number = number_type(text)
    except ValueError:
        return rejected
    return number if bounds.low <= number <= bounds.high else rejected


def _parse_choice(text: str, choices: type[enum.StrEnum]) -> object:
    try:
        return choices(text.lower())
    except ValueError:
        return _Rejected('one of {0}'.format(', '.join(choices)))


def _parse_addresses(text: str) -> object:
    parsed = [
        addresses.parse(token) for token in text.replace(',', ' ').split()
    ]
    if parsed and None not in parsed:
        return tuple(parsed)
    return _Rejected('IP numbers with ports, separated by commas')


def _parse_name(text: str) -> object:
    """Parse a name that needs no quotes in log lines and metric labels."""
    is_plain = text.isprintable() and not any(
        character in ' "=,\'' for character in text
    )
    if is_plain and 0 < len(text) <= MAX_NAME_LENGTH:
        return text
    return _Rejected(
        f'a name of 1 to {MAX_NAME_LENGTH} characters without spaces'
    )


def _find_tls_faults(complete: settings.Settings) -> Iterator[Fault]:
    for name, section in complete._asdict().items():
        files = [key for key in settings.FILE_KEYS if hasattr(section, key)]
        given = {key for key in files if getattr(section, key) is not None}
        pair = {'tls_certificate', 'tls_key'}
        if len(given & pair) == 1:
            missing = (pair - given).pop()
            yield Fault(name, missing, '', 'a file, as the other is given')
    peers = complete.peers
    required = set(settings.FILE_KEYS)
    given = {key for key in required if getattr(peers, key) is not None}
    if not peers.allow_plain and given != required:
        names = ', '.join(sorted(required - given))
        yield Fault('peers', names, '', 'files, or allow_plain = yes')


def _find_shared_ports(complete: settings.Settings) -> Iterator[Fault]:
    """Find ports of one host that have the same address.

    Ports are shared between processes, so the second listener would not fail.
    The system would give it every other connection, and some callers would
    reach the peer port.
    """
    used: dict[addresses.Address, str] = {}
    for name in ('callers', 'peers', 'metrics'):
        address = getattr(complete, name).address
        if address is None:
            continue
        other = used.setdefault(address, name)
        if other != name:
            expected = f'another address than that of [{other}]'
            yield Fault(
                name, 'address', addresses.format_address(address), expected
            )


def _find_missing_files(complete: settings.Settings) -> Iterator[Fault]:
    for name, section in complete._asdict().items():
        for key in settings.FILE_KEYS:
            path = getattr(section, key, None)
            if path is not None and not path.is_file():
                yield Fault(name, key, str(path), 'a file that exists')
