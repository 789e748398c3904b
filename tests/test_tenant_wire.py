"""Keys and tenants on the wire: a gateway process's sockets, with a client and an upstream."""

import json
import socket
import sys
from itertools import count
from pathlib import Path

import pytest
from endivewick_core.gateway import events as ev
from endivewick_core.gateway.state import GatewaySettings
from endivewick_core.messages import ControlPeer, DirectoryAnswer, HeardReport, WatermarkNote
from endivewick_node.clock import now_ms
from endivewick_node.gateway_node import GatewayNode, GatewayOptions
from gateway_driver import PRIMARY, REGIONS, SERVICE, report
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not, StartsWith

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))

from endivewick_platform.configuration_codec import decode_configuration  # noqa: E402
from endivewick_platform.statement_codec import WIRE  # noqa: E402

HOSTS = count(40)
TURNS = 200
KEY, OTHER_KEY = "k-bode-8m82", "k-nobody-51"


def document(version, keys):
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "host": "db1",
                "prefix": "/",
                "kind": "primary",
                "timeout-ms": 1000,
                "slo-ms": 600,
                "priority": 0,
                "service": SERVICE,
                "attempts": 2,
            }
        ],
        "services": [{"name": SERVICE, "max-conns": 56, "sync-replicas": 1}],
        "tenants": [{"name": "bode960", "api-keys": keys}],
    }


class Process:
    """A gateway process whose sockets are handled on demand, and an upstream that it knows."""

    def __init__(self, host):
        self.upstream = socket.create_server((host, 0))
        self.upstream.settimeout(5)
        address = f"{host}:{self.upstream.getsockname()[1]}"
        self.session_address = (host, 8784)
        settings = GatewaySettings(f"{host}:7440", "b", "dc-a", REGIONS, [f"{host}:7449"])
        options = GatewayOptions(
            settings,
            f"{host}:8784",
            100,
            f"{host}:8785",
            "/readyz",
            f"{host}:9464",
            6_000,
            wire=WIRE,
            decode_configuration=decode_configuration,
            routes={},
        )
        self.node = GatewayNode(options)
        self.configure(1, [KEY])
        self.node._reduce(ev.Tick(now_ms()))
        answer = DirectoryAnswer(
            self.node._state.control.sequence,
            "boot",
            1,
            [HeardReport(report(PRIMARY, address=address), 0)],
            [ControlPeer(f"{host}:7449", f"{host}:80", "dc-a")],
            0,
            b"",
            [WatermarkNote(SERVICE, PRIMARY, 1, 10, 0)],
            0,
            1,
            {},
            [],
        )
        self.node._reduce(ev.MessageReceived(now_ms(), answer))

    def configure(self, version, keys):
        body = json.dumps(document(version, keys)).encode()
        configuration = decode_configuration(body).unwrap()
        self.node._reduce(ev.ConfigurationReceived(now_ms(), configuration))

    def connect(self, key):
        """Start a client's session; return its socket."""
        client = socket.create_connection(self.session_address)
        client.settimeout(0.01)
        client.sendall(f"STARTUP db1 {key}\r\n".encode())
        return client

    def read(self, stream, end=b"\r\n"):
        """Handle the process's sockets until a peer has received ``end`` or was disconnected."""
        received = b""
        for _ in range(TURNS):
            self.node._poller.handle_all_ready()
            try:
                data = stream.recv(65536)
            except TimeoutError:
                continue
            received += data
            if not data or received.endswith(end):
                break
        return received

    def close(self):
        self.upstream.close()
        self.node._transport.close()


@pytest.fixture
def process(loopback):
    process = Process(f"{loopback}.{next(HOSTS)}")
    yield process
    process.close()


def test_the_upstream_is_told_the_tenant_and_never_the_key(process):
    client = process.connect(KEY)
    assert_that(process.read(client), Equals(b"READY I -\r\n"))
    client.sendall(b"QUERY id1 PUT a 1\r\n")
    process.node._poller.handle_all_ready()
    stream, _ = process.upstream.accept()
    stream.settimeout(0.01)
    expected = f"STARTUP {SERVICE} bode960 {PRIMARY}\r\n".encode()
    assert_that(process.read(stream), Equals(expected))
    stream.close()
    client.close()


def test_an_unknown_key_is_refused_and_the_connection_closed(process):
    client = process.connect(OTHER_KEY)
    received = process.read(client, end=b"never")
    assert_that(received, StartsWith(b"ERR NOAUTH "))
    assert_that(received.count(b"\r\n"), Equals(1))
    client.close()


@pytest.fixture
def logged(log_handlers):
    """Return the texts and fields of the lines that are logged."""
    records = []
    log_handlers.add(lambda line: records.append(repr(line.record)))
    return records


def test_a_revoked_key_is_answered_and_the_connection_closed(process, logged):
    client = process.connect(KEY)
    process.read(client)
    process.configure(2, [])
    client.sendall(b"QUERY id1 BEGIN\r\nQUERY id2 PUT a 1\r\n")
    lines = process.read(client, end=b"never").split(b"\r\n")
    assert_that(lines[0], StartsWith(b"ERR NOAUTH "))
    assert_that(lines[1:], Equals([b"READY I -", b""]))
    client.close()
    assert_that(" ".join(logged), Contains("unauthenticated"))
    for key in (KEY, OTHER_KEY):
        assert_that(" ".join(logged), Not(Contains(key)))
