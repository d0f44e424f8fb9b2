"""Test how often the health of a target is probed."""

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import messages
from tests.core import rig

SEARCH = configurations.RequestClass('search')


class _ProbedTarget:
    """Simulate one target that answers ten times a second."""

    def __init__(self, version: int | None = 7) -> None:
        self.rig = rig.Rig(SEARCH, shards=1, replicas=1)
        self._token = 0
        self.rig.report(0, 0, 1, sequence=2, version=version)

    def answer_for(self, duration_s: int, version: int | None) -> int:
        """Answer for some seconds; return the number of health probes."""
        return sum(self._answer_once(version) for _ in range(duration_s * 10))

    def _answer_once(self, version: int | None) -> int:
        self._token += 1
        for send in self.rig.submit(self._token):
            answer = messages.PartAnswered(
                send.part, send.target.name, (), rig.LIVE, rig.LOAD, version
            )
            self.rig.handle(answer)
        actions = self.rig.pass_time(0.1)
        return sum(isinstance(action, messages.Probe) for action in actions)


def test_answers_that_confirm_the_report_replace_probes() -> None:
    """Replace probes of a busy target by answers that confirm its report.

    Guards against a probe a second for each target although nothing changes:
    a target answers many times a second and is probed every second as well,
    so that with hundreds of targets the probes of a host exceed the budget
    of control traffic. Answers carry the version of the health report.
    """
    assert _ProbedTarget().answer_for(20, version=7) <= 1


def test_a_changed_version_is_probed_within_a_second() -> None:
    """Probe a busy target soon after the version in its answers changes.

    Guards against a new snapshot that is not used although all replicas hold
    it: probes pause because answers confirm an old report, the target loads a
    snapshot, and the version in its answers is not compared with that of the
    report.
    """
    target = _ProbedTarget()
    target.answer_for(5, version=7)
    assert target.answer_for(2, version=8) >= 1


def test_a_target_without_versions_is_probed_every_second() -> None:
    """Probe a target every second if its answers have no version.

    Guards against a target whose leaving is detected late: it answers
    requests, and only its health endpoint reports that it leaves. An answer
    without a version must not count as a confirmation.
    """
    assert _ProbedTarget(version=None).answer_for(10, version=None) >= 9


def test_a_target_is_probed_from_time_to_time_despite_answers() -> None:
    """Bound the time for which answers can replace probes.

    Guards against a wrong confirmation that is accepted for ever: a target
    keeps its version although its holdings have changed, and its answers
    confirm the old report without a limit.
    """
    assert _ProbedTarget().answer_for(70, version=7) >= 2
