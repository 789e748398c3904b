"""Pattern: one malformed message must not end a process, nor reach another process.

Whatever is accepted from outside has to be encodable for the other processes and for the statement
wire.
"""

import json
import sys
from pathlib import Path
from random import Random

import pytest
from endivewick_core.codec import CodecFault, decode, encode
from endivewick_core.messages import (
    CODEC,
    ControlPeer,
    DirectoryShare,
    ForwardedStatement,
    HeardReport,
)
from endivewick_core.routes import Freshness, Route
from endivewick_core.statements import Statement, StatementKind
from endivewick_node.addresses import is_address
from endivewick_node.http_server import Request
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))

from endivewick_platform import control_codec, statement_codec  # noqa: E402
from endivewick_platform.configuration_codec import decode_configuration  # noqa: E402
from endivewick_platform.statement_codec import encode_startup  # noqa: E402

REPORT = {
    "service": "orders",
    "addr": "10.0.1.1:5000",
    "zone": "dc-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "warmup-left-ms": 0,
    "db-role": "replica",
    "seq": 1,
    "born": 1_000,
}
ROUTE = {
    "name": "r1",
    "host": "db1",
    "prefix": "/",
    "kind": "own",
    "timeout-ms": 800,
    "slo-ms": 400,
    "priority": 1,
    "service": "orders",
    "max-staleness-ms": 1_500,
}
DOCUMENT = {
    "version": 1,
    "routes": [ROUTE],
    "services": [{"name": "orders", "max-conns": 21}],
    "limits": {"tx-idle-ms": 3_000},
}
HUGE = 10**30  # does not fit into the integers of messages between processes
ODD_TEXTS = ["", " ", "a b", "a\r\nQUIT", "\u20ac", "\x00", "a" * 10_000, "\u0661.1.1.1:80"]


def put_report(path, body):
    """Parse a report as a control process does."""
    data = json.dumps(body).encode()
    request = Request("PUT", path, {}, data)
    return control_codec.parse_request(request, 0, 1)


def check_report(path, body):
    """Expect that a report is refused, or that it can be passed on and used."""
    parsed = put_report(path, body)
    if not isinstance(parsed, Success):
        return False
    report = parsed.unwrap().report
    share = DirectoryShare(
        ControlPeer("10.0.0.1:7000", "10.0.0.1:80", "dc-a"),
        0,
        [HeardReport(report, 0)],
        [],
        0,
        [],
        {},
    )
    encode(share)
    line = encode_startup(report.service, report.upstream)
    assert_that(line.count(b"\r\n"), Equals(1))
    assert_that(len(line.split()), Equals(4))
    return True


def test_a_proper_report_is_accepted():
    assert_that(check_report("/instances/i-1", REPORT), Equals(True))


@pytest.mark.parametrize("name", [item for item in ODD_TEXTS if item and "/" not in item])
def test_a_report_under_an_odd_name_is_refused(name):
    assert_that(check_report(f"/instances/{name}", REPORT), Equals(False))


@pytest.mark.parametrize("field", ["service", "addr", "zone", "state", "db-role"])
@pytest.mark.parametrize("text", ODD_TEXTS)
def test_a_report_with_an_odd_text_is_refused_or_usable(field, text):
    check_report("/instances/i-1", {**REPORT, field: text})


@pytest.mark.parametrize("field", ["slots", "seq", "born", "warmup-left-ms"])
@pytest.mark.parametrize("value", [HUGE, -HUGE, 2**63, -1, True, None, "7", 1.5])
def test_a_report_with_an_odd_number_is_refused_or_usable(field, value):
    check_report("/instances/i-1", {**REPORT, field: value})


def check_document(document):
    """Expect that a configuration is refused, or that its routes can be passed on."""
    decoded = decode_configuration(json.dumps(document).encode())
    if not isinstance(decoded, Success):
        return False
    configuration = decoded.unwrap()
    encode((configuration.version, configuration.transaction_idle_ms))
    for service in configuration.services:
        assert_that(len(encode_startup(service, "i-1").split()), Equals(4))
    for route in configuration.routes.values():
        encode(forwarded(route))
    return True


def forwarded(route):
    statement = Statement(StatementKind.READ, "id1", "FETCH a")
    return ForwardedStatement(
        "o", "b", 1, 1, statement, route, "idle", False, False, {}, None, None, 1, 1
    )


def test_a_proper_configuration_is_accepted():
    assert_that(check_document(DOCUMENT), Equals(True))


@pytest.mark.parametrize(
    "field", ["timeout-ms", "slo-ms", "priority", "max-staleness-ms", "version", "max-conns"]
)
@pytest.mark.parametrize("value", [HUGE, -HUGE, 2**63, 2**64])
def test_a_configuration_with_a_huge_number_is_refused(field, value):
    document = json.loads(json.dumps(DOCUMENT))
    target = document["routes"][0]
    if field == "version":
        target = document
    if field == "max-conns":
        target = document["services"][0]
    target[field] = value
    assert_that(check_document(document), Equals(False))


@pytest.mark.parametrize("name", ODD_TEXTS)
def test_a_configuration_with_an_odd_service_name_is_refused_or_usable(name):
    document = json.loads(json.dumps(DOCUMENT))
    document["services"][0]["name"] = document["routes"][0]["service"] = name
    check_document(document)


@pytest.mark.parametrize(
    "address", ["\u0661.1.1.1:80", "1.1.1.1:\u0668", "1.1.1.1:" + "9" * 5_000, "01.1.1.1:80"]
)
def test_an_address_that_no_socket_takes_is_refused(address):
    assert_that(is_address(address), Equals(False))


@pytest.mark.parametrize(
    "line",
    [
        "READY I " + "9" * 5_000 + ".1",
        "READY I 1." + "9" * 5_000,
        "READY I \u00b2.1",
        "ROW primary " + "9" * 5_000 + " 1.1 0 0 0 0",
        "READY",
        "",
    ],
)
def test_an_odd_line_of_an_upstream_is_read_without_an_error(line):
    read = statement_codec.read_upstream()
    for _ in range(2):
        read(line.encode("latin-1") + b"\r\nREADY I -\r\n")


@pytest.mark.parametrize("seed", range(200))
def test_random_bytes_end_no_reader(seed):
    random = Random(seed)
    words = [b"QUERY", b"STARTUP", b"READY", b"ROW", b"ERR", b"DONE", b"EXEC", b" ", b"\r\n", b"-"]
    data = b"".join(
        random.choice([random.choice(words), random.randbytes(random.randrange(6))])
        for _ in range(60)
    )
    for read in (statement_codec.read_client(), statement_codec.read_upstream()):
        read(data)
        read(b"\r\n")
    assert_that(decode(CODEC, data), IsInstance(CodecFault))
    decode_configuration(data)
    put = Request("PUT", "/instances/i-1", {}, data)
    control_codec.parse_request(put, 0, 1)


def test_a_route_can_be_passed_on_as_it_is():
    route = Route("a", "b", Freshness.PRIMARY, 1, 1, 1, 1)
    assert_that(decode(CODEC, encode(forwarded(route))).route, Equals(route))
