"""Checks of the settings beyond the schema, for example across fields; all faults are reported.

Each fault has an id. A fault with an ``E`` id stops the process with exit code 2.
docs/reference/settings.md lists the ids.
"""

import os
import ssl
import tempfile
from collections.abc import Callable
from pathlib import Path

from .addresses import is_address
from .conf import Settings
from .exceptions import SettingsInvalid

DEFAULT_LEASE_MS = 2_000
DEFAULT_PROXY_HEARTBEAT_MS = 250
DEFAULT_ELECTION_TIMEOUT_MS = 600
DEFAULT_CONTROL_HEARTBEAT_MS = 100


def check_settings(settings: Settings) -> None:
    """Run every check; raise SettingsInvalid with all faults if there are any."""
    faults: list[str] = []
    for check in CHECKS:
        faults += check(settings)
    if faults:
        raise SettingsInvalid(faults)


def check_addresses(settings: Settings) -> list[str]:
    """Check that the octets and port of every address are in range."""
    addresses = {
        "cluster.address": settings["cluster"]["address"],
        "http.address": settings["http"]["address"],
    }
    for index, member in enumerate(settings["control"]["members"]):
        addresses[f"control.members.{index}.address"] = member["address"]
        addresses[f"control.members.{index}.operator_address"] = member["operator_address"]
    if "statsd" in settings:
        addresses["statsd.address"] = settings["statsd"]["address"]
    return [
        f"E010 {path}: {address} is out of range; give an IPv4 address and a port, 1 to 65535"
        for path, address in addresses.items()
        if not is_address(address)
    ]


def check_members(settings: Settings) -> list[str]:
    """Check that names and addresses of control processes are unique, and their count odd."""
    faults: list[str] = []
    paths_by_value: dict[str, str] = {}
    for index, member in enumerate(settings["control"]["members"]):
        for value in (member["name"], member["address"], member["operator_address"]):
            path = f"control.members.{index}"
            if value in paths_by_value:
                faults.append(
                    f"E011 {path}: {value} is also used at {paths_by_value[value]}; use another"
                )
            paths_by_value[value] = path
    if len(settings["control"]["members"]) % 2 == 0:
        faults.append(
            "E012 control.members: list an odd number; an even number tolerates no further failure"
        )
    return faults


def check_own_addresses(settings: Settings) -> list[str]:
    """Check that the process's own addresses differ, and match its entry in control.members."""
    faults: list[str] = []
    if settings["cluster"]["address"] == settings["http"]["address"]:
        faults.append("E013 http.address: the same as cluster.address; give each its own port")
    own_members = [
        member for member in settings["control"]["members"] if member["name"] == settings["name"]
    ]
    if settings["role"] == "proxy":
        if own_members:
            faults.append("E014 name: a control process has this name; give the proxy another")
        return faults
    if not own_members:
        faults.append("E015 name: not in control.members; add it there on every node")
    elif own_members[0]["address"] != settings["cluster"]["address"]:
        faults.append("E016 cluster.address: differs from this name's entry in control.members")
    elif own_members[0]["operator_address"] != settings["http"]["address"]:
        faults.append("E017 http.address: differs from operator_address in control.members")
    return faults


def check_role(settings: Settings) -> list[str]:
    """Check the settings that only one of the roles requires or accepts."""
    if settings["role"] == "proxy":
        faults = []
        if "session_key" not in settings:
            faults.append("E020 session_key: required on a proxy, the same on every proxy")
        if "data_folder" in settings:
            faults.append(
                "E021 data_folder: not allowed, a proxy stores nothing on disk; remove it"
            )
        return faults
    if "data_folder" not in settings:
        return ["E022 data_folder: required on a control process; name a folder on its disk"]
    return _check_folder(Path(settings["data_folder"]))


def check_intervals(settings: Settings) -> list[str]:
    """Check the minimum ratios between related intervals."""
    faults: list[str] = []
    control = settings["control"]
    lease_ms = control.get("lease_ms", DEFAULT_LEASE_MS)
    election_timeout_ms = control.get("election_timeout_ms", DEFAULT_ELECTION_TIMEOUT_MS)
    control_heartbeat_ms = control.get("heartbeat_ms", DEFAULT_CONTROL_HEARTBEAT_MS)
    if election_timeout_ms < 3 * control_heartbeat_ms:
        faults.append(
            "E030 control.election_timeout_ms: must be at least 3 times control.heartbeat_ms"
        )
    proxy = settings.get("proxy", {})
    proxy_heartbeat_ms = proxy.get("heartbeat_ms", DEFAULT_PROXY_HEARTBEAT_MS)
    if lease_ms < 3 * proxy_heartbeat_ms:
        faults.append("E031 control.lease_ms: must be at least 3 times proxy.heartbeat_ms")
    return faults


def check_tls(settings: Settings) -> list[str]:
    """Check that the certificate and key can be loaded."""
    if "tls" not in settings:
        return []
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    tls = settings["tls"]
    try:
        context.load_cert_chain(tls["certificate_file"], tls["key_file"])
    except (OSError, ssl.SSLError) as error:
        return [f"E040 tls: the certificate and key can't be loaded: {error}"]
    return []


def _check_folder(folder: Path) -> list[str]:
    """Check that a file in the data folder can be written and synced."""
    if not folder.is_dir():
        return [f"E023 data_folder: {folder} is not an existing folder; create it"]
    try:
        with tempfile.NamedTemporaryFile(dir=folder, prefix="check-") as test_file:
            test_file.write(b"endivewick")
            test_file.flush()
            os.fsync(test_file.fileno())
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
    except OSError as error:
        return [f"E024 data_folder: {folder} can't be written and synced: {error.strerror}"]
    return []


CHECKS: tuple[Callable[[Settings], list[str]], ...] = (
    check_addresses,
    check_members,
    check_own_addresses,
    check_role,
    check_intervals,
    check_tls,
)
