"""Reloads the settings on SIGHUP and when the settings file changes."""

import signal
from collections.abc import Callable
from pathlib import Path

import trio

CHECK_INTERVAL_MS = 1_000  # one stat call per second


async def watch_settings(path: Path, reload: Callable[[], None]) -> None:
    """Call ``reload`` after each SIGHUP and each change of the file, until cancelled."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signal, reload)
        nursery.start_soon(_watch_file, path, reload)


async def _watch_signal(reload: Callable[[], None]) -> None:
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            reload()


async def _watch_file(path: Path, reload: Callable[[], None]) -> None:
    known_version = _file_version(path)
    while True:
        await trio.sleep(CHECK_INTERVAL_MS / 1000)
        version = _file_version(path)
        if version is None or version == known_version:
            continue
        known_version = version
        reload()


def _file_version(path: Path) -> tuple[int, int, int] | None:
    """Return values that change whenever the file does, or None while it can't be looked at."""
    try:
        status = path.stat()
    except OSError:
        return None
    return (status.st_mtime_ns, status.st_size, status.st_ino)
