"""Checks of the settings that look at more than one field; all faults are reported at once.

Each fault has an id: ``E`` ids stop the process with exit code 2. docs/reference/settings.md lists
them.
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
DEFAULT_HEARTBEAT_MS = 250
DEFAULT_ELECTION_TIMEOUT_MS = 600
DEFAULT_CONTROL_HEARTBEAT_MS = 100


def check_settings(settings: Settings) -> None:
    """Raise SettingsInvalid with the faults that all checks found."""
    faults: list[str] = []
    for check in CHECKS:
        faults += check(settings)
    if faults:
        raise SettingsInvalid(faults)


def check_addresses(settings: Settings) -> list[str]:
    """Check the range of every address."""
    addresses = {
        "cluster.address": settings["cluster"]["address"],
        "http.address": settings["http"]["address"],
    }
    for position, member in enumerate(settings["control"]["members"]):
        addresses[f"control.members.{position}.address"] = member["address"]
        addresses[f"control.members.{position}.operator_address"] = member["operator_address"]
    if "statsd" in settings:
        addresses["statsd.address"] = settings["statsd"]["address"]
    return [
        f"E010 {path}: {address} is out of range; give four octets and a port, 1 to 65535"
        for path, address in addresses.items()
        if not is_address(address)
    ]


def check_members(settings: Settings) -> list[str]:
    """Check that no two control processes share a name or an address."""
    faults: list[str] = []
    seen: dict[str, str] = {}
    for position, member in enumerate(settings["control"]["members"]):
        for key in (member["name"], member["address"], member["operator_address"]):
            path = f"control.members.{position}"
            if key in seen:
                faults.append(f"E011 {path}: {key} stands at {seen[key]} too; give each its own")
            seen[key] = path
    if len(settings["control"]["members"]) % 2 == 0:
        faults.append("E012 control.members: give an odd number, so that each adds a majority")
    return faults


def check_own_address(settings: Settings) -> list[str]:
    """Check that the process's own addresses don't clash, and match the control table."""
    faults: list[str] = []
    if settings["cluster"]["address"] == settings["http"]["address"]:
        faults.append("E013 http.address: the same as cluster.address; give each its own port")
    own = [m for m in settings["control"]["members"] if m["name"] == settings["name"]]
    if settings["role"] == "proxy":
        if own:
            faults.append("E014 name: a control process has this name; give the proxy another")
        return faults
    if not own:
        faults.append("E015 name: not in control.members; add it there on every node")
    elif own[0]["address"] != settings["cluster"]["address"]:
        faults.append("E016 cluster.address: differs from this name's entry in control.members")
    elif own[0]["operator_address"] != settings["http"]["address"]:
        faults.append("E017 http.address: differs from operator_address in control.members")
    return faults


def check_role(settings: Settings) -> list[str]:
    """Check the settings that only one role takes."""
    if settings["role"] == "proxy":
        faults = []
        if "session_key" not in settings:
            faults.append("E020 session_key: a proxy needs one, the same on every proxy")
        if "data_folder" in settings:
            faults.append("E021 data_folder: a proxy keeps nothing on disk; remove it")
        return faults
    if "data_folder" not in settings:
        return ["E022 data_folder: a control process needs one; name a folder on its disk"]
    return _folder_faults(Path(settings["data_folder"]))


def check_times(settings: Settings) -> list[str]:
    """Check that times which depend on each other fit."""
    faults: list[str] = []
    control = settings["control"]
    lease_ms = control.get("lease_ms", DEFAULT_LEASE_MS)
    election_ms = control.get("election_timeout_ms", DEFAULT_ELECTION_TIMEOUT_MS)
    beat_ms = control.get("heartbeat_ms", DEFAULT_CONTROL_HEARTBEAT_MS)
    if election_ms < 3 * beat_ms:
        faults.append("E030 control.election_timeout_ms: give at least three heartbeat_ms")
    proxy = settings.get("proxy", {})
    heartbeat_ms = proxy.get("heartbeat_ms", DEFAULT_HEARTBEAT_MS)
    if lease_ms < 3 * heartbeat_ms:
        faults.append("E031 control.lease_ms: give at least three proxy.heartbeat_ms")
    return faults


def check_tls(settings: Settings) -> list[str]:
    """Check that the certificate and key load."""
    if "tls" not in settings:
        return []
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    tls = settings["tls"]
    try:
        context.load_cert_chain(tls["certificate_file"], tls["key_file"])
    except (OSError, ssl.SSLError) as error:
        return [f"E040 tls: the certificate and key don't load: {error}"]
    return []


def _folder_faults(folder: Path) -> list[str]:
    """Check that a file in the data folder can be written and synced."""
    if not folder.is_dir():
        return [f"E023 data_folder: {folder} is no folder; create it"]
    try:
        with tempfile.NamedTemporaryFile(dir=folder, prefix="check-") as probe:
            probe.write(b"endivewick")
            probe.flush()
            os.fsync(probe.fileno())
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
    check_own_address,
    check_role,
    check_times,
    check_tls,
)
