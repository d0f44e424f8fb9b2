"""Test the operators' commands against the platform's stand-in."""

import asyncio
import contextlib
import json
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    configurations,
    manifests,
    patches,
    store_reads,
)
from fuchsiahaven.core.members import patch_codecs
from fuchsiahaven.edge import config_client, store
from fuchsiahaven.operate import command_watch, commands, exit_codes, statuses
from standins import platform, wire

EXAMPLES = Path(__file__).parents[2] / 'examples'
TARGETS = 'Odori/c-{01..03}/1=10.0.0.{1..3}:7001'


class CommandResult(NamedTuple):
    """Hold the result of a command: exit code, JSON and error output."""

    exit_code: int
    body: dict[str, Any]
    errors: str


class HostStandIn:
    """Stand in for a host's peer port; report the given revisions in order."""

    def __init__(
        self, name: str, revisions: list[int], data_centre: str = 'Odori'
    ) -> None:
        self.name = name
        self.revisions = revisions
        self.data_centre = data_centre
        self.address = ''
        self.configuration = configurations.EMPTY
        self.quarantined: list[dict[str, object]] = []

    def connection_opened(self, channel: wire.Channel) -> None:
        """Accept every connection."""

    def connection_closed(self, channel: wire.Channel) -> None:
        """Ignore the end of a connection."""

    def request_received(
        self, channel: wire.Channel, request: wire.Request
    ) -> None:
        if request.path.startswith('/v1/configuration'):
            patch = patches.diff(
                patches.EMPTY, patches.stamp_configuration(self.configuration)
            )
            message = patch_codecs.PatchMessage(self.name, (patch,))
            channel.reply(200, patch_codecs.encode_patches(message).decode())
            return
        revisions = self.revisions
        revision = revisions.pop(0) if len(revisions) > 1 else revisions[0]
        body = {
            'host': self.name,
            'data_centre': self.data_centre,
            'state': 'alive',
            'revision': revision,
        }
        if self.quarantined:
            body['quarantined'] = self.quarantined
        channel.reply(200, json.dumps(body))

    def build_entry(self) -> dict[str, object]:
        return {
            'name': self.name,
            'kind': 'entry',
            'address': self.address,
            'data_centre': self.data_centre,
            'state': 'live',
        }


class Deployment:
    """Run the platform and hosts in a thread, and commands against them."""

    def __init__(self, capsys: pytest.CaptureFixture[str]) -> None:
        self.platform = platform.Platform()
        self.loop = asyncio.new_event_loop()
        self._capsys = capsys
        servers = self.run_coroutine(platform.serve(self.platform, [0]))
        self.address = find_address(servers[0])

    def run_coroutine(self, coroutine: Any) -> Any:
        if not self.loop.is_running():
            threading.Thread(target=self.loop.run_forever, daemon=True).start()
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def run(self, *tokens: str) -> CommandResult:
        options = ('--platform', self.address, '--timeout', '0.2', '--json')
        exit_code = commands.main([*tokens, *options])
        captured = self._capsys.readouterr()
        body = json.loads(captured.out) if captured.out.strip() else {}
        return CommandResult(exit_code, body, captured.err)

    def change(self, *tokens: str) -> CommandResult:
        result = self.run(*tokens, '--operator', 'ana')
        assert result.exit_code == exit_codes.SUCCESS, result
        return result

    def read(self) -> configurations.Configuration:
        with contextlib.closing(store.Store(f'http://{self.address}')) as it:
            loaded = config_client.read_configuration(it)
        assert isinstance(loaded, store_reads.LoadedManifest)
        return loaded.manifest.configuration

    def serve(self, *hosts: HostStandIn) -> None:
        for host in hosts:
            host.address = find_address(
                self.run_coroutine(wire.listen(host, 0))
            )
        self.platform.set_host_list([each.build_entry() for each in hosts])


def keep_data_centre(
    configuration: configurations.Configuration, data_centre: str
) -> configurations.Configuration:
    groups = [
        group._replace(
            targets=tuple(
                it for it in group.targets if it.data_centre == data_centre
            )
        )
        for group in configuration.groups
    ]
    return configuration._replace(groups=tuple(groups))


def find_address(server: asyncio.Server) -> str:
    return '{0}:{1}'.format(*server.sockets[0].getsockname())


@pytest.fixture
def deployment(capsys: pytest.CaptureFixture[str]) -> Iterator[Deployment]:
    started = Deployment(capsys)
    with contextlib.ExitStack() as stack:
        stack.callback(started.loop.call_soon_threadsafe, started.loop.stop)
        yield started


@pytest.fixture
def seeded(deployment: Deployment) -> Deployment:
    deployment.change(
        'group', 'create', 'g', '--label', 'a=b', '--target', TARGETS
    )
    return deployment


def test_an_operator_makes_shows_and_undoes_changes(seeded: Deployment) -> None:
    seeded.change('class', 'set', 'c', 'deadline_ms=800')
    selector = ('selector', 'set', 's', '--class', 'c', '--expression', 'a=b')
    seeded.change(*selector)
    assert seeded.run('selector', 'show', 's').body['reaches'] == ['g']
    seeded.change('group', 'create', 'g2', '--label', 'a=b', '--force')
    relabelled = seeded.change('group', 'label', 'g2', 'a=x').body['change']
    assert relabelled['what'].endswith('c reaches -g2')
    seeded.change('group', 'delete', 'g2')
    refused = seeded.run('group', 'label', 'g', 'a-')
    assert refused.exit_code == exit_codes.FAILED
    assert 'reaches no group' in refused.body['error']['detail']
    drained = seeded.change('target', 'drain', 'g', 'c-{02..03}/1')
    shown = seeded.run('group', 'show', 'g').body
    states = [row['state'] for row in shown['rows']]
    assert states == ['live', 'leaving', 'leaving']
    change_id = drained.body['change']['id']
    undone = seeded.change('undo', change_id).body['change']
    assert (undone['revision'], undone['undoes']) == (8, change_id)
    repeated = seeded.change('target', 'return', 'g', 'c-02/1')
    assert repeated.body == {'status': 'unchanged', 'revision': 8}
    rows = seeded.run('history').body['rows']
    assert [row['revision'] for row in rows] == [8, 7, 6, 5, 4, 3, 2, 1]
    shown = seeded.run('history', 'show', '7').body
    assert shown['edits'][0] == [
        ['groups', 'g', 'leaving', 'c-02/1'],
        None,
        True,
    ]


def test_a_conflict_shows_the_other_change(
    seeded: Deployment,
) -> None:
    """Guard against a change that overwrites another one unseen.

    Two operators see revision 1 and both set the same label. Without the
    conflict both would be reported as accepted, and one would be lost.
    """
    seeded.change('group', 'label', 'g', 'a=first', '--from', '1')
    label = ('group', 'label', 'g', '--from', '1')
    second = seeded.run(*label, 'a=second')
    assert second.exit_code == exit_codes.CONFLICT
    assert 'by ana' in second.body['error']['detail']
    assert '"b" -> "first"' in second.body['error']['detail']
    assert seeded.run(*label, 'other=x').exit_code == exit_codes.SUCCESS


def test_a_change_with_a_lost_answer_is_made_once(seeded: Deployment) -> None:
    """Guard against a repeat of a change that is already in force.

    The platform writes the change, but its answer is lost. A write without an
    answer must not be taken for a failed one.
    """
    seeded.platform.control({'lose_writes': 1})
    seeded.change('group', 'label', 'g', 'a=c')
    assert len(seeded.run('history').body['rows']) == 2


def test_a_platform_that_is_down_is_reported(
    seeded: Deployment,
) -> None:
    """Guard against a `status` without differences during an outage.

    The platform is down and hosts are up. A missing answer must not count as
    an equal revision.
    """
    seeded.serve(HostStandIn('h1', [1]))
    seeded.platform.control({'down': True})
    refused = seeded.run('group', 'label', 'g', 'a=c')
    assert refused.exit_code == exit_codes.UNREACHABLE
    assert refused.body['error']['ran'] == 'no'
    status = seeded.run('status')
    assert status.exit_code == exit_codes.UNREACHABLE
    assert status.body['accepted'] is None


def test_status_shows_quarantined_queries(
    seeded: Deployment,
) -> None:
    """Guard against refused callers of which `status` shows nothing."""
    hosts = HostStandIn('h1', [1]), HostStandIn('h2', [1])
    row: dict[str, object] = {
        'digest': 'ab' * 16,
        'request_class': 'price-check',
        'crashes': 3,
        'wait': 119.5,
        'targets': ['t1'],
    }
    hosts[0].quarantined = [row]
    seeded.serve(*hosts)
    status = seeded.run('status')
    assert status.exit_code == exit_codes.SUCCESS
    quarantined = {it['name']: it['quarantined'] for it in status.body['hosts']}
    assert quarantined == {'h1': [row], 'h2': []}
    shown = statuses.list_quarantined(
        [
            statuses.HostStatus('1', 'h1', quarantined=(row,)),
            statuses.HostStatus('2', 'h2', quarantined=(row,)),
        ]
    )
    assert [it['refused by'] for it in shown] == ['h1, h2']


def test_status_counts_silent_hosts_as_unknown(
    seeded: Deployment,
) -> None:
    """Guard against a change shown as in force while one host lacks it.

    One host is cut off and the others have the revision. Hosts that do not
    answer must be counted too.
    """
    hosts = (
        HostStandIn('h1', [1]),
        HostStandIn('h2', [1]),
        HostStandIn('h3', [1]),
    )
    seeded.serve(*hosts)
    assert seeded.run('status').exit_code == exit_codes.SUCCESS
    silent = hosts[2].build_entry() | {
        'address': '127.0.0.1:1',
        'name': 'silent',
    }
    seeded.platform.set_host_list(
        [hosts[0].build_entry(), hosts[1].build_entry(), silent]
    )
    status = seeded.run('status')
    assert status.exit_code == exit_codes.UNREACHABLE
    assert status.body['data_centres'] == {'Odori': {'1': 2, 'unknown': 1}}
    hosts[1].revisions = [0]
    assert seeded.run('status').exit_code == exit_codes.FAILED


def test_wait_ends_when_every_host_has_the_change(seeded: Deployment) -> None:
    """Guard against a wait that ends before the slowest host has the change.

    A script would drain a target and stop it while a host still sends to it,
    if the wait ended with the answer of the platform or of the first host.
    """
    seeded.serve(
        HostStandIn('h1', [1, 1, 2]), HostStandIn('h2', [1, 1, 1, 1, 2])
    )
    result = seeded.change('group', 'label', 'g', 'a=c', '--wait', '9')
    assert 'revision 2 in force on 1 of 2; not on: h2 (1)' in result.errors
    assert 'revision 2 in force on 2 of 2' in result.errors
    timed_out = seeded.run('group', 'label', 'g', 'a=d', '--wait', '0.1')
    assert timed_out.exit_code == exit_codes.FAILED


def test_no_change_is_made_to_an_older_copy(
    seeded: Deployment,
) -> None:
    """Guard against the loss of accepted changes after a restore.

    The platform is restored from an older copy and an operator makes a change.
    It must be refused, as hosts have a higher revision in force.
    """
    seeded.platform.control({'save': True})
    seeded.change('group', 'label', 'g', 'a=c')
    seeded.platform.control({'restore': True})
    seeded.serve(HostStandIn('h1', [2]))
    refused = seeded.run('group', 'label', 'g', 'a=d')
    assert refused.exit_code == exit_codes.FAILED
    assert refused.body['error']['kind'] == errors.Kind.OLDER_COPY
    status = seeded.run('status')
    assert status.exit_code == exit_codes.FAILED
    assert 'its copy is older' in status.body['faults'][0]


def test_a_platform_with_an_older_copy_is_recovered_from_hosts(
    seeded: Deployment,
) -> None:
    """Guard against lost or blocked changes after a restore.

    The platform is restored from an older copy while hosts keep the newer
    configuration. Recovery must store that configuration under a revision
    above the one in force on hosts.
    """
    seeded.change('group', 'create', 'h', '--target', 'Kotoni/k=10.0.9.1:1')
    seeded.platform.control({'save': True})
    seeded.change('target', 'drain', 'g', 'c-01/1')
    seeded.change('group', 'label', 'h', 'a=z')
    lost = seeded.read()
    seeded.platform.control({'restore': True})
    # Each host holds only the targets of its own data centre.
    hosts = HostStandIn('o', [4]), HostStandIn('k', [4], 'Kotoni')
    for host in hosts:
        host.configuration = keep_data_centre(lost, host.data_centre)
    seeded.serve(hosts[0])
    assert seeded.run('recover').exit_code == exit_codes.UNREACHABLE
    seeded.serve(*hosts)
    change = seeded.change('recover').body['change']
    assert (change['revision'], change['follows']) == (5, 2)
    assert seeded.read() == lost._replace(revision=5)


def test_an_unreadable_history_is_not_an_empty_one(
    seeded: Deployment,
) -> None:
    """Guard against a script that takes an unreadable history for an empty one.

    The platform is down when the history is listed. The exit code must be
    that of the failure, not that of a complete list.
    """
    seeded.platform.control({'down': True})
    result = seeded.run('history', '--timeout', '0.1')
    assert result.exit_code == exit_codes.UNREACHABLE
    assert 'platform_unavailable' in result.errors


@pytest.mark.parametrize('name', ['santiago', 'ishikari'])
def test_applying_an_example_twice_changes_nothing(
    deployment: Deployment, name: str
) -> None:
    path = str(EXAMPLES / f'{name}.ini')
    planned = deployment.run('plan', path)
    assert planned.exit_code == exit_codes.FAILED
    assert not planned.body['problem']
    assert (
        deployment.run('apply', path, '--dry-run').exit_code
        == exit_codes.FAILED
    )
    assert not deployment.run('history').body['rows']
    deployment.change('apply', path, '--from', '0')
    assert deployment.run('plan', path).exit_code == exit_codes.SUCCESS
    rows = deployment.run('group', 'list').body['rows']
    assert len(rows) == 4


def test_every_fault_of_a_description_is_reported(
    deployment: Deployment, tmp_path: Path
) -> None:
    path = tmp_path / 'bad.ini'
    path.write_text(
        '[group g]\nslots = few\ncolour = red\nlabels = a\n'
        '[targets g Odori]\na-{1..3} = 10.0.0.{1..2}:1\nb-{3..1} = x\n'
        '[targets h Odori]\n[other x]\n[class c]\npriority = high\n'
    )
    result = deployment.run('apply', str(path))
    assert result.exit_code == exit_codes.USAGE
    assert len(result.errors.splitlines()) == 8
    path.write_text('[class c]\nneeds = all\n[group G]\n')
    assert len(deployment.run('plan', str(path)).errors.splitlines()) == 2


def test_watch_prints_archived_changes(
    seeded: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against accepted changes that `watch` does not print.

    More changes are accepted between two reads than the manifest holds, so
    the older ones have to be read from the archive.
    """
    monkeypatch.setattr(
        'fuchsiahaven.core.configuration.proposals.MAX_KEPT_ENTRIES', 2
    )
    for word in ('w', 'x', 'y', 'z'):
        seeded.change('group', 'label', 'g', f'a={word}')
    opened = store.Store(f'http://{seeded.address}')
    entry = opened.read(manifests.MANIFEST_KEY)
    assert entry is not None
    shown: list[str] = []
    monkeypatch.setattr('builtins.print', lambda it, **_: shown.append(it))
    assert (
        command_watch.print_changes_after(opened, entry.value, 1, as_json=True)
        == 5
    )
    opened.close()
    assert [json.loads(line)['revision'] for line in shown] == [2, 3, 4, 5]


def test_watch_reports_an_older_copy(
    seeded: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a `watch` that prints nothing although changes are made.

    The platform is restored from an older copy, and its revisions continue
    below the one after which `watch` asks.
    """
    seeded.platform.control({'save': True})
    seeded.change('group', 'label', 'g', 'a=w')
    seeded.change('group', 'label', 'g', 'a=x')
    opened = store.Store(f'http://{seeded.address}')
    entry = opened.read(manifests.MANIFEST_KEY)
    assert entry is not None
    head = manifests.decode_head(entry.value)
    assert not isinstance(head, errors.Failure)
    seeded.platform.control({'restore': True})
    shown: list[str] = []
    monkeypatch.setattr('builtins.print', lambda it, **_: shown.append(it))
    position = command_watch.WatchPosition(head.revision, entry.revision)
    position = command_watch.print_next_changes(
        opened, position, 0.1, as_json=True
    )
    seeded.change('group', 'label', 'g', 'a=y')
    command_watch.print_next_changes(opened, position, 1.0, as_json=True)
    opened.close()
    assert 'went back' in shown[0]
    assert json.loads(shown[-1])['revision'] == head.revision - 1
