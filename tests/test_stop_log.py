"""The log lines of a gateway's planned stop say what was cut off, and stay few."""

import json
import os
from itertools import count

import pytest
import trio
from endivewick_core.gateway import events as ev
from endivewick_core.gateway import leftovers, planned_stop
from endivewick_core.gateway.effects import Send
from endivewick_core.messages import ForwardedReply
from endivewick_core.statements import StatementKind as K
from endivewick_node import gateway_node, logs
from endivewick_node.clock import now_ms
from gateway_process import KEY, Process
from test_malformed_input import forwarded
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

GRACE_MS = 6_000
HOSTS = count(120)
MEBIBYTE = 1024 * 1024


@pytest.fixture
def process(loopback):
    """Return a gateway process whose sockets are handled on demand."""
    process = Process(f"{loopback}.{next(HOSTS)}")  # listening sockets outlive their test
    yield process
    process.close()


@pytest.fixture
def lines(monkeypatch):
    """Return the lines that the gateway process logs, as pairs of event and inputs."""
    written = []

    def record(level, event, text, inputs=None, **fields):
        written.append((event, inputs))

    monkeypatch.setattr(gateway_node, "log_rate_limited", record)
    return written


def counted(process, event):
    """Return the value of an event's counter."""
    prefix = f'endivewick_events_total{{event="{event}"}} '
    for line in process.node._metrics.render().decode().splitlines():
        if line.startswith(prefix):
            return float(line.removeprefix(prefix))
    return 0.0


# Guards against a stop that cuts off work which its last line doesn't show.
def test_what_a_gateway_has_not_finished_is_told_by_kind(gateway):
    for number in (1, 2, 3):
        gateway.session(number, "strict")
    gateway.send(1, K.BEGIN)
    sent = gateway.send(1, K.READ)  # it occupies the only connection
    queued = gateway.send(2, K.READ)
    waiting = gateway.send(2, K.READ)
    message = forwarded(gateway.state.configuration.routes["strict"])
    gateway.handle(ev.MessageReceived(gateway.now_ms, message))
    reply = ForwardedReply("10.0.0.9:7000", "b", 1, [], "", "", "", 0, None)
    gateway.state.unsent_messages.append(Send("10.0.0.8:7000", reply))
    left = leftovers.find(gateway.state)
    assert_that((left.sessions, left.in_transaction), Equals((3, 1)))
    assert_that((left.statements, left.sent, left.held_commits), Equals((3, 1, 0)))
    assert_that((left.other_sessions, left.other_statements), Equals((1, 1)))
    assert_that(left.other_answers, Equals(1))
    assert_that(left.request_ids, Equals([sent, queued, waiting]))


# Guards against a last line that is as long as the list of all requests.
def test_the_number_of_request_ids_is_bounded(gateway):
    for number in range(100):
        gateway.session(number, "strict")
        gateway.send(number, K.WRITE)
    left = leftovers.find(gateway.state)
    assert_that(left.statements, Equals(100))
    assert_that(left.request_ids, HasLength(leftovers.MAX_REQUEST_IDS))


# Guards against a transaction that a planned stop ends without a line or a count.
def test_a_transaction_that_a_stop_ends_is_logged_once_and_idle_sessions_are_not(gateway):
    gateway.session(1, "strict")
    gateway.session(2, "strict")
    gateway.send(2, K.BEGIN)
    gateway.reply(gateway.find_sent(gateway.send(2, K.READ)))
    gateway.handle(ev.DrainRequested(gateway.now_ms, GRACE_MS))
    for turn in range(100):
        gateway.tick(50)
        if turn == 50:  # an idle transaction would be rolled back before
            gateway.reply(gateway.find_sent(gateway.send(2, K.READ)))
    (event,) = [item for item in gateway.log_events if item.event == "session_cut_off"]
    assert_that(event.workspace, Equals("strict"))
    assert_that(event.inputs["session"], Equals(2))
    assert_that((event.inputs["statements_run"], event.inputs["has_written"]), Equals((2, False)))
    assert_that(event.inputs["draining_ms"] >= GRACE_MS // 2, Equals(True))


# Guards against answers and statements on the sockets that the end of a process cuts off, unseen.
def test_the_last_line_has_the_bytes_that_were_not_passed_on(process, lines):
    clients = [process.connect(KEY) for _ in range(2)]
    for client in clients:
        process.read(client)
    writer = process.node._sessions._connections[1].writer
    while not writer.has_unsent:
        process.node._sessions._write(1, b"x" * MEBIBYTE)
    clients[1].sendall(b"QUERY id1 GET a\r\n")
    clients += [process.connect(KEY) for _ in range(3)]  # nothing is accepted between turns
    process.node._log_stopped()
    ((event, inputs),) = lines
    assert_that((event, inputs["sessions"], inputs["connections"]), Equals(("stopped", 2, 2)))
    assert_that(inputs["unwritten_answers"], Equals(1))
    assert_that(inputs["unwritten_bytes"], GreaterThan(0))
    assert_that(inputs["unconfirmed_bytes"], GreaterThan(0))
    assert_that(inputs["unwritten_bytes"] <= MEBIBYTE, Equals(True))
    assert_that((inputs["unread_connections"], inputs["unread_bytes"]), Equals((1, 17)))
    assert_that(inputs["unaccepted"], Equals(3))
    assert_that(counted(process, "session_cut_off"), Equals(2.0))
    assert_that(counted(process, "answer_cut_off"), Equals(1.0))
    for client in clients:
        client.close()


# Guards against statements without an answer that are not counted.
def test_statements_without_an_answer_are_counted(process, lines):
    client = process.connect(KEY)
    process.read(client)
    client.sendall(b"QUERY id1 PUT a 1\r\n")
    process.node._poller.handle_all_ready()
    process.node._log_stopped()
    ((_, inputs),) = lines
    assert_that((inputs["statements"], inputs["request_ids"]), Equals((1, ["id1"])))
    assert_that(counted(process, "statement_cut_off"), Equals(1.0))
    client.close()


# Guards against a line whose inputs can't be written as JSON.
def test_the_last_line_is_one_line_of_json(process, log_handlers):
    read, write = os.pipe()
    logs.set_up_stream_logs({"vm": "vm-1"}, write)
    process.node._log_stopped()
    os.close(write)
    with open(read) as stream:
        (line,) = stream.read().splitlines()
    assert_that(json.loads(line)["inputs"]["sessions"], Equals(0))


# Guards against a statement that arrives between the last look at the sessions and the end.
def test_the_last_line_has_what_arrives_in_the_last_turn(process, lines, monkeypatch):
    client = process.connect(KEY)
    process.read(client)
    monkeypatch.setattr(planned_stop, "is_drained", lambda state, at_ms: True)

    async def stop():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(process.node.run)
                process.node._stopped.set()
                client.sendall(b"QUERY id1 GET a\r\n")

    trio.run(stop)
    (stopped,) = [inputs for event, inputs in lines if event == "stopped"]
    assert_that(
        (stopped["sessions"], stopped["statements"] + stopped["unread_connections"]), Equals((1, 1))
    )
    client.close()


# Guards against a stop without its line, and one that writes it in each of its last turns.
def test_a_planned_stop_writes_its_last_line_once(process, lines, monkeypatch):
    monkeypatch.setattr(planned_stop, "BALANCER_GRACE_MS", 0)

    async def stop():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(process.node.run)
                process.node.drain()

    trio.run(stop)
    stopped = [inputs for event, inputs in lines if event == "stopped"]
    assert_that(stopped, HasLength(1))
    assert_that((stopped[0]["sessions"], stopped[0]["grace_ms"]), Equals((0, GRACE_MS)))
    assert_that([event for event, _ in lines if event == "stop_unfinished"], Equals([]))


# Guards against a process that the platform kills, which writes no last line.
def test_a_stop_that_takes_too_long_says_once_what_is_left(process, lines):
    client = process.connect(KEY)
    process.read(client)
    process.node.drain()
    lines.clear()
    process.node._check_unfinished_stop()
    assert_that(lines, Equals([]))
    margin_ms = gateway_node.UNFINISHED_STOP_MARGIN_MS
    process.node._state.draining_since_ms = now_ms() - GRACE_MS + margin_ms
    for _ in range(50):
        process.node._check_unfinished_stop()
    ((event, inputs),) = lines
    assert_that((event, inputs["sessions"]), Equals(("stop_unfinished", 1)))
    assert_that(inputs["draining_ms"], LessThan(GRACE_MS))
    assert_that(counted(process, "stop_unfinished"), Equals(1.0))
    client.close()
