"""Log output is rate-limited, and a blocked log stream doesn't block the process."""

import json
import os

import pytest
from endivewick_node import logs
from log_handlers import temporary_log_handlers
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan


@pytest.fixture
def pipe():
    read, write = os.pipe()
    os.set_blocking(read, False)
    yield read, write
    os.close(read)
    os.close(write)


def read_lines(descriptor):
    data = b""
    while True:
        try:
            part = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]
        data += part


def test_lines_for_a_stopped_reader_are_dropped_and_counted(pipe):
    read, write = pipe
    write_line = logs.non_blocking_writer(write)
    line = json.dumps({"event": "x", "text": "y" * 1_000}).encode() + b"\n"
    for _ in range(500):
        write_line(line)
    before = read_lines(read)
    assert_that(len(before), LessThan(500))
    write_line(line)
    write_line(line)
    after = read_lines(read)
    lost_counts = [item["lost"] for item in after if item["event"] == "log_lines_lost"]
    written = len(before) + len([item for item in after if item["event"] == "x"])
    assert_that(sum(lost_counts) + written, Equals(502))


# Guards against log lines in a file or socket that has the number of a closed descriptor.
def test_a_log_handler_ends_with_the_test_that_set_it_up(pipe):
    read, write = pipe
    with temporary_log_handlers() as logger:
        logs.set_up_stream_logs({"vm": "vm-1"}, write)
        logger.info("during the test")
    logger.info("after the test")
    (line,) = read_lines(read)
    assert_that(line["text"], Equals("during the test"))


def test_an_event_is_rate_limited_and_reports_how_many_lines_were_left_out(
    pipe, log_handlers, monkeypatch
):
    read, write = pipe
    clock_s = [1_000.0]
    monkeypatch.setattr(logs.time, "monotonic", lambda: clock_s[0])
    logs.set_up_stream_logs({"vm": "vm-1"}, write)
    for _ in range(100):
        logs.log_rate_limited("info", "budget_test", "text")
    assert_that(len(read_lines(read)), Equals(logs.INFO_LINES_PER_SECOND))
    clock_s[0] += 1
    logs.log_rate_limited("info", "budget_test", "text")
    (line,) = read_lines(read)
    assert_that(line["left_out"], Equals(100 - logs.INFO_LINES_PER_SECOND))


def test_warnings_have_the_higher_rate_limit():
    assert_that(logs.WARNING_LINES_PER_SECOND, GreaterThan(logs.INFO_LINES_PER_SECOND))
