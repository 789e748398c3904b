"""What the commands that run a process share: signals, and how errors end it."""

import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NoReturn, Protocol, TypeVar

import trio

from .exceptions import EndivewickError, SettingsInvalid
from .logs import log

USAGE_EXIT_CODE = 2


class Node(Protocol):
    """The shell of a process."""

    async def run(self) -> None:
        """Serve until the process is to end."""

    def drain(self) -> None:
        """Begin a planned stop."""


AnyNode = TypeVar("AnyNode", bound=Node)


def run_node(build: Callable[[], AnyNode], *tasks: Callable[[AnyNode], Awaitable[None]]) -> None:
    """Build a node and run it, with ``tasks`` beside it, until it ends by itself or by a signal.

    An error that ends the process is logged, printed, and gives the exit code.
    """
    try:
        trio.run(_run_until_signalled, build(), tasks)
    except* EndivewickError as group:
        cause = _first(group)
        log("error", type(cause).__name__, str(cause))
        fail(str(cause), cause.exit_code)


def report_faults(path: Path, error: SettingsInvalid) -> NoReturn:
    """Print every fault of the settings at ``path`` and exit."""
    lines = [f"{path}: {len(error.faults)} faults", *error.faults]
    fail("\n".join(lines), error.exit_code)


def fail(text: str, exit_code: int) -> NoReturn:
    """Print why the process can't go on, and exit."""
    print(text, file=sys.stderr)
    sys.exit(exit_code)


async def _run_until_signalled(
    node: AnyNode, tasks: tuple[Callable[[AnyNode], Awaitable[None]], ...]
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signals, node)
        for task in tasks:
            nursery.start_soon(task, node)
        await node.run()
        nursery.cancel_scope.cancel()


async def _watch_signals(node: Node) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            node.drain()


def _first(group: BaseExceptionGroup[EndivewickError]) -> EndivewickError:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    assert isinstance(error, EndivewickError)
    return error
