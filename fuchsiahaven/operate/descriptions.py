"""Read a whole description of groups, selectors and classes from INI.

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

The keys of a customer are digests, as `customer digest` makes them. Fields
that are left out have the defaults of the program.
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
from fuchsiahaven.operate import secret_files, settings_reader, words

SECTION_HELP: Final = (
    '[group NAME], [targets GROUP DATA_CENTRE], [selector NAME], '
    '[class NAME], [customer NAME]'
)
SELECTOR_FIELDS: Final[Mapping[str, type]] = {
    'class': str,
    'expression': str,
    'data_centres': str,
}
GROUP_FIELDS: Final[Mapping[str, type]] = {'labels': str, **words.CAPS}
CUSTOMER_FIELDS: Final[Mapping[str, type]] = {'keys': str, **words.CUSTOMER}
#: The word that begins the sections of each kind.
KINDS: Final[Mapping[str, str]] = {
    'groups': 'group',
    'selectors': 'selector',
    'classes': 'class',
    'customers': 'customer',
}

Fault = settings_reader.Fault
describe = settings_reader.describe
Section = Mapping[str, str]
Rows = dict[str, dict[str, Any]]


class Reading(NamedTuple):
    """Hold what a file describes, and the faults that forbid to use it."""

    configuration: configurations.Configuration
    faults: tuple[Fault, ...]


def read_file(path: Path) -> Reading:
    """Read a description; a file that cannot be read is a fault too."""
    try:
        return read_text(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError) as error:
        fault = Fault('', str(path), str(error), 'a readable UTF-8 file')
        return Reading(configurations.EMPTY, (fault,))


def read_text(text: str) -> Reading:
    """Read the text of a description and find every fault in it."""
    sections, faults = settings_reader.split(text)
    rows: Rows = {kind: {} for kind in KINDS}
    # Groups come before their targets, wherever they stand in the file.
    for head in sorted(sections, key=_order):
        faults.extend(_read_section(head, sections[head], rows))
    if not faults:
        faults.extend(_check_shapes(rows))
    if faults:
        return Reading(configurations.EMPTY, tuple(faults))
    return Reading(trees.build_configuration(rows, 0), ())


def _order(head: str) -> tuple[bool, str]:
    return head.startswith('targets'), head


def _read_section(head: str, section: Section, rows: Rows) -> list[Fault]:
    match head.split():
        case ['group', name]:
            return _read_group(head, section, rows['groups'], name)
        case ['targets', group, centre] if group in rows['groups']:
            targets = rows['groups'][group]['targets']
            return _read_targets(head, section, targets, centre)
        case ['targets', group, _]:
            return [Fault(head, '', '', f'a section [group {group}] too')]
        case ['selector', name]:
            fields, faults = _read_fields(head, section, SELECTOR_FIELDS)
            centres = words.split_names(fields.get('data_centres', ''))
            row = {**fields, 'data_centres': list(centres)}
            rows['selectors'][name] = row
            return faults
        case ['class', name]:
            plain = trees.encode_class(configurations.RequestClass(name))
            fields, faults = _read_fields(head, section, words.POLICY)
            rows['classes'][name] = {**plain, **fields}
            return faults
        case ['customer', name]:
            return _read_customer(head, section, rows['customers'], name)
    return [Fault(head, '', '', SECTION_HELP)]


def _read_customer(
    head: str, section: Section, found: dict[str, Any], name: str
) -> list[Fault]:
    plain = trees.encode_customer(customers.Customer(name))
    fields, found_faults = _read_fields(head, section, CUSTOMER_FIELDS)
    # What stands under a name that is misspelt may be a key.
    faults = [it._replace(value='') for it in found_faults]
    digests = words.split_names(fields.pop('keys', ''))
    if len(set(digests)) < len(digests):
        faults.append(Fault(head, 'keys', '', 'each key once'))
    if not all(secret_files.is_digest(it) for it in digests):
        faults.append(Fault(head, 'keys', '', secret_files.DIGEST_HELP))
    found[name] = {**plain, **fields, 'keys': dict.fromkeys(digests, True)}
    return faults


def _read_group(
    head: str, section: Section, groups: dict[str, Any], name: str
) -> list[Fault]:
    plain = trees.encode_group(configurations.Group(name, (), ()))
    fields, faults = _read_fields(head, section, GROUP_FIELDS)
    texts = words.split_names(fields.pop('labels', ''))
    labels: dict[str, str] = {}
    for text in texts:
        try:
            labels.update([words.split_pair(text)])
        except argparse.ArgumentTypeError as error:
            faults.append(Fault(head, 'labels', text, str(error)))
    groups[name] = {**plain, **fields, 'labels': labels}
    return faults


def _read_fields(
    head: str, section: Section, known: Mapping[str, type]
) -> tuple[dict[str, Any], list[Fault]]:
    fields: dict[str, Any] = {}
    faults: list[Fault] = []
    for key, text in section.items():
        try:
            fields[key] = words.read_field(key, text, known)
        except argparse.ArgumentTypeError as error:
            faults.append(Fault(head, key, text, str(error)))
    return fields, faults


def _read_targets(
    head: str, section: Section, targets: dict[str, Any], centre: str
) -> list[Fault]:
    faults: list[Fault] = []
    for names, found in section.items():
        try:
            pairs = words.expand_pair(names, found)
        except argparse.ArgumentTypeError as error:
            faults.append(Fault(head, names, found, str(error)))
            continue
        for name, address in pairs:
            if name in targets:
                faults.append(Fault(head, names, name, 'each target once'))
            targets[name] = [centre, address]
    return faults


def _check_shapes(rows: Rows) -> Iterator[Fault]:
    for kind, word in KINDS.items():
        for name in rows[kind]:
            fault = tree_validation.find_fault(rows, [(kind, name)])
            if fault is not None:
                yield Fault(f'{word} {name}', '', '', fault)
