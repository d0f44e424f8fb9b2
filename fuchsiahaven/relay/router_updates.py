"""Turn news into what the decisions learn, and log what has changed."""

from collections.abc import Callable
from typing import Final

from fuchsiahaven.core import suspects
from fuchsiahaven.relay import evacuations, journal, runners
from fuchsiahaven.routing import deployments, events, facts, instances

PART: Final = 'process'
#: What changes which targets may get new work.
DIRECTORY_SUBJECTS: Final = frozenset(
    (facts.Subject.INSTANCE, facts.Subject.EVACUATION)
)


class RouterUpdater:
    """Own what was learned last of the orders of operators."""

    def __init__(
        self,
        settings: deployments.Settings,
        runner: runners.Runner,
        log: journal.Journal,
        find_obstacle: Callable[[], str],
    ) -> None:
        """Take whom to teach."""
        self.settings = settings
        self.evacuations = evacuations.Evacuations(log)
        self._runner = runner
        self._log = log
        self._find_obstacle = find_obstacle
        self._quarantines: list[suspects.News] = []

    def apply(self, merged: facts.MergeResult) -> None:
        """Take in what has changed."""
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
        """Take in the quarantines that were written since the last time.

        An entry says how often the request was tried, not since when: a
        quarantine that is learned late lasts longer here, and what another
        host finds out by a trial ends it.
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
        # Until the hosts have entered themselves the seeds are all there is.
        hosts = tuple(facts.list_hosts(view))
        count = max(len(hosts), len(self.settings.seeds))
        self._runner.update(events.HostsChanged(count, hosts))
