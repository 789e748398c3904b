"""The endivewickd command: validates the settings and runs the role that they name."""

import ssl
from functools import partial
from pathlib import Path

from absl import app, flags

from .checks import check_settings
from .command import USAGE_EXIT_CODE, Node, fail, report_faults, run_node
from .conf import Settings, load_settings
from .control_node import ControlNode, control_options
from .exceptions import SettingsInvalid
from .logs import log, set_up_logs
from .proxy_node import ProxyNode

_SETTINGS = flags.DEFINE_string("settings", None, "The settings file: JSON with comments.")
_CHECK = flags.DEFINE_bool("check", False, "Only check the settings; exit 0 or 2.")


def run() -> None:
    """Run the command; the entry point of the package."""
    app.run(_main, flags_parser=_parse_flags)


def _parse_flags(arguments: list[str]) -> list[str]:
    try:
        return flags.FLAGS(arguments)
    except flags.Error as error:
        fail(f"{error}\nuse: endivewickd --settings FILE [--check]", USAGE_EXIT_CODE)


def _main(arguments: list[str]) -> None:
    path = _SETTINGS.value
    if path is None or len(arguments) > 1:
        fail("use: endivewickd --settings FILE [--check]", USAGE_EXIT_CODE)
    try:
        settings = load_settings(Path(path))
        check_settings(settings)
    except SettingsInvalid as error:
        report_faults(Path(path), error)
    if _CHECK.value:
        print(f"{path}: no faults")
        return
    set_up_logs(settings)
    run_node(partial(_build, settings))


def _build(settings: Settings) -> Node:
    tls = _tls_context(settings)
    node = (
        ProxyNode(settings, tls)
        if settings["role"] == "proxy"
        else ControlNode(control_options(settings, tls))
    )
    log("info", "started", f"{settings['name']} started as {settings['role']}")
    return node


def _tls_context(settings: Settings) -> ssl.SSLContext | None:
    if "tls" not in settings:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings["tls"]["certificate_file"], settings["tls"]["key_file"])
    return context
