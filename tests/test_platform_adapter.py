"""The platform's adapter: the statement protocol, configurations, reports and settings."""

import json
import sys
from pathlib import Path

import pytest
from endivewick_core.control import events as ce
from endivewick_core.directory import UpstreamState
from endivewick_core.gateway.effects import AnswerStatement
from endivewick_core.positions import Position
from endivewick_core.routes import Freshness
from endivewick_core.statements import (
    BEGIN_READ_ONLY,
    ROLLBACK,
    Error,
    Fault,
    Statement,
    StatementKind,
    TransactionState,
    UpstreamStatement,
    UpstreamStatus,
    internal_statement,
)
from endivewick_node.exceptions import SettingsInvalid
from endivewick_node.http_server import Request
from endivewick_node.statement_wire import Accepted, Quit, Refused, Startup, WireFault
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, IsInstance, MatchesRegex, Not

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "platform"))

from endivewick_platform import statement_codec as codec  # noqa: E402
from endivewick_platform.configuration_codec import decode_configuration  # noqa: E402
from endivewick_platform.control_codec import encode_redirect, parse_request  # noqa: E402
from endivewick_platform.control_role import control_options  # noqa: E402
from endivewick_platform.gateway_role import gateway_options  # noqa: E402
from endivewick_platform.settings import (  # noqa: E402
    check_control,
    check_gateway,
    load_settings,
)

K = StatementKind
ROUTE = {
    "name": "r-1",
    "host": "db1",
    "prefix": "/",
    "kind": "own",
    "timeout-ms": 1000,
    "slo-ms": 600,
    "priority": 2,
    "service": "s1",
    "attempts": 2,
    "max-staleness-ms": 2500,
}
DOCUMENT = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "s1", "max-conns": 21, "sync-replicas": 1}],
    "limits": {"tx-idle-ms": 3000},
}
REPORT = {
    "service": "s1",
    "addr": "10.0.0.9:5432",
    "zone": "dc-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "warmup-left-ms": 0,
    "db-role": "replica",
    "seq": 4,
    "born": 1_700_000_000_000,
}
SETTINGS = """
node = "edge-1"
role = "gateway"
ip = "10.1.0.8"
zone = "dc-a"
internal-ports = [7440, 7455]
seeds = ["10.1.0.10:8782", "10.2.0.9:8782"]
bootstrap = true
new-field = 1
[zones]
dc-a = "north"
[listen]
frontend = "10.1.0.8:8784"
readiness = "10.1.0.8:8785"
[limits]
max-fds = 4300
memory-mb = 300
[fault-tolerance]
nodes = 1
[parameters]
grace-s = 6
[provider]
addr = "10.200.0.160:8783"
"""


def read_statement(text):
    (message,) = codec.read_client()(f"QUERY id1 {text}\r\n".encode())
    return message


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("BEGIN", Statement(K.BEGIN, "id1", "BEGIN")),
        ("BEGIN FETCH", Statement(K.BEGIN, "id1", "BEGIN FETCH", is_read_only=True)),
        ("COMMIT", Statement(K.COMMIT, "id1", "COMMIT")),
        ("ROLLBACK", Statement(K.ROLLBACK, "id1", "ROLLBACK")),
        ("FETCH 1a4", Statement(K.READ, "id1", "FETCH 1a4")),
        ("PUT 1a4 x y  z", Statement(K.WRITE, "id1", "PUT 1a4 x y  z")),
        ("SET tenant a b", Statement(K.SET, "id1", "SET tenant a b", "tenant", "a b")),
        (
            "PREPARE s1 PUT q2c",
            Statement(K.PREPARE, "id1", "PREPARE s1 PUT q2c", "s1", "q2c", is_write=True),
        ),
        ("EXEC s1 1a4 x y", Statement(K.EXECUTE, "id1", "EXEC s1 1a4 x y", "s1", "1a4 x y")),
        ("DEALLOC s1", Statement(K.DEALLOCATE, "id1", "DEALLOC s1", "s1")),
    ],
)
def test_statements_are_parsed(text, expected):
    assert_that(read_statement(text), Equals(expected))


@pytest.mark.parametrize(
    "text",
    ["", "FETCH", "FETCH  a", "PUT a", "DROP a", "FETCH a\nQUERY x FETCH b", "WAITLSN 1.2 FETCH a"],
)
def test_invalid_statement_has_kind_unreadable(text):
    assert_that(read_statement(text).kind, Equals(K.UNREADABLE))


def test_client_cannot_use_the_reserved_request_id():
    (message,) = codec.read_client()(b"QUERY - FETCH a\r\n")
    assert_that(message.kind, Equals(K.UNREADABLE))


def test_startup_and_quit_are_parsed():
    messages = codec.read_client()(b"STARTUP db1 u1\r\nQUIT\r\n")
    assert_that(messages, Equals([Startup("db1", "u1"), Quit()]))


def test_unterminated_line_is_refused_at_the_limit():
    (message,) = codec.read_client()(b"x" * (codec.LINE_LIMIT_BYTES + 1))
    assert_that(message, IsInstance(WireFault))


@given(st.binary(max_size=200), st.integers(1, 50))
def test_result_does_not_depend_on_how_bytes_are_split(data, size):
    whole = codec.read_client()(data)
    read = codec.read_client()
    pieces = []
    for start in range(0, len(data), size):
        pieces += read(data[start : start + size])
    assert_that(pieces, Equals(whole))


def test_startup_message_names_the_service_and_the_upstream():
    assert_that(codec.encode_startup("s1", "i-1"), Equals(b"STARTUP s1 endivewick i-1\r\n"))
    assert_that(codec.encode_startup("s1", "i-1", "bode"), Equals(b"STARTUP s1 bode i-1\r\n"))
    read = codec.read_upstream()
    assert_that(read(b"READY I 3.1207\r\n"), Equals([Accepted()]))


def test_refusal_by_an_upstream_is_parsed():
    (message,) = codec.read_upstream()(b"ERR TOOMANY i-1\r\n")
    assert_that(message, Equals(Refused(Error(Fault.TOO_MANY_CONNECTIONS, "i-1"))))


def test_upstream_reply_is_parsed_from_several_reads():
    read = codec.read_upstream()
    read(b"READY I -\r\n")
    assert_that(read(b"ROW ab c\r\nROW d\r\nDONE 7.1f\r\nREADY"), Equals([]))
    (reply,) = read(b" T 3.1209\r\n")
    assert_that(reply.rows, Equals(("ab c", "d")))
    assert_that((reply.proof, reply.error), Equals(("7.1f", None)))
    assert_that((reply.state, reply.position), Equals((TransactionState.OPEN, Position(3, 1209))))
    (reply,) = read(b"ERR READONLY i-1\r\nREADY E -\r\n")
    assert_that(reply.error, Equals(Error(Fault.READ_ONLY, "i-1")))
    assert_that((reply.rows, reply.proof, reply.position), Equals(((), "", None)))


def test_status_row_gives_the_received_position():
    read = codec.read_upstream()
    read(b"READY I -\r\n")
    (reply,) = read(b"ROW replica 3 3.1209 4 12 2 17\r\nDONE -\r\nREADY I 3.1204\r\n")
    assert_that(reply.status, Equals(UpstreamStatus(False, Position(3, 1209), 3, 4)))


@pytest.mark.parametrize(
    ("item", "expected"),
    [
        (
            UpstreamStatement(Statement(K.READ, "id1", "FETCH a"), Position(3, 12)),
            b"QUERY id1 WAITLSN 3.12 FETCH a\r\n",
        ),
        (UpstreamStatement(BEGIN_READ_ONLY), b"QUERY - BEGIN FETCH\r\n"),
        (UpstreamStatement(ROLLBACK), b"QUERY - ROLLBACK\r\n"),
        (UpstreamStatement(internal_statement(K.PAUSE, argument="4")), b"QUERY - PAUSE 4\r\n"),
        (
            UpstreamStatement(internal_statement(K.STEP_DOWN, argument="4")),
            b"QUERY - STEPDOWN 4\r\n",
        ),
        (
            UpstreamStatement(internal_statement(K.SET, "tenant", "a b")),
            b"QUERY - SET tenant a b\r\n",
        ),
        (
            UpstreamStatement(internal_statement(K.PREPARE, "p0", "q1", is_write=True)),
            b"QUERY - PREPARE p0 PUT q1\r\n",
        ),
        (
            UpstreamStatement(Statement(K.EXECUTE, "id1", "EXEC s a x", "p0", "a x")),
            b"QUERY id1 EXEC p0 a x\r\n",
        ),
    ],
)
def test_statements_for_upstreams_are_encoded(item, expected):
    assert_that(codec.encode_statement(item), Equals(expected))


def test_refusal_states_the_retry_delay():
    error = Error(Fault.BUSY, "no room", 300)
    answer = AnswerStatement(1, (), "", error, TransactionState.IDLE, None)
    expected = b"ERR BUSY retry after 300 ms: no room\r\nREADY I -\r\n"
    assert_that(codec.encode_answer(answer), Equals(expected))


def test_every_fault_has_a_code():
    assert_that(set(codec.FAULT_CODES), Equals(set(Fault)))


def test_configuration_is_parsed():
    configuration = decode_configuration(json.dumps(DOCUMENT).encode()).unwrap()
    assert_that(configuration.version, Equals(7))
    route = configuration.routes["db1"]
    assert_that(route.freshness, Equals(Freshness.SESSION))
    assert_that((route.timeout_ms, route.staleness_ms), Equals((1000, 2500)))
    assert_that(configuration.services["s1"].connection_limit, Equals(21))


@pytest.mark.parametrize(
    ("document", "fault"),
    [
        (json.dumps(DOCUMENT)[:-10], "can't be parsed"),
        (json.dumps({**DOCUMENT, "routes": [{**ROUTE, "service": "s9"}]}), "service s9"),
        (json.dumps({**DOCUMENT, "routes": [ROUTE, ROUTE]}), "host and prefix"),
        (json.dumps({**DOCUMENT, "routes": [{**ROUTE, "timeout-ms": 0}]}), "timeout-ms"),
        (json.dumps({**DOCUMENT, "version": "7"}), "can't be parsed"),
        ("[]", "can't be parsed"),
    ],
)
def test_invalid_configuration_is_refused_with_its_fault(document, fault):
    decoded = decode_configuration(document.encode())
    assert_that(decoded, IsInstance(Failure))
    assert_that(decoded.failure().message, Contains(fault))
    assert_that(decoded.failure().type.status, Equals(400))


def test_all_faults_of_a_configuration_are_listed():
    routes = [{**ROUTE, "service": "s9", "timeout-ms": 0}]
    decoded = decode_configuration(json.dumps({**DOCUMENT, "routes": routes}).encode())
    assert_that(decoded.failure().message, Contains("service s9"))
    assert_that(decoded.failure().message, Contains("timeout-ms"))


def put_report(body, upstream="i-1"):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return parse_request(Request("PUT", f"/instances/{upstream}", {}, data), 5, 9)


def test_report_is_parsed():
    event = put_report(REPORT).unwrap()
    assert_that(event, IsInstance(ce.ReportReceived))
    assert_that((event.report.upstream, event.report.data_centre), Equals(("i-1", "dc-a")))
    assert_that(event.report.state, Equals(UpstreamState.READY))
    assert_that((event.report.born_ms, event.report.sequence), Equals((1_700_000_000_000, 4)))


@pytest.mark.parametrize(
    "body",
    [
        b"\xff\xfe",
        b"null",
        {**REPORT, "state": "asleep"},
        {**REPORT, "seq": "4"},
        {**REPORT, "addr": "nowhere"},
        {key: value for key, value in REPORT.items() if key != "service"},
    ],
)
def test_invalid_report_is_refused(body):
    decoded = put_report(body)
    assert_that(decoded, IsInstance(Failure))
    assert_that(decoded.failure().type.status, Equals(400))


# For each field, values of another type or out of its range, beside a missing one.
NUMBERS = [None, "4", [], {}, True, 1.5, -1, 10**30]
TEXTS = [None, 4, [], {}, True]
REPORT_FIELDS = {
    "service": [*TEXTS, "", "a b", "a" * 1_000],
    "addr": [*TEXTS, "", "nowhere", "10.0.0.9", "10.0.0.9:0:1"],
    "zone": [*TEXTS, "", "a b"],
    "version": TEXTS,
    "slots": NUMBERS,
    "state": [*TEXTS, "", "asleep"],
    "warmup-left-ms": NUMBERS,
    "db-role": [*TEXTS, "", "witness"],
    "seq": NUMBERS,
    "born": NUMBERS,
}


# Guards against a report of another writer that counts as one of a replica and holds up a failover.
@pytest.mark.parametrize("field", REPORT_FIELDS)
def test_a_report_without_a_proper_field_is_refused_and_the_field_named(field):
    without = {key: value for key, value in REPORT.items() if key != field}
    assert_that(set(REPORT), Equals(set(REPORT_FIELDS)))
    for body in [without, *({**REPORT, field: value} for value in REPORT_FIELDS[field])]:
        failure = put_report(body).failure()
        assert_that(failure.type.status, Equals(400))
        assert_that(failure.message, Contains(field))


# Guards against a configuration in force of which a part is missing.
@pytest.mark.parametrize("part", ["routes", "services"])
def test_a_configuration_without_a_required_field_is_refused_and_the_field_named(part):
    (complete,) = DOCUMENT[part]
    optional = {"attempts", "max-staleness-ms", "sync-replicas"}  # attempts is not used
    bodies = {
        field: {**DOCUMENT, part: [{k: v for k, v in complete.items() if k != field}]}
        for field in complete
        if field not in optional
    }
    for field in ("version", "routes", "services"):
        bodies[field] = {key: value for key, value in DOCUMENT.items() if key != field}
    for field, body in bodies.items():
        failure = decode_configuration(json.dumps(body).encode()).failure()
        assert_that(failure.type.status, Equals(400))
        assert_that(failure.message, Contains(field))


@given(st.binary(max_size=100))
def test_parsing_any_report_bytes_raises_nothing(data):
    assert_that(put_report(data), IsInstance(Success | Failure))


def test_upstream_removal_and_operator_requests_are_parsed():
    removed = parse_request(Request("DELETE", "/instances/i-1", {}, b""), 5, 9).unwrap()
    assert_that(removed, Equals(ce.UpstreamRemoved(5, 9, "i-1")))
    get_event = parse_request(Request("GET", "/config", {}, b""), 5, 9).unwrap()
    assert_that(get_event.request, Equals(ce.GetConfiguration()))
    body = json.dumps(DOCUMENT).encode()
    put_event = parse_request(Request("PUT", "/config", {}, body), 5, 9).unwrap()
    assert_that((put_event.request.version, put_event.request.services), Equals((7, ["s1"])))


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("POST", "/config", 405), ("GET", "/instances/i-1", 405), ("PUT", "/instances/", 400)],
)
def test_other_requests_are_refused(method, path, status):
    decoded = parse_request(Request(method, path, {}, b""), 5, 9)
    assert_that(decoded.failure().type.status, Equals(status))


def test_operator_is_redirected():
    answer = encode_redirect("10.0.0.4:80")
    assert_that(answer.status, Equals(307))
    assert_that(answer.headers, Equals((("Location", "http://10.0.0.4:80/config"),)))


@pytest.fixture
def settings_file(tmp_path):
    def write(text):
        path = tmp_path / "boot.toml"
        path.write_text(text)
        return path

    return write


def test_settings_are_translated(settings_file):
    settings = load_settings(settings_file(SETTINGS))
    check_gateway(settings)
    assert_that(settings.address, Equals("10.1.0.8:7440"))
    assert_that(settings.control_addresses, Equals(["10.1.0.10:7440", "10.2.0.9:7440"]))
    assert_that((settings.grace_ms, settings.lost_disks), Equals((6_000, 1)))


@pytest.mark.parametrize("features", [None, [], ["weights"], ["weights", "openings"]])
def test_connections_are_coordinated_only_as_a_feature(settings_file, features):
    """Deployments without the feature must be served exactly as before."""
    line = "" if features is None else f"endivewick-features = {features}\n"
    line += 'policies = ["pool"]\n'
    settings = load_settings(settings_file(SETTINGS.replace("[zones]", f"{line}[zones]")))
    gateway = gateway_options(settings).settings
    is_on = "openings" in (features or [])
    assert_that(gateway.coordinates_connections, Equals(is_on))
    assert_that(gateway.min_connection_share, Equals(2 if is_on else 1))
    settings = settings._replace(platform_address="10.0.0.1:80")
    control = control_options(settings).control
    assert_that(control.coordinates_connections, Equals(is_on))


@pytest.mark.parametrize(
    ("features", "is_on"),
    [
        ("", False),
        ('policies = ["health", "weights"]', False),
        ('endivewick-features = ["other"]', False),
        ('endivewick-features = ["weights"]', True),
    ],
)
def test_weights_of_upstreams_are_on_only_as_a_feature(settings_file, features, is_on):
    """Guards against weights in a deployment whose settings don't call for them."""
    settings = load_settings(settings_file(features + SETTINGS))
    assert_that(gateway_options(settings).settings.uses_upstream_weights, Equals(is_on))
    assert_that(control_options(settings).control.uses_upstream_weights, Equals(is_on))


# A SIGHUP that finds such a number in the file must not end the process.
@pytest.mark.parametrize("grace", ["inf", "nan", "-1"])
def test_a_grace_time_that_is_no_time_is_a_fault(settings_file, grace):
    with pytest.raises(SettingsInvalid):
        load_settings(settings_file(SETTINGS.replace("grace-s = 6", f"grace-s = {grace}")))


def test_all_faults_of_the_settings_are_listed_with_their_ids(settings_file):
    text = SETTINGS.replace('zone = "dc-a"', 'zone = "dc-z"').replace('"10.2.0.9:8782"', '"x"')
    with pytest.raises(SettingsInvalid) as caught:
        load_settings(settings_file(text))
    assert_that(caught.value.faults, HasLength(2))
    for fault in caught.value.faults:
        assert_that(fault, MatchesRegex("P00[0-9] "))


def test_all_missing_control_settings_are_listed(settings_file):
    settings = load_settings(settings_file(SETTINGS))
    with pytest.raises(SettingsInvalid) as caught:
        check_control(settings)
    assert_that([fault[:4] for fault in caught.value.faults], Equals(["P012", "P013"]))


def test_the_adapter_does_not_shadow_the_standard_library():
    assert_that((ROOT / "platform" / "__init__.py").exists(), Equals(False))
    import platform

    assert_that(platform.python_version(), Not(Equals("")))


def test_platform_names_occur_only_in_the_adapter():
    words = ("WAITLSN", "STARTUP", "heartbeat-addr", "max-conns", "tx-idle", "readyz", "X-Endive")
    for path in (ROOT / "packages").rglob("src/**/*.py"):
        text = path.read_text()
        for word in words:
            assert_that((word in text, str(path)), Equals((False, str(path))))


TENANT = {
    "name": "bode960",
    "api-keys": ["8m82", "jy5r"],
    "priority": 1,
    "rate-per-s": 158,
    "burst": 158,
}


def test_a_document_with_tenants_is_decoded():
    plain = {"name": "kern", "api-keys": []}
    routes = [ROUTE | {"public": True}]
    document = DOCUMENT | {"tenants": [TENANT, plain], "routes": routes}
    decoded = decode_configuration(json.dumps(document).encode()).unwrap()
    assert_that(decoded.tenant_names, Equals({"8m82": "bode960", "jy5r": "bode960"}))
    assert_that(decoded.tenants["bode960"], Equals(("bode960", 1, 158.0, 158.0)))
    assert_that(decoded.tenants["kern"], Equals(("kern", 0, None, 0.0)))
    assert_that(decoded.routes["db1"].is_public, Equals(True))


def test_only_a_document_with_the_field_has_tenants():
    decoded = decode_configuration(json.dumps(DOCUMENT).encode()).unwrap()
    assert_that(decoded.tenants, Equals(None))
    empty = decode_configuration(json.dumps(DOCUMENT | {"tenants": []}).encode()).unwrap()
    assert_that(empty.tenants, Equals({}))


@pytest.mark.parametrize(
    "tenants",
    [
        [TENANT, TENANT | {"api-keys": []}],
        [TENANT, {"name": "kern", "api-keys": ["8m82"]}],
        [TENANT | {"api-keys": ["8m82", "8m82"]}],
        [TENANT | {"api-keys": ["8m82 "]}],
        [TENANT | {"api-keys": ["8m82" * 51]}],
        [TENANT | {"name": "public"}],
        [TENANT | {"name": "endivewick"}],
        [TENANT | {"name": "a b"}],
        [TENANT | {"name": ""}],
        [TENANT | {"rate-per-s": -1}],
        [TENANT | {"burst": -0.5}],
    ],
)
def test_a_document_with_faulty_tenants_is_refused_without_its_keys(tenants):
    decoded = decode_configuration(json.dumps(DOCUMENT | {"tenants": tenants}).encode())
    assert_that(decoded, IsInstance(Failure))
    assert_that(repr(decoded.failure()), Not(Contains("8m82")))


def test_all_faults_of_the_tenants_are_listed():
    tenants = [TENANT | {"name": "public", "burst": -1}, TENANT | {"rate-per-s": -1}]
    decoded = decode_configuration(json.dumps(DOCUMENT | {"tenants": tenants}).encode())
    message = decoded.failure().message
    for text in ("reserved", "burst", "rate-per-s", "api-keys"):
        assert_that(message, Contains(text))


def test_a_startup_message_carries_the_key():
    (message,) = codec.read_client()(b"STARTUP db1 8m82\r\n")
    assert_that((message.workspace, message.key), Equals(("db1", "8m82")))
    assert_that(repr(message), Not(Contains("8m82")))


def test_a_refusal_for_a_key_has_its_own_code():
    refused = codec.encode_refused(Error(Fault.UNAUTHENTICATED, "the key is not known"))
    assert_that(refused, Equals(b"ERR NOAUTH the key is not known\r\n"))
