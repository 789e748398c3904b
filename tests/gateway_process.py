"""A gateway process whose sockets are handled on demand, with a client and an upstream."""

import json
import socket
import sys
from itertools import count
from pathlib import Path

from endivewick_core.gateway import events as ev
from endivewick_core.gateway.state import GatewaySettings
from endivewick_core.messages import ControlPeer, DirectoryAnswer, HeardReport, WatermarkNote
from endivewick_node.clock import now_ms
from endivewick_node.gateway_node import GatewayNode, GatewayOptions
from gateway_driver import PRIMARY, REGIONS, SERVICE, report

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))

from endivewick_platform.configuration_codec import decode_configuration  # noqa: E402
from endivewick_platform.statement_codec import WIRE  # noqa: E402

HOSTS = count(40)
TURNS = 200
KEY = "k-bode-8m82"


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

    def connect_silent(self):
        """Connect a client that sends nothing yet; return its socket."""
        client = socket.create_connection(self.session_address)
        client.settimeout(0.01)
        return client

    def connect(self, key):
        """Start a client's session; return its socket."""
        client = self.connect_silent()
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
