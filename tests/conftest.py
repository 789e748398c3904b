"""Shared fixtures, and the closing tables of the proofs."""

import os
from collections import Counter

import pytest
from endivewick_bench.checkers import CHECKERS
from gateway_driver import ready_gateway
from known_red import pytest_collection_modifyitems as mark_known_red
from log_handlers import temporary_log_handlers
from replicated_service import running_service


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    """Expect the tests that KNOWN-RED.txt names to fail."""
    mark_known_red(config, items)


def pytest_terminal_summary(terminalreporter):
    """Print the fault matrix as a table of promises by faults, with the number of cells run."""
    cells: Counter[tuple[str, str]] = Counter()
    steps, states = 0, 0
    for reports in terminalreporter.stats.values():
        for report in reports:
            if getattr(report, "when", "") != "call":
                continue
            for name, value in getattr(report, "user_properties", []):
                if name == "cell":
                    cells[tuple(value)] += 1
                if name == "steps":
                    steps += value
                if name == "states":
                    states += value
    if steps:
        terminalreporter.write_line(f"control search: {steps} steps explored")
    if states:
        terminalreporter.write_line(f"control exploration: {states} states visited")
    if not cells:
        return
    promises = list(CHECKERS)
    terminalreporter.write_line("fault matrix: cells run per promise (-: not proved)")
    width = max(len(fault) for _, fault in cells)
    header = "".join(f"{promise[:11]:>12}" for promise in promises)
    terminalreporter.write_line(f"{'':<{width}}{header}")
    for fault in sorted({fault for _, fault in cells}):
        row = "".join(f"{cells[(promise, fault)] or '-':>12}" for promise in promises)
        terminalreporter.write_line(f"{fault:<{width}}{row}")


@pytest.fixture
def loopback():
    """Return a loopback network that no other test process uses, as its first three octets."""
    return f"127.{160 + os.getpid() % 90}.{os.getpid() // 90 % 250}"


@pytest.fixture
def log_handlers():
    """Return the logger, and remove its handlers after the test."""
    with temporary_log_handlers() as logger:
        yield logger


@pytest.fixture
def gateway():
    """Return a gateway with a configuration, three upstreams and open connections."""
    return ready_gateway()


@pytest.fixture(params=[True, False], ids=["fencing", "without_fencing"])
def service(request):
    """Return a replicated service under a leader of control, on each kind of platform."""
    return running_service(request.param)


@pytest.fixture
def fenced_service():
    """Return a replicated service on a platform that fences former primaries."""
    return running_service(is_fenced=True)
