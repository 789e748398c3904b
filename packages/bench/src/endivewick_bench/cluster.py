"""Launches complete systems on loopback, for the demo, the benchmarks and the tests.

Writes settings files, starts endivewickd processes and stand-in upstreams, and stops only the
processes that it started.
"""

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from glob import glob
from pathlib import Path
from typing import Any, NamedTuple

import trio

from .http_client import ConnectionLost, HttpClient, Reply
from .standins.database import admin_address

POLL_S = 0.02
CALL_TIMEOUT_S = 3.0
READY_TIMEOUT_S = 30.0
SESSION_KEY = "5e" * 32


class Site(NamedTuple):
    """The layout of one system: its regions and groups, and the capacity of its upstreams."""

    name: str
    regions: tuple[str, ...]
    groups: tuple[str, ...]
    region_latency_ms: float
    connections: int
    open_ms: int
    slots: int = 3
    instances: int = 3
    proxies: int = 6
    controls: int = 3


NILE = Site(
    "nile",
    ("alexandria", "damietta", "suez"),
    ("inspections", "certificates", "reports"),
    region_latency_ms=20.0,
    connections=20,
    open_ms=10,
)
LAKESHORE = Site(
    "lakeshore",
    ("erie", "huron", "superior"),
    ("lists", "purchases", "stock"),
    region_latency_ms=10.0,
    connections=40,
    open_ms=30,
)
SMALL = Site("small", ("alexandria", "damietta", "suez"), ("main",), 0.0, 20, 5)


@dataclass(slots=True)
class Process:
    """A child process; ``environment`` is added to the launcher's own variables."""

    name: str
    arguments: list[str]
    log_path: Path
    environment: dict[str, str] = field(default_factory=dict)
    popen: "subprocess.Popen[bytes] | None" = None

    def start(self) -> None:
        """Start the process and append its output to its log file."""
        with self.log_path.open("ab") as log:
            variables = {**os.environ, **self.environment}
            self.popen = subprocess.Popen(self.arguments, stdout=log, stderr=log, env=variables)

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def has_connection_from(self, port: int) -> bool:
        """Return whether the process has a connection from this local port.

        All connections on loopback come from one address, so that only the port tells them apart.
        """
        if self.popen is None:
            return False
        sockets = set()
        for path in glob(f"/proc/{self.popen.pid}/fd/*"):
            with suppress(OSError):
                sockets.add(os.readlink(path))
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            is_port = int(fields[1].partition(":")[2], 16) == port
            if is_port and f"socket:[{fields[9]}]" in sockets:
                return True
        return False

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()

    async def wait(self, timeout_s: float) -> int:
        """Wait until the process exits; return its exit code."""
        assert self.popen is not None
        with trio.fail_after(timeout_s):
            while self.popen.poll() is None:
                await trio.sleep(POLL_S)
        return self.popen.returncode


@dataclass(slots=True)
class Cluster:
    """A system, its processes and their addresses."""

    site: Site
    folder: Path
    net: str
    processes: dict[str, Process] = field(default_factory=dict)
    operator_addresses: dict[str, str] = field(default_factory=dict)
    proxy_addresses: dict[str, str] = field(default_factory=dict)
    cluster_addresses: dict[str, str] = field(default_factory=dict)
    upstream_addresses: dict[str, str] = field(default_factory=dict)
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)

    def region_of(self, position: int) -> str:
        """Return the region of the VM at ``position``."""
        return self.site.regions[position % len(self.site.regions)]

    def members(self) -> list[dict[str, str]]:
        """Return the ``members`` setting, which lists the control processes."""
        return [
            {
                "name": name,
                "address": self.cluster_addresses[name],
                "operator_address": self.operator_addresses[name],
            }
            for name in sorted(self.operator_addresses)
        ]

    def history_paths(self) -> list[Path]:
        """Return the history files written by the stand-in upstreams."""
        return sorted(self.folder.glob("*.history"))


def default_net(run: int = 0) -> str:
    """Return the prefix of a loopback network derived from the process id and ``run``.

    Processes and runs get different networks so that they can run at the same time.
    """
    return f"127.{50 + os.getpid() % 100}.{(os.getpid() // 100 + run) % 250}"


def create_cluster(
    site: Site,
    folder: Path,
    net: str,
    control: dict[str, Any] | None = None,
    proxy: dict[str, Any] | None = None,
    upstream: dict[str, Any] | None = None,
) -> Cluster:
    """Write the settings files of a system without starting any process."""
    cluster = Cluster(site, folder, net)
    for number in range(site.controls):
        name = f"control-{number + 1}"
        cluster.cluster_addresses[name] = f"{net}.{101 + number}:7000"
        cluster.operator_addresses[name] = f"{net}.{101 + number}:8000"
    for number in range(site.proxies):
        name = f"proxy-{number + 1}"
        cluster.cluster_addresses[name] = f"{net}.{1 + number}:7000"
        cluster.proxy_addresses[name] = f"{net}.{1 + number}:8000"
    names = list(cluster.operator_addresses) + list(cluster.proxy_addresses)
    for position, name in enumerate(names):
        _add_node(cluster, position, name, control or {}, proxy or {})
    _add_upstreams(cluster, upstream or {})
    return cluster


def _add_node(
    cluster: Cluster, position: int, name: str, control: dict[str, Any], proxy: dict[str, Any]
) -> None:
    region = cluster.region_of(position)
    is_control = name in cluster.operator_addresses
    http = cluster.operator_addresses[name] if is_control else cluster.proxy_addresses[name]
    settings: dict[str, Any] = {
        "name": name,
        "role": "control" if is_control else "proxy",
        "data_centre": f"{region}-1",
        "region": region,
        "cluster": {"address": cluster.cluster_addresses[name]},
        "http": {"address": http},
        "control": {"members": cluster.members(), **control},
    }
    if is_control:
        folder = cluster.folder / name
        folder.mkdir(exist_ok=True)
        settings["data_folder"] = str(folder)
    else:
        settings["session_key"] = SESSION_KEY
        settings["proxy"] = proxy
    cluster.settings[name] = settings
    write_settings(cluster, name)
    path = cluster.folder / f"{name}.json"
    binary = Path(sys.executable).parent / "endivewickd"
    command = [str(binary), "--settings", str(path)]
    cluster.processes[name] = Process(name, command, cluster.folder / f"{name}.log")


def write_settings(cluster: Cluster, name: str) -> None:
    """Write one node's settings file."""
    text = f"// settings of {name}\n" + json.dumps(cluster.settings[name], indent=2) + "\n"
    (cluster.folder / f"{name}.json").write_text(text)


def _add_upstreams(cluster: Cluster, extra: dict[str, Any]) -> None:
    site = cluster.site
    host = 150
    for group in site.groups:
        primary = ""
        for number in range(site.instances):
            name = f"{group}-{number + 1}"
            address = f"{cluster.net}.{host}:9000"
            host += 1
            cluster.upstream_addresses[name] = address
            options = {
                "name": name,
                "group": group,
                "address": address,
                "data_centre": f"{cluster.region_of(number)}-1",
                "proxies": ",".join(cluster.proxy_addresses.values()),
                "primary": primary,
                "slots": site.slots,
                "connections": site.connections,
                "open_ms": site.open_ms,
                "latency_ms": 0.0 if number == 0 else site.region_latency_ms,
                "history": cluster.folder / f"{name}.history",
                **extra,
            }
            command = [sys.executable, "-m", "endivewick_bench.standins.upstream"]
            command += [f"--{key}={value}" for key, value in options.items()]
            cluster.processes[name] = Process(name, command, cluster.folder / f"{name}.log")
            primary = primary or address


def start_all(cluster: Cluster) -> None:
    """Start all processes of the system."""
    for process in cluster.processes.values():
        process.start()


def stop_all(cluster: Cluster) -> None:
    """Kill all processes that the launcher started, stopped ones included."""
    for process in cluster.processes.values():
        process.signal(signal.SIGCONT)
        process.kill()


async def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    token: str | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Reply | None:
    """Send one request on a new connection; return None without a response in time."""
    client = HttpClient(address)
    try:
        with trio.fail_after(timeout_s):
            return await client.call(method, path, body, token)
    except (ConnectionLost, trio.TooSlowError):
        return None
    finally:
        client.close()


async def call_leader(cluster: Cluster, method: str, path: str, body: object = None) -> Reply:
    """Send an operator request to the control processes until the leader accepts it."""
    with trio.fail_after(READY_TIMEOUT_S):
        while True:
            for address in cluster.operator_addresses.values():
                reply = await call(address, method, path, body)
                if reply is not None and reply.body.get("error") not in ("not_leader", "no_quorum"):
                    return reply
            await trio.sleep(POLL_S)


async def leader_status(cluster: Cluster) -> dict[str, Any] | None:
    """Return the status of the current leader, or None without one."""
    for address in cluster.operator_addresses.values():
        reply = await call(address, "GET", "/v1/status")
        if reply is not None and reply.body.get("role") == "leader":
            return reply.body
    return None


async def bootstrap(cluster: Cluster) -> None:
    """Bootstrap the first control process and wait until all control processes are voters."""
    first = cluster.operator_addresses[min(cluster.operator_addresses)]
    with trio.fail_after(READY_TIMEOUT_S):
        while True:
            reply = await call(first, "POST", "/v1/bootstrap")
            if reply is not None and reply.status == 200:
                break
            await trio.sleep(POLL_S)
        while True:
            status = await leader_status(cluster)
            if status is not None and len(status["voters"]) == cluster.site.controls:
                return
            await trio.sleep(POLL_S)


async def put_contract(
    cluster: Cluster, customer: str, contract: dict[str, Any], change_id: str, version: int = 0
) -> Reply:
    """Send one contract to the leader."""
    body = {"change_id": change_id, "replaces_version": version, "contract": contract}
    return await call_leader(cluster, "PUT", f"/v1/contracts/{customer}", body)


async def wait_serving(cluster: Cluster, customer: str) -> None:
    """Wait until every proxy serves a read for ``customer``."""
    body = {"customer": customer, "kind": "read", "statement": {"op": "get", "key": "ready"}}
    with trio.fail_after(READY_TIMEOUT_S):
        for address in cluster.proxy_addresses.values():
            while True:
                reply = await call(address, "POST", "/v1/statements", {**body, "deadline_ms": 1000})
                if reply is not None and reply.status == 200:
                    break
                await trio.sleep(POLL_S)


async def set_fault(cluster: Cluster, upstream: str, **faults: Any) -> None:
    """Inject faults into one stand-in upstream."""
    await call(admin_address(cluster.upstream_addresses[upstream]), "POST", "/fault", faults)


async def fetch_report(cluster: Cluster, upstream: str) -> dict[str, Any]:
    """Return the data of one stand-in upstream and the statements that it ran."""
    reply = await call(admin_address(cluster.upstream_addresses[upstream]), "POST", "/report", {})
    assert reply is not None
    return reply.body


@asynccontextmanager
async def running(site: Site, keep: bool = False, **options: Any) -> AsyncIterator[Cluster]:
    """Run a bootstrapped system in a temporary folder; stop it at the end."""
    folder = Path(tempfile.mkdtemp(prefix="endivewick-"))
    prepare: Callable[[Cluster], None] | None = options.pop("prepare", None)
    cluster = create_cluster(site, folder, options.pop("net", default_net()), **options)
    if prepare is not None:
        prepare(cluster)
    try:
        start_all(cluster)
        await bootstrap(cluster)
        yield cluster
    finally:
        stop_all(cluster)
        if not keep:
            shutil.rmtree(folder, ignore_errors=True)
