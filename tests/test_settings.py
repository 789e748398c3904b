"""Validation of settings files: all errors of a file are reported at once."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from endivewick_node.checks import check_settings
from endivewick_node.conf import load_settings
from endivewick_node.exceptions import SettingsInvalid
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, MatchesListwise, StartsWith

MEMBERS = [
    {
        "name": f"control-{number}",
        "address": f"127.0.0.{number}:7000",
        "operator_address": f"127.0.0.{number}:8000",
    }
    for number in (1, 2, 3)
]


@pytest.fixture
def proxy():
    return {
        "name": "proxy-1",
        "role": "proxy",
        "data_centre": "alexandria-1",
        "region": "alexandria",
        "cluster": {"address": "127.0.0.9:7000"},
        "http": {"address": "127.0.0.9:8000"},
        "control": {"members": MEMBERS},
        "session_key": "ab" * 32,
    }


@pytest.fixture
def control(proxy, tmp_path):
    member = MEMBERS[0]
    shared = {key: value for key, value in proxy.items() if key != "session_key"}
    return {
        **shared,
        "name": "control-1",
        "role": "control",
        "cluster": {"address": member["address"]},
        "http": {"address": member["operator_address"]},
        "data_folder": str(tmp_path),
    }


def faults_of(settings, tmp_path):
    path = tmp_path / "settings.json"
    path.write_text("// a comment\n" + json.dumps(settings))
    try:
        check_settings(load_settings(path))
    except SettingsInvalid as error:
        return error.faults
    return []


def test_valid_settings_have_no_fault(proxy, control, tmp_path):
    assert_that(faults_of(proxy, tmp_path), Equals([]))
    assert_that(faults_of(control, tmp_path), Equals([]))


def test_all_schema_errors_are_reported_at_once(proxy, tmp_path):
    proxy["rolle"] = "proxy"
    proxy["http"]["body_limit_bytes"] = "many"
    proxy["control"]["lease_ms"] = 1
    proxy["session_key"] = "short"
    del proxy["region"]
    faults = faults_of(proxy, tmp_path)
    assert_that(faults, HasLength(5))
    for path in ("rolle", "http.body_limit_bytes", "control.lease_ms", "session_key", "region"):
        assert_that("\n".join(faults), Contains(path))


def test_all_invalid_values_are_reported_at_once(proxy, tmp_path):
    proxy["cluster"]["address"] = "127.0.0.999:7000"
    proxy["name"] = "control-1"
    proxy["data_folder"] = "/nowhere"
    proxy["control"] = {"members": MEMBERS[:2], "lease_ms": 300}
    ids = [fault.split()[0] for fault in faults_of(proxy, tmp_path)]
    assert_that(ids, Equals(["E010", "E012", "E014", "E021", "E031"]))


def test_two_members_with_the_same_address(proxy, tmp_path):
    duplicate = {**MEMBERS[1], "address": MEMBERS[0]["address"]}
    proxy["control"] = {"members": [MEMBERS[0], duplicate, MEMBERS[2]]}
    matchers = [Contains("control.members.1: 127.0.0.1:7000 is also used at control.members.0")]
    assert_that(faults_of(proxy, tmp_path), MatchesListwise(matchers))


@pytest.mark.parametrize(
    ("change", "fault_id"),
    [
        ({"name": "control-9"}, "E015"),
        ({"cluster": {"address": "127.0.0.8:7000"}}, "E016"),
        ({"http": {"address": "127.0.0.8:8000"}}, "E017"),
        ({"data_folder": "/nowhere"}, "E023"),
        ({"tls": {"certificate_file": "/none", "key_file": "/none"}}, "E040"),
    ],
)
def test_invalid_control_settings(control, tmp_path, change, fault_id):
    assert_that(faults_of({**control, **change}, tmp_path)[0], StartsWith(fault_id))


def test_data_folder_that_cannot_be_synced(control, tmp_path, monkeypatch):
    def fail(descriptor):
        raise OSError(5, "Input/output error")

    monkeypatch.setattr("os.fsync", fail)
    assert_that(faults_of(control, tmp_path)[0], StartsWith("E024"))


def test_missing_data_folder(control, tmp_path):
    del control["data_folder"]
    assert_that(faults_of(control, tmp_path)[0], StartsWith("E022"))


def test_settings_file_with_invalid_json(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text("{ // only this")
    with pytest.raises(SettingsInvalid) as caught:
        load_settings(path)
    assert_that(caught.value.faults[0], StartsWith("E002"))


def test_missing_settings_file(tmp_path):
    with pytest.raises(SettingsInvalid) as caught:
        load_settings(tmp_path / "none.json")
    assert_that(caught.value.faults[0], StartsWith("E001"))


def run_endivewickd(*arguments):
    executable = Path(sys.executable).parent / "endivewickd"
    return subprocess.run([executable, *arguments], capture_output=True, text=True, timeout=60)


def test_check_prints_all_errors_and_exits_2(proxy, tmp_path):
    proxy["name"] = "control-1"
    proxy["data_folder"] = "x"
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(proxy))
    completed = run_endivewickd("--settings", str(path), "--check")
    assert_that(completed.returncode, Equals(2))
    assert_that(completed.stderr, Contains("E014"))
    assert_that(completed.stderr, Contains("E021"))


def test_check_of_valid_settings_exits_0(proxy, tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(proxy))
    assert_that(run_endivewickd("--settings", str(path), "--check").returncode, Equals(0))


def test_invalid_or_missing_flags_exit_2():
    assert_that(run_endivewickd("--nonsense").returncode, Equals(2))
    assert_that(run_endivewickd().returncode, Equals(2))
