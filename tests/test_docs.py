"""The reference pages name what the code has."""

import re
from pathlib import Path

import pytest
from endivewick_core.codec import Codec
from endivewick_core.commands import COMMANDS
from endivewick_core.control.state import ControlSettings
from endivewick_core.exceptions import FAILURES_BY_NAME
from endivewick_core.gateway.effects import StatementServed
from endivewick_core.messages import CODEC
from endivewick_core.proxy.state import ProxySettings
from endivewick_node import conf
from endivewick_node.prometheus_metrics import PrometheusMetrics
from prometheus_client.parser import text_string_to_metric_families
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

ROOT = Path(__file__).parent.parent
REFERENCE = ROOT / "docs" / "reference"


def page(name):
    return (REFERENCE / name).read_text()


@pytest.mark.parametrize("codec", [CODEC, COMMANDS], ids=["messages", "commands"])
def test_every_message_is_documented(codec: Codec):
    text = page("messages.md")
    for name in codec.decoders:
        assert_that(text, Contains(f"### {name}\n"))


def test_every_failure_is_documented_with_its_status():
    text = page("http-api.md")
    for failure in FAILURES_BY_NAME.values():
        rows = [line for line in text.splitlines() if line.startswith("| `")]
        row = next(line for line in rows if f"`{failure.name}`" in line)
        assert_that(row, Contains(str(failure.status)))
        assert_that(row, Contains(f"| {failure.ran} |"))


@pytest.mark.parametrize(
    ("section", "prefix", "defaults"),
    [
        (conf.ProxySection, "proxy.", ProxySettings._field_defaults),
        (conf.ControlSection, "control.", ControlSettings._field_defaults),
    ],
)
def test_every_setting_is_documented_with_its_default(section, prefix, defaults):
    rows = [line for line in page("settings.md").splitlines() if line.startswith("| `")]
    for name in section.__annotations__:
        if name not in defaults:
            continue
        row = next(line for line in rows if f"`{prefix}{name}`" in line)
        value = defaults[name]
        text = f"{value:,}" if isinstance(value, int) else str(value)
        assert_that(row, Contains(text))


def test_every_proxy_setting_reaches_the_reducer():
    fields = set(ProxySettings._field_defaults)
    assert_that(set(conf.ProxySection.__annotations__), Equals(fields))


def test_counters_of_the_core_are_documented():
    text = page("metrics.md")
    for path in (ROOT / "packages" / "core" / "src").rglob("*.py"):
        for name in re.findall(r'Count\("([a-z._]+)"', path.read_text()):
            assert_that(text, Contains(name))


def test_events_of_the_core_are_documented():
    text = page("metrics.md")
    for path in (ROOT / "packages" / "core" / "src").rglob("*.py"):
        for name in re.findall(r'LogEvent\(\s*"[a-z]+",\s*"([a-z_]+)"', path.read_text()):
            assert_that(text, Contains(f"`{name}`"))


def test_every_fault_id_is_documented():
    text = page("settings.md")
    ranges = re.findall(r"E0(\d\d) to E0(\d\d)", text)
    named = {number for low, high in ranges for number in range(int(low), int(high) + 1)}
    named |= {int(number) for number in re.findall(r"E0(\d\d)", text)}
    for name in ("checks.py", "conf.py"):
        source = (ROOT / "packages/node/src/endivewick_node" / name).read_text()
        for number in re.findall(r"E0(\d\d) ", source):
            assert_that(named, Contains(int(number)))


def test_relative_links_of_the_docs_lead_somewhere():
    for path in [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]:
        for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", path.read_text()):
            assert_that((path.parent / target).exists(), Equals(True), f"{path}: {target}")


def test_every_series_of_the_metrics_address_is_documented():
    metrics = PrometheusMetrics()
    metrics.record_statement(StatementServed("shop", "read", "ok", 12))
    metrics.count_event("started")
    metrics.set_gauge("sessions", 1)
    parsed = text_string_to_metric_families(metrics.render().decode())
    families = [family for family in parsed if not family.name.endswith("_created")]
    rows = [line for line in page("metrics.md").splitlines() if line.startswith("| `endivewick_")]
    assert_that(len(rows), Equals(len(families)))
    for family in families:
        name = f"{family.name}_total" if family.type == "counter" else family.name
        row = next(line for line in rows if line.startswith(f"| `{name}` | {family.type} |"))
        for label in family.samples[0].labels:
            if label != "le":
                assert_that(row, Contains(f"`{label}`"))


def test_every_gauge_and_log_event_is_documented():
    text = page("metrics.md")
    for path in (ROOT / "packages").rglob("src/**/*.py"):
        source = path.read_text()
        for name in re.findall(r'(?:prometheus|metrics)\.set_gauge\("([a-z_]+)"', source):
            assert_that(text, Contains(f"`{name}`"), str(path))
        for name in re.findall(r'LogEvent\(\s*"[a-z]+",\s*"([a-z_]+)"', source):
            assert_that(text, Contains(f"`{name}`"), str(path))
