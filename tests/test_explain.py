"""endivewickctl explain: selecting the log lines of all processes that concern one request."""

import json

import pytest
from endivewick_ctl.exceptions import CommandFailed
from endivewick_ctl.explain import explain
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not


@pytest.fixture
def log_file(tmp_path):
    lines = [
        {"at_s": 10.0, "vm": "e1", "event": "primary_believed", "outcome": "u-1"},
        {
            "at_s": 10.2,
            "vm": "c1",
            "role": "control",
            "event": "failover_needed",
            "text": "orders: no answer",
        },
        {
            "at_s": 10.3,
            "vm": "c1",
            "role": "control",
            "event": "failover_needed",
            "text": "stock: no answer",
        },
        {"at_s": 1.0, "vm": "e1", "event": "started", "text": "long ago"},
        {
            "at_s": 11.0,
            "vm": "e1",
            "event": "failed",
            "request_id": "r1",
            "outcome": "busy",
            "inputs": {"service": "orders", "waited_ms": 1000, "tried": []},
        },
        {"at_s": 11.0, "vm": "e1", "event": "failed", "request_id": "r2", "outcome": "busy"},
    ]
    path = tmp_path / "log"
    text = "\n".join(f"10.1 core-1 {json.dumps(line)}" for line in lines)
    path.write_text(f"not a line\n{text}\n{{broken\n")
    return str(path)


def test_output_has_the_lines_of_the_request_and_those_that_may_explain_it(log_file, capsys):
    explain("r1", [log_file], as_json=False)
    text = capsys.readouterr().out
    for part in ("primary_believed", "orders: no answer", "busy", "waited_ms=1000"):
        assert_that(text, Contains(part))
    for part in ("stock", "long ago", "r2"):
        assert_that(text, Not(Contains(part)))


def test_unknown_request_fails(log_file):
    with pytest.raises(CommandFailed) as caught:
        explain("r9", [log_file], as_json=False)
    assert_that(caught.value.exit_code, Equals(1))


def test_unreadable_file_is_named_in_the_error():
    with pytest.raises(CommandFailed) as caught:
        explain("r9", ["/nowhere"], as_json=False)
    assert_that(caught.value.message, Contains("/nowhere"))
