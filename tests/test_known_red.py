"""KNOWN-RED.txt: exactly the tests that it names may fail, and they have to."""

import os
import subprocess
import sys
from pathlib import Path

import pytest
from known_red import FILE, named_nodes
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

CONFTEST = "from known_red import pytest_collection_modifyitems\n"
TESTS = """
import pytest

def test_fails():
    assert False

def test_passes():
    pass

def test_has_an_error():
    raise KeyError("a fault of the test itself")

@pytest.mark.parametrize("name", ["one", "two"])
def test_fails_for_one(name):
    assert name != "one"
"""
PASSED, FAILED = 0, 1
ROOT = Path(__file__).parent.parent


@pytest.fixture
def run(tmp_path):
    """Return a function that runs some of the tests above with the entries it is given."""

    def run_with(entries, *selected):
        (tmp_path / "tests").mkdir()
        (tmp_path / "pytest.ini").write_text("[pytest]\naddopts = -q -rxX\n")
        (tmp_path / "KNOWN-RED.txt").write_text(entries)
        (tmp_path / "tests/conftest.py").write_text(CONFTEST)
        (tmp_path / "tests/test_some.py").write_text(TESTS)
        command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "tests"]
        if selected:
            command += ["-k", " or ".join(selected)]
        environment = {**os.environ, "PYTHONPATH": str(Path(__file__).parent)}
        done = subprocess.run(
            command, cwd=tmp_path, env=environment, capture_output=True, text=True, check=False
        )
        return done.returncode, done.stdout + done.stderr

    return run_with


def test_a_named_test_that_fails_is_passed_over_and_printed(run):
    code, output = run("- tests/test_some.py::test_fails: command, what was seen\n", "test_fails")
    assert_that(code, Equals(FAILED), output)
    assert_that(output, Contains("XFAIL tests/test_some.py::test_fails - KNOWN-RED.txt"))
    assert_that(output, Contains("1 failed, 1 passed, 2 deselected, 1 xfailed"))


def test_a_named_test_that_passes_fails_the_run(run):
    code, output = run("- tests/test_some.py::test_passes, command\n", "test_passes")
    assert_that(code, Equals(FAILED), output)
    assert_that(output, Contains("XPASS(strict)"))


def test_an_unsteady_test_may_fail_or_pass_and_is_printed(run):
    entries = "".join(
        f"- unsteady: tests/test_some.py::test_fails_for_one[{name}], command\n"
        for name in ("one", "two")
    )
    code, output = run(entries, "test_fails_for_one")
    assert_that(code, Equals(PASSED), output)
    assert_that(output, Contains("3 deselected, 1 xfailed, 1 xpassed"))
    for outcome, name in (("XFAIL", "one"), ("XPASS", "two")):
        node = f"tests/test_some.py::test_fails_for_one[{name}]"
        assert_that(output, Contains(f"{outcome} {node} - KNOWN-RED.txt"))


def test_an_unsteady_test_with_another_error_fails_the_run(run):
    code, output = run("- unsteady: tests/test_some.py::test_has_an_error\n", "test_has_an_error")
    assert_that(code, Equals(FAILED), output)


def test_a_named_test_with_another_error_fails_the_run(run):
    code, output = run("- tests/test_some.py::test_has_an_error\n", "test_has_an_error")
    assert_that(code, Equals(FAILED), output)


def test_one_case_of_a_test_can_be_named(run):
    entry = "- tests/test_some.py::test_fails_for_one[one]: command\n"
    code, output = run(entry, "test_fails_for_one")
    assert_that(code, Equals(PASSED), output)
    assert_that(output, Contains("1 passed, 3 deselected, 1 xfailed"))


def test_each_named_test_exists():
    """An entry whose test was renamed would have no effect, and not be missed."""
    command = [sys.executable, "-m", "pytest", "-o", "addopts=", "-q", "--collect-only", "tests"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    named = named_nodes((ROOT / FILE).read_text())
    assert_that(named - set(done.stdout.splitlines()), Equals(set()))


def test_an_entry_that_names_a_file_only_has_no_effect(run):
    code, output = run("- tests/test_some.py, both runs: command\n", "test_fails")
    assert_that(code, Equals(FAILED), output)
    assert_that(output, Contains("2 failed"))
