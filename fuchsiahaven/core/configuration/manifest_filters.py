"""Narrow a manifest to what one data centre can reach.

At the largest size the targets of all data centres would take more memory
than control may have on a host, and most of them it could never send to.
"""

from collections.abc import Mapping
from typing import Any

from fuchsiahaven.core.configuration import manifests


def filter_by_data_centre(
    head: manifests.Head, data_centre: str
) -> manifests.Head:
    """Leave out the parts of data centres that no selector falls back to."""
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
