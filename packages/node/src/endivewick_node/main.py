"""The command endivewickd: check the settings, then run the role that they name."""

import signal
import ssl
import sys
from pathlib import Path
from typing import NoReturn

import trio
from absl import app, flags

from .checks import check_settings
from .conf import Settings, load_settings
from .control_node import ControlNode, control_plan
from .exceptions import EndivewickError, SettingsInvalid
from .logs import log, set_up_logs
from .proxy_node import ProxyNode

_SETTINGS = flags.DEFINE_string("settings", None, "The settings file: JSON with comments.")
_CHECK = flags.DEFINE_bool("check", False, "Only check the settings; exit 0 or 2.")

USAGE_EXIT_CODE = 2


def run() -> None:
    """Run the command; the entry point of the package."""
    app.run(_main, flags_parser=_parse_flags)


def _parse_flags(arguments: list[str]) -> list[str]:
    try:
        return flags.FLAGS(arguments)
    except flags.Error as error:
        _fail(f"{error}\nuse: endivewickd --settings FILE [--check]", USAGE_EXIT_CODE)


def _main(arguments: list[str]) -> None:
    path = _SETTINGS.value
    if path is None or len(arguments) > 1:
        _fail("use: endivewickd --settings FILE [--check]", USAGE_EXIT_CODE)
    try:
        settings = load_settings(Path(path))
        check_settings(settings)
    except SettingsInvalid as error:
        lines = [f"{path}: {len(error.faults)} faults", *error.faults]
        _fail("\n".join(lines), error.exit_code)
    if _CHECK.value:
        print(f"{path}: no faults")
        return
    set_up_logs(settings)
    try:
        _serve(settings)
    except* EndivewickError as group:
        cause = _first(group)
        log("error", type(cause).__name__, str(cause))
        _fail(str(cause), cause.exit_code)


def _serve(settings: Settings) -> None:
    tls = _tls_context(settings)
    node: ProxyNode | ControlNode
    node = (
        ProxyNode(settings, tls)
        if settings["role"] == "proxy"
        else ControlNode(control_plan(settings, tls))
    )
    log("info", "started", f"{settings['name']} serves as {settings['role']}")
    trio.run(_run_until_signalled, node)


async def _run_until_signalled(node: ProxyNode | ControlNode) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signals, node)
        await node.run()
        nursery.cancel_scope.cancel()


async def _watch_signals(node: ProxyNode | ControlNode) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            node.drain()


def _tls_context(settings: Settings) -> ssl.SSLContext | None:
    if "tls" not in settings:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings["tls"]["certificate_file"], settings["tls"]["key_file"])
    return context


def _first(group: BaseExceptionGroup[EndivewickError]) -> EndivewickError:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    assert isinstance(error, EndivewickError)
    return error


def _fail(text: str, exit_code: int) -> NoReturn:
    print(text, file=sys.stderr)
    sys.exit(exit_code)
