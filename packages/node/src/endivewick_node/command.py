"""Shared by the commands that run a process: signal handling, and exit on errors."""

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
    """A process of any role."""

    async def run(self) -> None:
        """Serve until the process should exit."""

    def drain(self) -> None:
        """Start a planned stop."""


NodeType = TypeVar("NodeType", bound=Node)


def run_node(build: Callable[[], NodeType], *tasks: Callable[[NodeType], Awaitable[None]]) -> None:
    """Build a node and run it and ``tasks`` until the node stops, by itself or after a signal.

    An EndivewickError is logged and printed, and ends the process with its exit code.
    """
    try:
        trio.run(_run_with_signals, build(), tasks)
    except* EndivewickError as group:
        cause = _first_error(group)
        log("error", type(cause).__name__, str(cause))
        fail(str(cause), cause.exit_code)


def report_faults(path: Path, error: SettingsInvalid) -> NoReturn:
    """Print every fault of the settings at ``path`` and exit."""
    lines = [f"{path}: {len(error.faults)} faults", *error.faults]
    fail("\n".join(lines), error.exit_code)


def fail(text: str, exit_code: int) -> NoReturn:
    """Print an error message to standard error and exit."""
    print(text, file=sys.stderr)
    sys.exit(exit_code)


async def _run_with_signals(
    node: NodeType, tasks: tuple[Callable[[NodeType], Awaitable[None]], ...]
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


def _first_error(group: BaseExceptionGroup[EndivewickError]) -> EndivewickError:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    assert isinstance(error, EndivewickError)
    return error
