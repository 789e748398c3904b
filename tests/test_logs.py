"""Log lines are bounded, and a stream that nobody reads delays nothing."""

import json
import os

import pytest
from endivewick_node import logs
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan


@pytest.fixture
def pipe():
    read, write = os.pipe()
    os.set_blocking(read, False)
    yield read, write
    os.close(read)
    os.close(write)


def lines(descriptor):
    data = b""
    while True:
        try:
            part = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]
        data += part


def test_a_stopped_reader_loses_lines_and_blocks_nobody(pipe):
    read, write = pipe
    send = logs.non_blocking_writer(write)
    line = json.dumps({"event": "x", "text": "y" * 1_000}).encode() + b"\n"
    for _ in range(500):
        send(line)
    before = lines(read)
    assert_that(len(before), LessThan(500))
    send(line)
    send(line)
    after = lines(read)
    lost = [item["lost"] for item in after if item["event"] == "log_lines_lost"]
    written = len(before) + len([item for item in after if item["event"] == "x"])
    assert_that(sum(lost) + written, Equals(502))


def test_an_event_has_a_budget_and_says_what_was_left_out(pipe, monkeypatch):
    read, write = pipe
    seconds = [1_000.0]
    monkeypatch.setattr(logs.time, "monotonic", lambda: seconds[0])
    logs.set_up_stream_logs({"vm": "vm-1"}, write)
    for _ in range(100):
        logs.log_rate_limited("info", "budget_test", "text")
    assert_that(len(lines(read)), Equals(logs.INFO_LINES_PER_SECOND))
    seconds[0] += 1
    logs.log_rate_limited("info", "budget_test", "text")
    (line,) = lines(read)
    assert_that(line["left_out"], Equals(100 - logs.INFO_LINES_PER_SECOND))


def test_failures_have_the_larger_budget():
    assert_that(logs.WARNING_LINES_PER_SECOND, GreaterThan(logs.INFO_LINES_PER_SECOND))
