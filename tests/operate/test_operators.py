"""Test the operators' commands over the platform's stand-in."""

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
from fuchsiahaven.core.members import patch_rows
from fuchsiahaven.edge import editor, store
from fuchsiahaven.operate import command_watch, commands, exits, statuses
from standins import platform, wire

EXAMPLES = Path(__file__).parents[2] / 'examples'
TARGETS = 'Odori/c-{01..03}/1=10.0.0.{1..3}:7001'


class Told(NamedTuple):
    """Hold what a command gave: exit code, JSON and error output."""

    code: int
    body: dict[str, Any]
    errors: str


class Host:
    """Stand in for a host's peer port, by the revisions that it tells."""

    def __init__(
        self, name: str, revisions: list[int], place: str = 'Odori'
    ) -> None:
        self.name = name
        self.revisions = revisions
        self.place = place
        self.address = ''
        self.held = configurations.EMPTY
        self.quarantined: list[dict[str, object]] = []

    def opened(self, channel: wire.Channel) -> None:
        """Accept every connection."""

    def closed(self, channel: wire.Channel) -> None:
        """Keep nothing of a connection."""

    def received(self, channel: wire.Channel, request: wire.Request) -> None:
        if request.path.startswith('/v1/configuration'):
            whole = patches.diff(
                patches.EMPTY, patches.stamp_configuration(self.held)
            )
            parcel = patch_rows.Parcel(self.name, (whole,))
            channel.reply(200, patch_rows.write(parcel).decode())
            return
        known = self.revisions
        revision = known.pop(0) if len(known) > 1 else known[0]
        body = {
            'host': self.name,
            'data_centre': self.place,
            'state': 'alive',
            'revision': revision,
        }
        if self.quarantined:
            body['quarantined'] = self.quarantined
        channel.reply(200, json.dumps(body))

    def show(self) -> dict[str, object]:
        return {
            'name': self.name,
            'kind': 'entry',
            'address': self.address,
            'data_centre': self.place,
            'state': 'live',
        }


class World:
    """Run the platform and hosts in a thread; run commands against them."""

    def __init__(self, capsys: pytest.CaptureFixture[str]) -> None:
        self.platform = platform.Platform()
        self.loop = asyncio.new_event_loop()
        self._capsys = capsys
        servers = self.call(platform.serve(self.platform, [0]))
        self.address = find_address(servers[0])

    def call(self, work: Any) -> Any:
        if not self.loop.is_running():
            threading.Thread(target=self.loop.run_forever, daemon=True).start()
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(10)

    def run(self, *words: str) -> Told:
        at = ('--platform', self.address, '--timeout', '0.2', '--json')
        code = commands.main([*words, *at])
        out = self._capsys.readouterr()
        body = json.loads(out.out) if out.out.strip() else {}
        return Told(code, body, out.err)

    def change(self, *words: str) -> Told:
        told = self.run(*words, '--operator', 'ana')
        assert told.code == exits.DONE, told
        return told

    def read(self) -> configurations.Configuration:
        with contextlib.closing(store.Store(f'http://{self.address}')) as it:
            loaded = editor.read_configuration(it)
        assert isinstance(loaded, store_reads.LoadedManifest)
        return loaded.manifest.configuration

    def serve(self, *hosts: Host) -> None:
        for host in hosts:
            host.address = find_address(self.call(wire.listen(host, 0)))
        self.platform.list_hosts([each.show() for each in hosts])


def keep_only(
    whole: configurations.Configuration, place: str
) -> configurations.Configuration:
    groups = [
        group._replace(
            targets=tuple(it for it in group.targets if it.data_centre == place)
        )
        for group in whole.groups
    ]
    return whole._replace(groups=tuple(groups))


def find_address(server: asyncio.Server) -> str:
    return '{0}:{1}'.format(*server.sockets[0].getsockname())


@pytest.fixture
def world(capsys: pytest.CaptureFixture[str]) -> Iterator[World]:
    made = World(capsys)
    with contextlib.ExitStack() as stack:
        stack.callback(made.loop.call_soon_threadsafe, made.loop.stop)
        yield made


@pytest.fixture
def filled(world: World) -> World:
    world.change('group', 'create', 'g', '--label', 'a=b', '--target', TARGETS)
    return world


def test_an_operator_makes_shows_and_undoes_changes(filled: World) -> None:
    filled.change('class', 'set', 'c', 'deadline_ms=800')
    selector = ('selector', 'set', 's', '--class', 'c', '--expression', 'a=b')
    filled.change(*selector)
    assert filled.run('selector', 'show', 's').body['reaches'] == ['g']
    filled.change('group', 'create', 'g2', '--label', 'a=b', '--force')
    cut = filled.change('group', 'label', 'g2', 'a=x').body['change']
    assert cut['what'].endswith('c reaches -g2')
    filled.change('group', 'delete', 'g2')
    refused = filled.run('group', 'label', 'g', 'a-')
    assert refused.code == exits.FAILED
    assert 'reaches no group' in refused.body['error']['detail']
    drained = filled.change('target', 'drain', 'g', 'c-{02..03}/1')
    shown = filled.run('group', 'show', 'g').body
    states = [row['state'] for row in shown['rows']]
    assert states == ['live', 'leaving', 'leaving']
    change_id = drained.body['change']['id']
    undone = filled.change('undo', change_id).body['change']
    assert (undone['revision'], undone['undoes']) == (8, change_id)
    again = filled.change('target', 'return', 'g', 'c-02/1')
    assert again.body == {'status': 'unchanged', 'revision': 8}
    rows = filled.run('history').body['rows']
    assert [row['revision'] for row in rows] == [8, 7, 6, 5, 4, 3, 2, 1]
    shown = filled.run('history', 'show', '7').body
    assert shown['edits'][0] == [
        ['groups', 'g', 'leaving', 'c-02/1'],
        None,
        True,
    ]


def test_the_second_operator_gets_a_conflict_that_shows_the_first(
    filled: World,
) -> None:
    """Stop an operator who has not seen what another one did.

    Symptom: two people set one label, both are told it is done, one of them
    is wrong. Sequence: both look at revision 1, both set the label. Cause:
    the second change is applied to what it has not seen.
    """
    filled.change('group', 'label', 'g', 'a=first', '--from', '1')
    label = ('group', 'label', 'g', '--from', '1')
    second = filled.run(*label, 'a=second')
    assert second.code == exits.CONFLICT
    assert 'by ana' in second.body['error']['detail']
    assert '"b" -> "first"' in second.body['error']['detail']
    assert filled.run(*label, 'other=x').code == exits.DONE


def test_a_lost_answer_leaves_one_change(filled: World) -> None:
    """Tell a change as accepted that is, although its answer was lost.

    Symptom: an operator repeats a change that is in force already. Sequence:
    the platform writes and its answer does not arrive. Cause: a write without
    an answer is taken for one that failed.
    """
    filled.platform.control({'lose_writes': 1})
    filled.change('group', 'label', 'g', 'a=c')
    assert len(filled.run('history').body['rows']) == 2


def test_a_platform_that_is_down_is_told_as_not_reached(
    filled: World,
) -> None:
    """Tell what is known while the platform is away, and no more.

    Symptom: `status` shows everything as in force during an outage. Sequence:
    the platform goes down; hosts go on. Cause: no answer counts as no
    difference.
    """
    filled.serve(Host('h1', [1]))
    filled.platform.control({'down': True})
    told = filled.run('group', 'label', 'g', 'a=c')
    assert told.code == exits.UNREACHABLE
    assert told.body['error']['ran'] == 'no'
    status = filled.run('status')
    assert status.code == exits.UNREACHABLE
    assert status.body['accepted'] is None


def test_status_tells_what_hosts_refuse_as_it_ends_targets(
    filled: World,
) -> None:
    """Symptom: callers are refused, and `status` shows nothing of it."""
    hosts = Host('h1', [1]), Host('h2', [1])
    row: dict[str, object] = {
        'digest': 'ab' * 16,
        'request_class': 'price-check',
        'crashes': 3,
        'wait': 119.5,
        'targets': ['t1'],
    }
    hosts[0].quarantined = [row]
    filled.serve(*hosts)
    status = filled.run('status')
    assert status.code == exits.DONE
    told = {it['name']: it['quarantined'] for it in status.body['hosts']}
    assert told == {'h1': [row], 'h2': []}
    shown = statuses.list_quarantined(
        [
            statuses.Seen('1', 'h1', quarantined=(row,)),
            statuses.Seen('2', 'h2', quarantined=(row,)),
        ]
    )
    assert [it['refused by'] for it in shown] == ['h1, h2']


def test_status_tells_each_revision_and_who_did_not_answer(
    filled: World,
) -> None:
    """Never count a silent host as one that has the change.

    Symptom: a change is told as in force everywhere while one host serves by
    the old one. Sequence: a host is cut off, the others have the revision.
    Cause: only hosts that answer are looked at.
    """
    hosts = Host('h1', [1]), Host('h2', [1]), Host('h3', [1])
    filled.serve(*hosts)
    assert filled.run('status').code == exits.DONE
    silent = hosts[2].show() | {'address': '127.0.0.1:1', 'name': 'silent'}
    filled.platform.list_hosts([hosts[0].show(), hosts[1].show(), silent])
    status = filled.run('status')
    assert status.code == exits.UNREACHABLE
    assert status.body['data_centres'] == {'Odori': {'1': 2, 'unknown': 1}}
    hosts[1].revisions = [0]
    assert filled.run('status').code == exits.FAILED


def test_wait_ends_when_every_host_has_the_change(filled: World) -> None:
    """Wait for the slowest host, not for the first.

    Symptom: a script drains a target and stops it while a host still sends
    to it. Sequence: two of three hosts have the revision. Cause: the wait
    ends with the platform's answer, or with the first host's.
    """
    filled.serve(Host('h1', [1, 1, 2]), Host('h2', [1, 1, 1, 1, 2]))
    told = filled.change('group', 'label', 'g', 'a=c', '--wait', '9')
    assert 'revision 2 in force on 1 of 2; not on: h2 (1)' in told.errors
    assert 'revision 2 in force on 2 of 2' in told.errors
    late = filled.run('group', 'label', 'g', 'a=d', '--wait', '0.1')
    assert late.code == exits.FAILED


def test_an_older_copy_of_the_platform_is_told_and_not_built_upon(
    filled: World,
) -> None:
    """Refuse a change that would take others back.

    Symptom: accepted changes vanish after the platform was restored.
    Sequence: the platform comes back from an old copy, an operator makes a
    change. Cause: what the hosts have in force is not asked.
    """
    filled.platform.control({'save': True})
    filled.change('group', 'label', 'g', 'a=c')
    filled.platform.control({'restore': True})
    filled.serve(Host('h1', [2]))
    told = filled.run('group', 'label', 'g', 'a=d')
    assert told.code == exits.FAILED
    assert told.body['error']['kind'] == errors.Kind.OLDER_COPY
    status = filled.run('status')
    assert status.code == exits.FAILED
    assert 'its copy is older' in status.body['faults'][0]


def test_a_platform_with_an_older_copy_is_recovered_from_hosts(
    filled: World,
) -> None:
    """Get out of an older copy with nothing lost that was in force.

    Symptom: after a restore no change is accepted any more, or the changes
    since the copy are gone. Sequence: the platform comes back older, hosts
    keep what they have. Cause: nothing brings the hosts' configuration back
    above the revision that they have in force.
    """
    filled.change('group', 'create', 'h', '--target', 'Kotoni/k=10.0.9.1:1')
    filled.platform.control({'save': True})
    filled.change('target', 'drain', 'g', 'c-01/1')
    filled.change('group', 'label', 'h', 'a=z')
    lost = filled.read()
    filled.platform.control({'restore': True})
    # Each host holds the targets of its own data centre alone.
    hosts = Host('o', [4]), Host('k', [4], 'Kotoni')
    for host in hosts:
        host.held = keep_only(lost, host.place)
    filled.serve(hosts[0])
    assert filled.run('recover').code == exits.UNREACHABLE
    filled.serve(*hosts)
    told = filled.change('recover').body['change']
    assert (told['revision'], told['follows']) == (5, 2)
    assert filled.read() == lost._replace(revision=5)


def test_a_history_that_cannot_be_read_is_not_an_empty_one(
    filled: World,
) -> None:
    """Tell by the exit code that the audit trail was not had.

    Symptom: a script that looks for changes finds none and goes on. Sequence:
    the platform is down; the history is listed. Cause: the failure is printed
    as a hole in the list and the exit code is that of a whole list.
    """
    filled.platform.control({'down': True})
    told = filled.run('history', '--timeout', '0.1')
    assert told.code == exits.UNREACHABLE
    assert 'platform_unavailable' in told.errors


@pytest.mark.parametrize('name', ['santiago', 'ishikari'])
def test_the_examples_are_applied_whole_and_then_change_nothing(
    world: World, name: str
) -> None:
    path = str(EXAMPLES / f'{name}.ini')
    planned = world.run('plan', path)
    assert planned.code == exits.FAILED
    assert not planned.body['problem']
    assert world.run('apply', path, '--dry-run').code == exits.FAILED
    assert not world.run('history').body['rows']
    world.change('apply', path, '--from', '0')
    assert world.run('plan', path).code == exits.DONE
    rows = world.run('group', 'list').body['rows']
    assert len(rows) == 4


def test_every_fault_of_a_description_is_told_at_once(
    world: World, tmp_path: Path
) -> None:
    path = tmp_path / 'bad.ini'
    path.write_text(
        '[group g]\nslots = few\ncolour = red\nlabels = a\n'
        '[targets g Odori]\na-{1..3} = 10.0.0.{1..2}:1\nb-{3..1} = x\n'
        '[targets h Odori]\n[other x]\n[class c]\npriority = high\n'
    )
    told = world.run('apply', str(path))
    assert told.code == exits.USAGE
    assert len(told.errors.splitlines()) == 8
    path.write_text('[class c]\nneeds = all\n[group G]\n')
    assert len(world.run('plan', str(path)).errors.splitlines()) == 2


def test_watch_tells_changes_that_have_left_the_manifest(
    filled: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Leave no hole in what `watch` prints.

    Symptom: a change is in the trail that `watch` never showed. Sequence:
    more changes are accepted between two looks than the manifest carries.
    Cause: only the last changes in the manifest are printed.
    """
    monkeypatch.setattr(
        'fuchsiahaven.core.configuration.proposals.MAX_KEPT_ENTRIES', 2
    )
    for word in ('w', 'x', 'y', 'z'):
        filled.change('group', 'label', 'g', f'a={word}')
    opened = store.Store(f'http://{filled.address}')
    entry = opened.read(manifests.MANIFEST_KEY)
    assert entry is not None
    shown: list[str] = []
    monkeypatch.setattr('builtins.print', lambda it, **_: shown.append(it))
    assert command_watch.show_news(opened, entry.value, 1, as_json=True) == 5
    opened.close()
    assert [json.loads(line)['revision'] for line in shown] == [2, 3, 4, 5]


def test_watch_tells_that_the_platform_went_back(
    filled: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Symptom: `watch` is silent while changes are accepted.

    The platform came back from an older copy, and counts anew from a revision
    below the one after which `watch` asks.
    """
    filled.platform.control({'save': True})
    filled.change('group', 'label', 'g', 'a=w')
    filled.change('group', 'label', 'g', 'a=x')
    opened = store.Store(f'http://{filled.address}')
    entry = opened.read(manifests.MANIFEST_KEY)
    assert entry is not None
    head = manifests.decode_head(entry.value)
    assert not isinstance(head, errors.Failure)
    filled.platform.control({'restore': True})
    shown: list[str] = []
    monkeypatch.setattr('builtins.print', lambda it, **_: shown.append(it))
    seen = command_watch.Seen(head.revision, entry.revision)
    seen = command_watch.look(opened, seen, 0.1, as_json=True)
    filled.change('group', 'label', 'g', 'a=y')
    command_watch.look(opened, seen, 1.0, as_json=True)
    opened.close()
    assert 'went back' in shown[0]
    assert json.loads(shown[-1])['revision'] == head.revision - 1
