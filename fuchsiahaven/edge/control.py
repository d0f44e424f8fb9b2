"""Start the control tasks of one host and wire them together."""

import contextlib
import threading
import time
from collections.abc import Callable
from typing import Final

from fuchsiahaven.core import addresses, messages, revisions
from fuchsiahaven.edge import revisions as revision_tasks
from fuchsiahaven.edge import store
from fuchsiahaven.operate import settings

MILLISECONDS: Final = 1000

Post = Callable[[messages.Configured | messages.MembersChanged], None]


def start(
    chosen: settings.Settings, post: Post, stack: contextlib.ExitStack
) -> revision_tasks.Task:
    """Start the tasks; the stack ends them."""
    stores = revision_tasks.Stores(
        open_store(chosen, stack), open_store(chosen, stack)
    )
    rules = revisions.Rules(watch_s=chosen.platform.watch_s)
    state = revisions.start(
        chosen.host.name, time.monotonic(), rules, alone=True
    )
    task = revision_tasks.Task(state, stores, chosen.host.data_centre, post)
    _start_thread(task.run, revision_tasks.PART, stack)
    stack.callback(task.stop)
    return task


def open_store(
    chosen: settings.Settings,
    stack: contextlib.ExitStack,
    limits: store.Limits = store.DEFAULT_LIMITS,
) -> store.Store:
    """Open one connection to the platform; the stack closes it."""
    platform = chosen.platform
    limits = limits._replace(read_s=platform.timeout_ms / MILLISECONDS)
    opened = store.Store(
        f'http://{addresses.write(platform.addresses[0])}', limits
    )
    stack.callback(opened.close)
    return opened


def _start_thread(
    run: Callable[[], None], name: str, stack: contextlib.ExitStack
) -> None:
    thread = threading.Thread(target=run, name=name)
    thread.start()
    stack.callback(thread.join)
