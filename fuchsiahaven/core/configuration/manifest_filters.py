"""Reduce a manifest to the parts that one data centre can reach.

In the largest system the targets of all data centres would exceed the memory
of a host's control process, which could not send to most of them anyway.
"""

from collections.abc import Mapping
from typing import Any

from fuchsiahaven.core.configuration import manifests


def filter_by_data_centre(
    head: manifests.Head, data_centre: str
) -> manifests.Head:
    """Keep the parts of a data centre and of all fallbacks of selectors."""
    wanted_centres = {data_centre}
    for selector in head.row['selectors'].values():
        wanted_centres.update(selector['data_centres'])
    groups = {
        name: {**group, 'parts': _select_parts(group['parts'], wanted_centres)}
        for name, group in head.row['groups'].items()
    }
    row = {**head.row, 'groups': groups}
    part_keys = [
        part.key for _, part in manifests.iterate_parts(row) if part.key
    ]
    return head._replace(part_keys=tuple(part_keys), row=row)


def _select_parts(
    parts: Mapping[str, Any], wanted_centres: set[str]
) -> Mapping[str, Any]:
    return {
        name: part for name, part in parts.items() if name in wanted_centres
    }
