"""Implement `customer`: manage customers and their keys."""

import argparse
import sys
from typing import Final

from fuchsiahaven.core.configuration import changes, configurations
from fuchsiahaven.core.customers import customers
from fuchsiahaven.operate import (
    exit_codes,
    key_files,
    lookups,
    submissions,
    value_parsing,
    verbs,
)

EPILOG: Final = f"""examples:
  fuchsiahaven customer set shop rate=20 burst=40 priority=0
  fuchsiahaven customer add-keys shop --keys - < key.txt
  fuchsiahaven customer remove-keys shop --digest 9f02...
  fuchsiahaven customer digest --keys key.txt

fields: {', '.join(value_parsing.CUSTOMER_FIELDS)}; a rate of 0 is no limit,
priority=none uses that of the class. Keys are read from a file, one a line;
only their digests are stored or shown.

{submissions.EXIT_CODES}"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    subparsers = verbs.add_read_verbs(parser, EPILOG)
    set_parser = verbs.add_change_verb(
        subparsers, 'set', 'create one, or set some fields'
    )
    set_parser.add_argument(
        'fields',
        nargs='*',
        type=value_parsing.parse_pair,
        metavar='FIELD=VALUE',
    )
    verbs.add_change_verb(subparsers, 'delete', 'delete one with its keys')
    _add_key_arguments(
        verbs.add_change_verb(subparsers, 'add-keys', 'add keys to one')
    )
    _add_key_arguments(
        verbs.add_change_verb(subparsers, 'remove-keys', 'remove keys from one')
    )
    _add_key_arguments(
        subparsers.add_parser('digest', help='print the digests of keys')
    )


def run(arguments: argparse.Namespace) -> int:
    """Run the verb."""
    exit_code = verbs.run_read_verb(arguments, _list, _show)
    if exit_code is not None:
        return exit_code
    try:
        if arguments.verb == 'digest':
            print('\n'.join(_read_digests(arguments)))
            return exit_codes.SUCCESS
        change = _build_change(arguments)
    except argparse.ArgumentTypeError as error:
        print(error, file=sys.stderr)
        return exit_codes.USAGE
    return submissions.submit(arguments, change)


def _add_key_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--keys',
        metavar='FILE',
        help='file with a key on each line; - for standard input',
    )
    parser.add_argument(
        '--digest', action='append', default=[], help='the digest of a key'
    )


def _build_change(arguments: argparse.Namespace) -> changes.Change:
    match arguments.verb:
        case 'add-keys':
            return changes.AddKeys(arguments.name, _read_digests(arguments))
        case 'remove-keys':
            return changes.RemoveKeys(arguments.name, _read_digests(arguments))
        case 'delete':
            return changes.DeleteCustomer(arguments.name)
    fields = value_parsing.parse_customer_fields(arguments.fields)
    return changes.SetCustomer(arguments.name, fields)


def _read_digests(arguments: argparse.Namespace) -> tuple[str, ...]:
    file_digests = (
        key_files.read_digests(arguments.keys) if arguments.keys else ()
    )
    digests = (*arguments.digest, *file_digests)
    if not all(key_files.is_digest(it) for it in digests):
        # The message omits the value, which may be a key given by mistake.
        raise argparse.ArgumentTypeError(key_files.DIGEST_FORMAT)
    if not digests:
        raise argparse.ArgumentTypeError('expected --keys FILE or --digest')
    if len(set(digests)) < len(digests):
        raise argparse.ArgumentTypeError('a key is listed twice')
    return digests


def _list(
    arguments: argparse.Namespace, configuration: configurations.Configuration
) -> int:
    return lookups.print_rows(
        [_summarize(it) for it in configuration.customers],
        ('customer', 'keys', 'rate', 'burst', 'priority'),
        as_json=arguments.json,
        revision=configuration.revision,
    )


def _show(
    arguments: argparse.Namespace, configuration: configurations.Configuration
) -> int:
    named = [it for it in configuration.customers if it.name == arguments.name]
    if not named:
        return lookups.print_missing('customer', arguments.name)
    row = _summarize(named[0])
    row.pop('keys')
    return lookups.print_rows(
        [row],
        ('customer',),
        as_json=arguments.json,
        digests=list(named[0].keys),
        revision=configuration.revision,
    )


def _summarize(customer: customers.Customer) -> dict[str, object]:
    priority = value_parsing.NO_PRIORITY
    return {
        'customer': customer.name,
        'keys': len(customer.keys),
        'rate': customer.rate,
        'burst': customer.burst,
        'priority': priority
        if customer.priority is None
        else customer.priority,
    }
