"""Settings: a JSON file with comments, validated completely before the process starts."""

from pathlib import Path
from typing import Annotated, Any, Literal, NotRequired

import jsonc
from endivewick_core.contract_checks import NAME_PATTERN, error_lines
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError, with_config
from typing_extensions import TypedDict

from .exceptions import SettingsInvalid

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Key = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
STRICT = ConfigDict(extra="forbid", strict=True)


def _milliseconds(low: int, high: int) -> Any:
    return Field(ge=low, le=high)


@with_config(STRICT)
class MemberSettings(TypedDict):
    """A control process: its name, its cluster address and its address for operators."""

    name: Name
    address: Address
    operator_address: Address


@with_config(STRICT)
class ControlSection(TypedDict):
    """The list of control processes, identical on every node, and their timing."""

    members: Annotated[list[MemberSettings], Field(min_length=1, max_length=9)]
    heartbeat_ms: NotRequired[Annotated[int, _milliseconds(10, 10_000)]]
    election_timeout_ms: NotRequired[Annotated[int, _milliseconds(50, 60_000)]]
    lease_ms: NotRequired[Annotated[int, _milliseconds(200, 60_000)]]
    snapshot_entries: NotRequired[Annotated[int, Field(ge=10, le=1_000_000)]]


@with_config(STRICT)
class ClusterSection(TypedDict):
    """The address for messages from other processes.

    ``routes`` maps the addresses of some processes to those at which this one reaches them.
    """

    address: Address
    routes: NotRequired[dict[Address, Address]]


@with_config(STRICT)
class HttpSection(TypedDict):
    """The HTTP address: of a proxy for callers, of a control process for operators."""

    address: Address
    body_limit_bytes: NotRequired[Annotated[int, Field(ge=1_024, le=64 * 1024 * 1024)]]
    request_timeout_ms: NotRequired[Annotated[int, _milliseconds(100, 600_000)]]
    connection_limit: NotRequired[Annotated[int, Field(ge=1, le=1_000_000)]]


@with_config(STRICT)
class TlsSection(TypedDict):
    """The PEM files of the HTTP address's certificate chain and key."""

    certificate_file: str
    key_file: str


@with_config(STRICT)
class StatsdSection(TypedDict):
    """The address of statsd, and the prefix of every metric name."""

    address: Address
    prefix: NotRequired[str]


@with_config(STRICT)
class LogSection(TypedDict):
    """The lowest level to log, and a file to log to instead of standard error."""

    level: NotRequired[Literal["debug", "info", "warning", "error"]]
    file: NotRequired[str]


@with_config(STRICT)
class ProxySection(TypedDict):
    """The limits and timeouts of a proxy; docs/reference/settings.md lists the defaults."""

    heartbeat_ms: NotRequired[Annotated[int, _milliseconds(20, 10_000)]]
    grant_ms: NotRequired[Annotated[int, _milliseconds(50, 60_000)]]
    control_timeout_ms: NotRequired[Annotated[int, _milliseconds(50, 60_000)]]
    configuration_limit_ms: NotRequired[Annotated[int, _milliseconds(500, 7_000)]]
    balancer_grace_ms: NotRequired[Annotated[int, _milliseconds(0, 600_000)]]
    ping_ms: NotRequired[Annotated[int, _milliseconds(10, 10_000)]]
    ping_timeout_ms: NotRequired[Annotated[int, _milliseconds(20, 60_000)]]
    unreachable_ms: NotRequired[Annotated[int, _milliseconds(100, 60_000)]]
    open_timeout_ms: NotRequired[Annotated[int, _milliseconds(20, 60_000)]]
    idle_check_ms: NotRequired[Annotated[int, _milliseconds(100, 600_000)]]
    connection_age_ms: NotRequired[Annotated[int, _milliseconds(1_000, 86_400_000)]]
    short_attempt_ms: NotRequired[Annotated[int, _milliseconds(10, 600_000)]]
    long_run_ms: NotRequired[Annotated[int, _milliseconds(1, 600_000)]]
    long_share: NotRequired[Annotated[float, Field(gt=0, lt=1)]]
    queue_limit: NotRequired[Annotated[int, Field(ge=1, le=1_000_000)]]
    waiting_limit: NotRequired[Annotated[int, Field(ge=1, le=1_000_000)]]
    transaction_idle_ms: NotRequired[Annotated[int, _milliseconds(100, 3_600_000)]]
    switchover_limit_ms: NotRequired[Annotated[int, _milliseconds(100, 600_000)]]


@with_config(STRICT)
class Settings(TypedDict):
    """The settings of one process."""

    name: Name
    role: Literal["proxy", "control"]
    data_centre: Name
    region: Name
    cluster: ClusterSection
    http: HttpSection
    control: ControlSection
    session_key: NotRequired[Key]
    operator_key: NotRequired[Annotated[str, Field(min_length=16)]]
    data_folder: NotRequired[str]
    tls: NotRequired[TlsSection]
    statsd: NotRequired[StatsdSection]
    log: NotRequired[LogSection]
    proxy: NotRequired[ProxySection]


_settings_adapter: TypeAdapter[Settings] = TypeAdapter(Settings)


def load_settings(path: Path) -> Settings:
    """Return the settings in a file; raise SettingsInvalid with all schema faults."""
    try:
        text = path.read_text()
    except OSError as error:
        raise SettingsInvalid([f"E001 {path}: can't be read: {error.strerror}"]) from error
    try:
        raw = jsonc.loads(text)
    except ValueError as error:
        raise SettingsInvalid([f"E002 {path}: not JSON with comments: {error}"]) from error
    try:
        return _settings_adapter.validate_python(raw)
    except ValidationError as error:
        raise SettingsInvalid([f"E003 {line}" for line in error_lines(error)]) from error
