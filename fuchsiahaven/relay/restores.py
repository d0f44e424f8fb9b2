"""Tell operators what a store that came back from a copy has brought."""

from typing import Final

from fuchsiahaven.relay import journal
from fuchsiahaven.routing import facts

PART: Final = 'news'
#: Facts that one line names.
MOST_NAMED: Final = 8


def tell(log: journal.Journal, merged: facts.MergeResult, source: str) -> None:
    """Write lines for a restore and for what it has dropped."""
    if merged.restore is not None:
        told = merged.restore
        log.tell(
            PART,
            'the store came back from a copy',
            era_before=told.before.era,
            era=told.after.era,
            revision_before=told.before.revision,
            revision=told.after.revision,
            kept=told.kept,
            taken=told.changed,
            source=source,
        )
    if merged.dropped:
        names = [f'{key.subject} {key.name}' for key in merged.dropped]
        log.tell(
            PART,
            'dropped after a restore',
            count=len(names),
            names=names[:MOST_NAMED],
        )
