"""Parse a whole description of the configuration from INI.

    [group socios-web]
    labels = kind=listings, tier=gold
    slots = 2
    connections = 25
    connect_ms = 6

    [targets socios-web Quilicura]
    socios-web-{01..20}/{1..2} = 10.11.{1..20}.{1..2}:7001

    [selector price-check]
    class = price-check
    expression = kind=listings
    data_centres = Pudahuel

    [class price-check]
    deadline_ms = 800

    [customer shop]
    keys = 9f02…
    rate = 20
    burst = 40

The keys of a customer are digests, as `customer digest` prints them. Fields
that are omitted have their default values.
"""

import argparse
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple

from fuchsiahaven.core.configuration import (
    configurations,
    tree_validation,
    trees,
)
from fuchsiahaven.core.customers import customers
from fuchsiahaven.operate import key_files, settings_reader, value_parsing

SECTION_HELP: Final = (
    '[group NAME], [targets GROUP DATA_CENTRE], [selector NAME], '
    '[class NAME], [customer NAME]'
)
SELECTOR_FIELDS: Final[Mapping[str, type]] = {
    'class': str,
    'expression': str,
    'data_centres': str,
}
GROUP_FIELDS: Final[Mapping[str, type]] = {
    'labels': str,
    **value_parsing.CAP_FIELDS,
}
CUSTOMER_FIELDS: Final[Mapping[str, type]] = {
    'keys': str,
    **value_parsing.CUSTOMER_FIELDS,
}
#: The first word of the section headers of each kind of object.
KIND_WORDS: Final[Mapping[str, str]] = {
    'groups': 'group',
    'selectors': 'selector',
    'classes': 'class',
    'customers': 'customer',
}

Fault = settings_reader.Fault
describe_fault = settings_reader.describe_fault
Section = Mapping[str, str]
Rows = dict[str, dict[str, Any]]


class Reading(NamedTuple):
    """Hold the described configuration; it is empty where there are faults."""

    configuration: configurations.Configuration
    faults: tuple[Fault, ...]


def read_file(path: Path) -> Reading:
    """Read a description; an unreadable file is a fault too."""
    try:
        return parse_text(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError) as error:
        fault = Fault('', str(path), str(error), 'a readable UTF-8 file')
        return Reading(configurations.EMPTY, (fault,))


def parse_text(text: str) -> Reading:
    """Parse the text of a description and find every fault in it."""
    sections, faults = settings_reader.split_sections(text)
    rows: Rows = {kind: {} for kind in KIND_WORDS}
    # Groups are parsed before their targets, whatever their order in the file.
    for header in sorted(sections, key=_sort_key):
        faults.extend(_parse_section(header, sections[header], rows))
    if not faults:
        faults.extend(_validate_rows(rows))
    if faults:
        return Reading(configurations.EMPTY, tuple(faults))
    return Reading(trees.build_configuration(rows, 0), ())


def _sort_key(header: str) -> tuple[bool, str]:
    return header.startswith('targets'), header


def _parse_section(header: str, section: Section, rows: Rows) -> list[Fault]:
    match header.split():
        case ['group', name]:
            return _parse_group(header, section, rows['groups'], name)
        case ['targets', group, data_centre] if group in rows['groups']:
            targets = rows['groups'][group]['targets']
            return _parse_targets(header, section, targets, data_centre)
        case ['targets', group, _]:
            return [Fault(header, '', '', f'a section [group {group}] as well')]
        case ['selector', name]:
            fields, faults = _parse_fields(header, section, SELECTOR_FIELDS)
            data_centres = value_parsing.parse_names(
                fields.get('data_centres', '')
            )
            row = {**fields, 'data_centres': list(data_centres)}
            rows['selectors'][name] = row
            return faults
        case ['class', name]:
            defaults = trees.encode_class(configurations.RequestClass(name))
            fields, faults = _parse_fields(
                header, section, value_parsing.CLASS_FIELDS
            )
            rows['classes'][name] = {**defaults, **fields}
            return faults
        case ['customer', name]:
            return _parse_customer(header, section, rows['customers'], name)
    return [Fault(header, '', '', SECTION_HELP)]


def _parse_customer(
    header: str, section: Section, rows: dict[str, Any], name: str
) -> list[Fault]:
    defaults = trees.encode_customer(customers.Customer(name))
    fields, field_faults = _parse_fields(header, section, CUSTOMER_FIELDS)
    # The value of a misspelt field may be a key, so values are not reported.
    faults = [it._replace(value='') for it in field_faults]
    digests = value_parsing.parse_names(fields.pop('keys', ''))
    if len(set(digests)) < len(digests):
        faults.append(Fault(header, 'keys', '', 'each key only once'))
    if not all(key_files.is_digest(it) for it in digests):
        faults.append(Fault(header, 'keys', '', key_files.DIGEST_FORMAT))
    rows[name] = {**defaults, **fields, 'keys': dict.fromkeys(digests, True)}
    return faults


def _parse_group(
    header: str, section: Section, groups: dict[str, Any], name: str
) -> list[Fault]:
    defaults = trees.encode_group(configurations.Group(name, (), ()))
    fields, faults = _parse_fields(header, section, GROUP_FIELDS)
    texts = value_parsing.parse_names(fields.pop('labels', ''))
    labels: dict[str, str] = {}
    for text in texts:
        try:
            labels.update([value_parsing.parse_pair(text)])
        except argparse.ArgumentTypeError as error:
            faults.append(Fault(header, 'labels', text, str(error)))
    groups[name] = {**defaults, **fields, 'labels': labels}
    return faults


def _parse_fields(
    header: str, section: Section, field_types: Mapping[str, type]
) -> tuple[dict[str, Any], list[Fault]]:
    fields: dict[str, Any] = {}
    faults: list[Fault] = []
    for key, text in section.items():
        try:
            fields[key] = value_parsing.parse_field(key, text, field_types)
        except argparse.ArgumentTypeError as error:
            faults.append(Fault(header, key, text, str(error)))
    return fields, faults


def _parse_targets(
    header: str, section: Section, targets: dict[str, Any], data_centre: str
) -> list[Fault]:
    faults: list[Fault] = []
    for names, addresses in section.items():
        try:
            pairs = value_parsing.expand_pair(names, addresses)
        except argparse.ArgumentTypeError as error:
            faults.append(Fault(header, names, addresses, str(error)))
            continue
        for name, address in pairs:
            if name in targets:
                faults.append(Fault(header, names, name, 'each target once'))
            targets[name] = [data_centre, address]
    return faults


def _validate_rows(rows: Rows) -> Iterator[Fault]:
    for kind, word in KIND_WORDS.items():
        for name in rows[kind]:
            fault = tree_validation.find_fault(rows, [(kind, name)])
            if fault is not None:
                yield Fault(f'{word} {name}', '', '', fault)
