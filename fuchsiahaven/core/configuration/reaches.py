"""Narrow a manifest to what one data centre can reach.

At the largest size the targets of all data centres would take more memory
than control may have on a host, and most of them it could never send to.
"""

from collections.abc import Mapping
from typing import Any

from fuchsiahaven.core.configuration import manifests


def narrow(head: manifests.Head, data_centre: str) -> manifests.Head:
    """Leave out the parts of data centres that no selector falls back to."""
    wanted = {data_centre}
    for selector in head.row['selectors'].values():
        wanted.update(selector['data_centres'])
    groups = {
        name: {**group, 'parts': _pick(group['parts'], wanted)}
        for name, group in head.row['groups'].items()
    }
    row = {**head.row, 'groups': groups}
    keys = [part.key for _, part in manifests.walk(row) if part.key]
    return head._replace(keys=tuple(keys), row=row)


def _pick(parts: Mapping[str, Any], wanted: set[str]) -> Mapping[str, Any]:
    return {name: part for name, part in parts.items() if name in wanted}
