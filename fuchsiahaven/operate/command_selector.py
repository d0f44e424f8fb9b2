"""List, show, set and delete selectors."""

import argparse
from typing import Final

from fuchsiahaven.core.configuration import changes, configurations, selectors
from fuchsiahaven.operate import lookups, submissions, verbs, words

EPILOG: Final = f"""examples:
  fuchsiahaven selector set price-check --class price-check \\
      --expression 'kind=listings,tier in (gold,silver),!cold'
  fuchsiahaven selector set price-check --data-centres Maipú,Pudahuel
  fuchsiahaven selector delete price-check

{submissions.EXIT_CODES}"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    found = verbs.add_reading(parser, EPILOG)
    setting = verbs.add_change(found, 'set', 'create one, or set some fields')
    setting.add_argument('--class', dest='request_class', metavar='CLASS')
    setting.add_argument('--expression', help='over labels of groups')
    setting.add_argument(
        '--data-centres',
        type=words.split_names,
        metavar='A,B',
        help='others that may serve when the own one cannot; empty for none',
    )
    verbs.add_change(found, 'delete', 'delete one')


def run(arguments: argparse.Namespace) -> int:
    """Run the verb."""
    read = verbs.read(arguments, _list, _show)
    if read is not None:
        return read
    if arguments.verb == 'delete':
        deleting = changes.DeleteSelector(arguments.name)
        return submissions.submit(arguments, deleting)
    centres = arguments.data_centres
    fields = {
        'class': arguments.request_class,
        'expression': arguments.expression,
        'data_centres': None if centres is None else list(centres),
    }
    given = tuple(it for it in fields.items() if it[1] is not None)
    change = changes.SetSelector(arguments.name, given)
    return submissions.submit(arguments, change)


def _list(
    arguments: argparse.Namespace, configuration: configurations.Configuration
) -> int:
    rows = [_write_row(selector) for selector in configuration.selectors]
    return lookups.print_rows(
        rows,
        ('selector', 'class', 'expression', 'data_centres'),
        as_json=arguments.json,
        revision=configuration.revision,
    )


def _show(
    arguments: argparse.Namespace, configuration: configurations.Configuration
) -> int:
    named = {each.name: each for each in configuration.selectors}
    selector = named.get(arguments.name)
    if selector is None:
        return lookups.print_missing('selector', arguments.name)
    expression = selectors.parse(selector.expression)
    reached = [
        group.name
        for group in configuration.groups
        if isinstance(expression, selectors.Expression)
        and selectors.matches(expression, dict(group.labels))
    ]
    return lookups.print_rows(
        [_write_row(selector)],
        ('selector', 'class', 'expression', 'data_centres'),
        as_json=arguments.json,
        reaches=reached,
        revision=configuration.revision,
    )


def _write_row(selector: configurations.Selector) -> dict[str, object]:
    return {
        'selector': selector.name,
        'class': selector.request_class,
        'expression': selector.expression,
        'data_centres': ','.join(selector.data_centres),
    }
