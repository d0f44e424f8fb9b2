"""Log what a restore of the store from a copy has changed."""

from typing import Final

from fuchsiahaven.relay import journal
from fuchsiahaven.routing import facts

PART: Final = 'news'
#: Facts that one log line names.
MAX_LOGGED_NAMES: Final = 8


def log_restore(
    log: journal.Journal, merged: facts.MergeResult, source: str
) -> None:
    """Log a restore and the facts that it has dropped."""
    if merged.restore is not None:
        restore = merged.restore
        log.log_event(
            PART,
            'the store came back from a copy',
            era_before=restore.before.era,
            era=restore.after.era,
            revision_before=restore.before.revision,
            revision=restore.after.revision,
            kept=restore.kept,
            taken=restore.changed,
            source=source,
        )
    if merged.dropped:
        names = [f'{key.subject} {key.name}' for key in merged.dropped]
        log.log_event(
            PART,
            'dropped after a restore',
            count=len(names),
            names=names[:MAX_LOGGED_NAMES],
        )
