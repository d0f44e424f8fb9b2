"""Apply changes of the store view to the router, and log them."""

from collections.abc import Callable
from typing import Final

from fuchsiahaven.core import suspects
from fuchsiahaven.relay import evacuations, journal, runners
from fuchsiahaven.routing import deployments, events, facts, instances

PART: Final = 'process'
#: Subjects whose changes affect which targets may get new requests.
DIRECTORY_SUBJECTS: Final = frozenset(
    (facts.Subject.INSTANCE, facts.Subject.EVACUATION)
)


class RouterUpdater:
    """Post changes of the store view to the router as events."""

    def __init__(
        self,
        settings: deployments.Settings,
        runner: runners.Runner,
        log: journal.Journal,
        find_obstacle: Callable[[], str],
    ) -> None:
        """Start without quarantines and evacuations."""
        self.settings = settings
        self.evacuations = evacuations.Evacuations(log)
        self._runner = runner
        self._log = log
        self._find_obstacle = find_obstacle
        self._quarantines: list[suspects.News] = []

    def apply(self, merged: facts.MergeResult) -> None:
        """Apply the changed subjects of a merge."""
        view = merged.view
        if facts.Subject.CONFIGURATION in merged.changed_subjects:
            configuration = facts.get_configuration(view)
            self._runner.update(events.ConfigurationReceived(configuration))
        if merged.changed_subjects & DIRECTORY_SUBJECTS:
            self._update_directory(view)
        if facts.Subject.HOST in merged.changed_subjects:
            self._update_hosts(view)
        if facts.Subject.QUARANTINE in merged.changed_subjects:
            self._post_quarantines(view)
        router = self._runner.router
        self._log.log_event(
            PART,
            'learned',
            subjects=sorted(merged.changed_subjects),
            era=view.era,
            revision=view.revision,
            version=router.index.configuration.version,
            targets=len(router.directory.by_name),
            hosts=router.host_count,
            ready=self._find_obstacle() or 'yes',
        )

    def _update_directory(self, view: facts.StoreView) -> None:
        evacuated = self.evacuations.update(
            facts.list_evacuations(view), self.settings.data_centres
        )
        targets = facts.list_instances(view)
        directory = instances.build_directory(targets, evacuated)
        self._runner.update(events.DirectoryChanged(directory))

    def _post_quarantines(self, view: facts.StoreView) -> None:
        """Post the quarantines that were written since the last merge.

        An entry holds the number of crashes, not the start of the
        quarantine. A quarantine that arrives late lasts longer on this host,
        until another host's trial ends it.
        """
        entries = facts.list_quarantines(view)
        added = [it for it in entries if it not in self._quarantines]
        self._quarantines = entries
        reports = tuple(
            it._replace(wait=suspects.compute_quarantine(it.crashes))
            for it in added
        )
        if reports:
            self._runner.post(events.SuspectsReported(reports))

    def _update_hosts(self, view: facts.StoreView) -> None:
        # Until the hosts have written their entries only the seeds are known.
        hosts = tuple(facts.list_hosts(view))
        count = max(len(hosts), len(self.settings.seeds))
        self._runner.update(events.HostsChanged(count, hosts))
