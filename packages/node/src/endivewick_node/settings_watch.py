"""Reading the settings again: on SIGHUP, and where the file changed without a signal."""

import signal
from collections.abc import Callable
from pathlib import Path

import trio

CHECK_INTERVAL_MS = 1_000  # one stat call a second


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
    known = _stamp(path)
    while True:
        await trio.sleep(CHECK_INTERVAL_MS / 1000)
        stamp = _stamp(path)
        if stamp is None or stamp == known:
            continue
        known = stamp
        reload()


def _stamp(path: Path) -> tuple[int, int, int] | None:
    """Return what changes with the file, or None while it is being replaced."""
    try:
        status = path.stat()
    except FileNotFoundError:
        return None
    return (status.st_mtime_ns, status.st_size, status.st_ino)
