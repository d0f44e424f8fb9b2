"""Turn news into what the decisions learn, and log what has changed."""

from collections.abc import Callable
from typing import Final

from fuchsiahaven.core import suspects
from fuchsiahaven.relay import evacuations, journal, runner
from fuchsiahaven.routing import deployments, events, facts, instances

PART: Final = 'process'
#: What changes which targets may get new work.
DIRECTING: Final = frozenset((facts.Subject.INSTANCE, facts.Subject.EVACUATION))


class Lessons:
    """Own what was learned last of the orders of operators."""

    def __init__(
        self,
        settings: deployments.Settings,
        driven: runner.Runner,
        log: journal.Journal,
        find_obstacle: Callable[[], str],
    ) -> None:
        """Take whom to teach."""
        self.settings = settings
        self.evacuations = evacuations.Evacuations(log)
        self._runner = driven
        self._log = log
        self._find_obstacle = find_obstacle
        self._quarantines: list[suspects.News] = []

    def learn(self, merged: facts.MergeResult) -> None:
        """Take in what has changed."""
        ledger = merged.view
        if facts.Subject.CONFIGURATION in merged.changed_subjects:
            configuration = facts.get_configuration(ledger)
            self._runner.learn(events.ConfigurationReceived(configuration))
        if merged.changed_subjects & DIRECTING:
            self._direct(ledger)
        if facts.Subject.HOST in merged.changed_subjects:
            self._count_hosts(ledger)
        if facts.Subject.QUARANTINE in merged.changed_subjects:
            self._suspect(ledger)
        desk = self._runner.desk
        self._log.tell(
            PART,
            'learned',
            subjects=sorted(merged.changed_subjects),
            era=ledger.era,
            revision=ledger.revision,
            version=desk.index.configuration.version,
            targets=len(desk.directory.by_name),
            hosts=desk.host_count,
            ready=self._find_obstacle() or 'yes',
        )

    def _direct(self, ledger: facts.StoreView) -> None:
        barred = self.evacuations.take(
            facts.list_evacuations(ledger), self.settings.data_centres
        )
        found = facts.list_instances(ledger)
        directory = instances.build_directory(found, barred)
        self._runner.learn(events.DirectoryChanged(directory))

    def _suspect(self, ledger: facts.StoreView) -> None:
        """Take in the quarantines that were written since the last time.

        An entry says how often the request was tried, not since when: a
        quarantine that is learned late lasts longer here, and what another
        host finds out by a trial ends it.
        """
        entered = facts.list_quarantines(ledger)
        fresh = [it for it in entered if it not in self._quarantines]
        self._quarantines = entered
        found = tuple(
            it._replace(wait=suspects.compute_quarantine(it.crashes))
            for it in fresh
        )
        if found:
            self._runner.post(events.SuspectsReported(found))

    def _count_hosts(self, ledger: facts.StoreView) -> None:
        # Until the hosts have entered themselves the seeds are all there is.
        known = tuple(facts.list_hosts(ledger))
        count = max(len(known), len(self.settings.seeds))
        self._runner.learn(events.HostsChanged(count, known))
