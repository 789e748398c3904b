"""The tests that KNOWN-RED.txt names by their node are expected to fail, and must fail.

A test that is named and passes makes the run fail, so that its entry goes with the fix. Entries
without the name of a node have no effect here.
"""

import re

import pytest

FILE = "KNOWN-RED.txt"
NODE = re.compile(r"(?<!\S)(tests/\w+\.py)::\w+(?:\[[^\]\s]+\])?")


def pytest_collection_modifyitems(config, items):
    """Mark the named tests before any are deselected."""
    text = (config.rootpath / FILE).read_text()
    names = {match.group(): match.group(1) for match in NODE.finditer(text)}
    for item in items:
        if item.nodeid in names:
            # Only a promise that is found broken is expected, no other error.
            mark = pytest.mark.xfail(strict=True, raises=AssertionError, reason=FILE)
            item.add_marker(mark)
    if any("::" in argument for argument in config.args):
        return
    collected = {item.nodeid for item in items}
    paths = {name.partition("::")[0] for name in collected}
    for name, path in names.items():
        is_missing = path in paths or not (config.rootpath / path).exists()
        if is_missing and name not in collected:
            raise pytest.UsageError(f"{FILE} names {name}, which doesn't exist")
