"""Bad input at the HTTP edge: a typed error or a closed connection, and the next request works."""

import json
import socket

import pytest
import trio
import trio.testing
from endivewick_core.exceptions import Failure
from endivewick_node import http_server
from endivewick_node.http_server import HttpServer, Response, failure_response
from endivewick_node.proxy_api import parse_request
from endivewick_node.sockets import Poller
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, MatchesAny, StartsWith

WAIT_S = 5.0


class Edge:
    """A server on loopback that answers with what it understood."""

    def __init__(self, timeout_ms=60_000, limit=1_000):
        section = {
            "address": "127.0.0.1:0",
            "request_timeout_ms": timeout_ms,
            "connection_limit": limit,
            "body_limit_bytes": 2_048,
        }
        self.poller = Poller()
        self.server = HttpServer(section, self.handle, self.poller)
        self.address = self.server._listener.getsockname()
        self.held = []

    def handle(self, request, connection):
        if request.path == "/held":
            self.held.append(connection)
            return
        parsed = parse_request(request)
        if isinstance(parsed, Failure):
            connection.respond(failure_response(parsed))
            return
        connection.respond(Response(200, {"operation": parsed.caller_request.operation}))


@pytest.fixture
def edge():
    return Edge()


def talk(edge, *pieces, until=b"\r\n\r\n", more=None):
    """Send pieces on one connection; return all that came back until it closed or ``until``."""
    received = bytearray()

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(edge.poller.run)
            nursery.start_soon(edge.server.reject_slow_requests)
            with trio.fail_after(WAIT_S):
                stream = await trio.open_tcp_stream(*edge.address)
                for piece in pieces:
                    await stream.send_all(piece)
                    await trio.testing.wait_all_tasks_blocked(0.01)
                if more is not None:
                    await more(stream)
                while until not in received or not complete(received):
                    data = await stream.receive_some()
                    if not data:
                        break
                    received.extend(data)
                await stream.aclose()
            nursery.cancel_scope.cancel()

    trio.run(run)
    return bytes(received)


def complete(received):
    head, _, body = bytes(received).partition(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            return len(body) >= int(line.split(b":")[1])
    return False


def post(path, body, headers=b""):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return b"POST %s HTTP/1.1\r\n%scontent-length: %d\r\n\r\n%s" % (
        path.encode(),
        headers,
        len(data),
        data,
    )


GOOD = {"customer": "farms", "kind": "read", "statement": {"op": "get", "key": "k"}}


def error_of(received):
    return json.loads(received.partition(b"\r\n\r\n")[2])["error"]


def test_good_statement_is_understood(edge):
    assert_that(talk(edge, post("/v1/statements", GOOD)), StartsWith(b"HTTP/1.1 200"))


BAD_BODIES = {
    "not json": (b"{", "malformed_request"),
    "a list": (b"[]", "malformed_request"),
    "unknown field": (json.dumps({**GOOD, "kidn": 1}).encode(), "malformed_request"),
    "missing field": (b'{"customer": "x"}', "malformed_request"),
    "wrong type": (json.dumps({**GOOD, "customer": 5}).encode(), "malformed_request"),
    "unknown kind": (json.dumps({**GOOD, "kind": "raed"}).encode(), "malformed_request"),
    "unknown class": (json.dumps({**GOOD, "class": "tiny"}).encode(), "malformed_request"),
    "deadline of zero": (json.dumps({**GOOD, "deadline_ms": 0}).encode(), "malformed_request"),
    "id on a read": (json.dumps({**GOOD, "request_id": "x"}).encode(), "malformed_request"),
    "not utf-8": (b'{"customer": "\xff"}', "malformed_request"),
    "too large": (b" " * 3_000, "request_too_large"),
}


@pytest.mark.parametrize("name", BAD_BODIES)
def test_bad_body_gets_a_typed_error(edge, name):
    body, error = BAD_BODIES[name]
    assert_that(error_of(talk(edge, post("/v1/statements", body))), Equals(error))


@pytest.mark.parametrize("name", BAD_BODIES)
def test_next_connection_is_served_after_bad_input(edge, name):
    talk(edge, post("/v1/statements", BAD_BODIES[name][0]))
    assert_that(talk(edge, post("/v1/statements", GOOD)), StartsWith(b"HTTP/1.1 200"))


ANNOUNCEMENT = {
    "upstream": "db-1",
    "group": "main",
    "address": "10.0.0.1:5432",
    "data_centre": "d1",
    "state": "running",
    "role": "primary",
    "term": 1,
    "position": 0,
    "slots": 3,
    "connections": 20,
}


@pytest.mark.parametrize(
    "change",
    [
        {"address": "10.0.0.1:99999"},
        {"address": "db.example:5432"},
        {"group": "Main!"},
        {"slots": 0},
        {"state": "gone"},
        {"term": "1"},
    ],
)
def test_faulty_announcement_is_refused(edge, change):
    """An address out of range once reached the code that connects to it."""
    received = talk(edge, post("/v1/upstreams", {**ANNOUNCEMENT, **change}))
    assert_that(error_of(received), Equals("malformed_request"))


def test_unknown_path_names_the_paths(edge):
    received = talk(edge, post("/v2/statements", GOOD))
    assert_that(error_of(received), Equals("unknown_path"))
    assert_that(received, Contains(b"/v1/statements"))


def test_wrong_method_is_refused(edge):
    received = talk(edge, b"PUT /v1/statements HTTP/1.1\r\ncontent-length: 0\r\n\r\n")
    assert_that(error_of(received), Equals("method_not_allowed"))


def test_garbage_is_refused(edge):
    assert_that(error_of(talk(edge, b"\x16\x03\x01garbage\r\n\r\n")), Equals("malformed_request"))


def test_two_content_lengths_are_refused(edge):
    request = b"POST /v1/statements HTTP/1.1\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\n{}"
    assert_that(error_of(talk(edge, request)), Equals("malformed_request"))


def test_length_and_chunks_together_are_refused(edge):
    request = (
        b"POST /v1/statements HTTP/1.1\r\ncontent-length: 2\r\n"
        b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
    )
    assert_that(error_of(talk(edge, request)), Equals("malformed_request"))


def test_large_headers_are_refused(edge):
    request = b"POST /v1/statements HTTP/1.1\r\nx: " + b"y" * 20_000 + b"\r\n\r\n"
    assert_that(error_of(talk(edge, request)), Equals("request_too_large"))


def test_truncated_request_loses_nothing_for_the_next(edge):
    async def end(stream):
        await stream.send_eof()

    received = talk(edge, post("/v1/statements", GOOD)[:-10], more=end)
    assert_that(received, Equals(b""))
    assert_that(talk(edge, post("/v1/statements", GOOD)), StartsWith(b"HTTP/1.1 200"))


def test_request_in_pieces_is_understood(edge):
    whole = post("/v1/statements", GOOD)
    pieces = [whole[position : position + 7] for position in range(0, len(whole), 7)]
    assert_that(talk(edge, *pieces), StartsWith(b"HTTP/1.1 200"))


def test_slow_sender_gets_a_typed_error():
    edge = Edge(timeout_ms=1)
    received = talk(edge, b"POST /v1/statements HTTP/1.1\r\n", until=b"slow_request")
    assert_that(error_of(received), Equals("slow_request"))


def test_slow_body_does_not_hold_up_the_sweep(edge):
    """Headers alone must count as an unfinished request."""
    slow = Edge(timeout_ms=1)
    received = talk(slow, post("/v1/statements", GOOD)[:-4], until=b"slow_request")
    assert_that(error_of(received), Equals("slow_request"))


def test_pipelined_requests_are_answered_in_order(edge):
    first = post("/v1/transactions", {"customer": "a"})
    second = post("/v1/statements", GOOD)
    received = talk(edge, first + second, until=b'"read"}')
    assert_that(received.index(b"begin") < received.index(b'"read"'), Equals(True))


def test_pipelining_beyond_the_limit_is_served_whole(edge):
    count = http_server.PIPELINE_LIMIT * 3
    last = post("/v1/transactions", {"customer": "a"})
    received = talk(edge, post("/v1/statements", GOOD) * count + last, until=b"begin")
    assert_that(received.count(b"HTTP/1.1 200"), Equals(count + 1))


def test_fault_behind_a_request_is_answered_after_it(edge):
    received = talk(edge, post("/v1/statements", GOOD) + b"\x00\x01\r\n\r\n", until=b"malformed")
    assert_that(received.index(b'"read"') < received.index(b"malformed"), Equals(True))


def test_connection_over_the_limit_is_refused():
    edge = Edge(limit=0)
    received = talk(edge, post("/v1/statements", GOOD))
    assert_that(error_of(received), Equals("overloaded"))


def test_answer_to_a_closed_connection_is_dropped(edge):
    async def close(stream):
        stream.socket.shutdown(socket.SHUT_RDWR)

    talk(edge, post("/held", GOOD), more=close, until=b"never")
    for connection in edge.held:
        connection.respond(Response(200, {}))
    assert_that(len(edge.server.connections), Equals(0))


def test_token_comes_from_the_header_or_the_cookie():
    headers = {"cookie": "a=b; endivewick_token=abc"}
    request = http_server.Request("POST", "/", headers, b"")
    assert_that(http_server.session_token(request), Equals("abc"))
    both = request._replace(headers={**headers, "endivewick-token": "xyz"})
    assert_that(http_server.session_token(both), Equals("xyz"))


def test_answer_carries_the_token_twice():
    data = http_server.encode_response(Response(200, {}, "tok"), is_last=False)
    assert_that(data, Contains(b"endivewick-token: tok\r\n"))
    assert_that(data, MatchesAny(Contains(b"set-cookie: endivewick_token=tok;")))
