"""The tests that KNOWN-RED.txt names by their node are expected to fail, and must fail.

A test that is named and passes makes the run fail, so that its entry goes with the fix. Entries
without the name of a node have no effect here.
"""

import re

import pytest

FILE = "KNOWN-RED.txt"
NODE = re.compile(r"(?<!\S)tests/\w+\.py::\w+(?:\[[^\]\s]+\])?")


def named_nodes(text):
    """Return the nodes that the text of KNOWN-RED.txt names."""
    return set(NODE.findall(text))


def pytest_collection_modifyitems(config, items):
    """Mark the named tests before any are deselected."""
    names = named_nodes((config.rootpath / FILE).read_text())
    for item in items:
        if item.nodeid in names:
            # Only a promise that is found broken is expected, no other error.
            mark = pytest.mark.xfail(strict=True, raises=AssertionError, reason=FILE)
            item.add_marker(mark)
