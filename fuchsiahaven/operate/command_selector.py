"""Implement `selector`: list, show, set and delete selectors."""

import argparse
from typing import Final

from fuchsiahaven.core.configuration import changes, configurations, selectors
from fuchsiahaven.operate import lookups, submissions, value_parsing, verbs

EPILOG: Final = f"""examples:
  fuchsiahaven selector set price-check --class price-check \\
      --expression 'kind=listings,tier in (gold,silver),!cold'
  fuchsiahaven selector set price-check --data-centres Maipú,Pudahuel
  fuchsiahaven selector delete price-check

{submissions.EXIT_CODES}"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    subparsers = verbs.add_read_verbs(parser, EPILOG)
    set_parser = verbs.add_change_verb(
        subparsers, 'set', 'create one, or set some fields'
    )
    set_parser.add_argument('--class', dest='request_class', metavar='CLASS')
    set_parser.add_argument('--expression', help='over labels of groups')
    set_parser.add_argument(
        '--data-centres',
        type=value_parsing.parse_names,
        metavar='A,B',
        help='other data centres to use if the own cannot serve; may be empty',
    )
    verbs.add_change_verb(subparsers, 'delete', 'delete one')


def run(arguments: argparse.Namespace) -> int:
    """Run the verb."""
    exit_code = verbs.run_read_verb(arguments, _list, _show)
    if exit_code is not None:
        return exit_code
    if arguments.verb == 'delete':
        deletion = changes.DeleteSelector(arguments.name)
        return submissions.submit(arguments, deletion)
    data_centres = arguments.data_centres
    fields = {
        'class': arguments.request_class,
        'expression': arguments.expression,
        'data_centres': None if data_centres is None else list(data_centres),
    }
    given_fields = tuple(it for it in fields.items() if it[1] is not None)
    change = changes.SetSelector(arguments.name, given_fields)
    return submissions.submit(arguments, change)


def _list(
    arguments: argparse.Namespace, configuration: configurations.Configuration
) -> int:
    rows = [_build_row(selector) for selector in configuration.selectors]
    return lookups.print_rows(
        rows,
        ('selector', 'class', 'expression', 'data_centres'),
        as_json=arguments.json,
        revision=configuration.revision,
    )


def _show(
    arguments: argparse.Namespace, configuration: configurations.Configuration
) -> int:
    by_name = {
        candidate.name: candidate for candidate in configuration.selectors
    }
    selector = by_name.get(arguments.name)
    if selector is None:
        return lookups.print_missing('selector', arguments.name)
    expression = selectors.parse(selector.expression)
    group_names = [
        group.name
        for group in configuration.groups
        if isinstance(expression, selectors.Expression)
        and selectors.matches(expression, dict(group.labels))
    ]
    return lookups.print_rows(
        [_build_row(selector)],
        ('selector', 'class', 'expression', 'data_centres'),
        as_json=arguments.json,
        reaches=group_names,
        revision=configuration.revision,
    )


def _build_row(selector: configurations.Selector) -> dict[str, object]:
    return {
        'selector': selector.name,
        'class': selector.request_class,
        'expression': selector.expression,
        'data_centres': ','.join(selector.data_centres),
    }
