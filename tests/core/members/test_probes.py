"""Test how seldom a target is asked for its health."""

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import messages
from tests.core import rig

SEARCH = configurations.RequestClass('search')


class _ProbedTarget:
    """Drive one target that answers every tenth of a second."""

    def __init__(self, version: int | None = 7) -> None:
        self.rig = rig.Rig(SEARCH, shards=1, replicas=1)
        self._token = 0
        self.rig.report(0, 0, 1, sequence=2, version=version)

    def answer_for(self, duration_s: int, version: int | None) -> int:
        """Answer for a while; return how often its health was asked."""
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
    """A busy target costs a probe a second although nothing changes.

    Symptom: at hundreds of targets a host's probes alone exceed what control
    may cost. Sequence: a target answers many times a second, and is asked
    for its health every second as well. Cause: answers said nothing of what
    the health report would say.
    """
    assert _ProbedTarget().answer_for(20, version=7) <= 1


def test_a_changed_version_is_probed_within_a_second() -> None:
    """New holdings of a busy target go unseen while its answers go on.

    Symptom: a new snapshot is not used though all replicas hold it.
    Sequence: probes rest because answers confirm an old report; the target
    loads a snapshot. Cause: the confirmation was believed without comparing
    what it confirms.
    """
    target = _ProbedTarget()
    target.answer_for(5, version=7)
    assert target.answer_for(2, version=8) >= 1


def test_a_target_without_versions_is_probed_every_second() -> None:
    """A target that tells no version is believed to be unchanged.

    Symptom: its leaving is seen late. Sequence: it answers, and its health
    endpoint alone says that it leaves. Cause: an answer without a version
    counted as a confirmation.
    """
    assert _ProbedTarget(version=None).answer_for(10, version=None) >= 9


def test_a_target_is_probed_from_time_to_time_despite_answers() -> None:
    """A wrong confirmation is believed for ever.

    Symptom: a target keeps a version although its holdings changed, and the
    host never learns. Sequence: it confirms on and on. Cause: nothing
    bounded how long answers can stand for reports.
    """
    assert _ProbedTarget().answer_for(70, version=7) >= 2
