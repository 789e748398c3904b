"""Keys and tenants on the wire: a gateway process's sockets, with a client and an upstream."""

import pytest
from gateway_driver import PRIMARY, SERVICE
from gateway_process import HOSTS, KEY, Process
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not, StartsWith

OTHER_KEY = "k-nobody-51"


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
