"""What the soak's stand-ins need of a platform's wire; the platform's adapter provides it."""

from collections.abc import Callable
from typing import Any, NamedTuple

from endivewick_core.directory import UpstreamReport
from endivewick_core.routes import Configuration
from endivewick_core.statements import UpstreamStatement
from endivewick_node.http_server import Request
from endivewick_node.statement_wire import StatementWire, WireFault


class Greeting(NamedTuple):
    """A gateway or control names the service and the upstream that it expects."""

    service: str
    upstream: str


class Order(NamedTuple):
    """An order to change a service's primary."""

    service: str
    upstream: str
    holder: str
    token: int


class ProcessPlan(NamedTuple):
    """The settings of one process of the soak, in the project's words.

    ``seeds`` are operators' addresses of control processes, and ``routes`` the addresses at which
    this process reaches others through a relay.
    """

    name: str
    ip: str
    data_centre: str
    regions: dict[str, str]
    seeds: list[str]
    is_first_start: bool
    data_folder: str
    session_address: str
    readiness_address: str
    operator_address: str
    platform_address: str
    lost_disks: int
    grace_s: int
    routes: dict[str, str]


UpstreamSideMessage = Greeting | UpstreamStatement | WireFault


class SoakWire(NamedTuple):
    """The other side of the platform's wire.

    ``encode_report`` returns a path and a body, ``read_version`` the version of a configuration
    that was read back. ``start_command`` is followed by the role of the process.
    """

    statements: StatementWire
    read_caller: Callable[[], Callable[[bytes], list[UpstreamSideMessage]]]
    encode_report: Callable[[UpstreamReport], tuple[str, dict[str, Any]]]
    report_path: Callable[[str], str]
    configuration_path: str
    encode_configuration: Callable[[Configuration], dict[str, Any]]
    read_version: Callable[[dict[str, Any]], int]
    readiness_path: str
    read_order: Callable[[Request], Order | None]
    encode_settings: Callable[[ProcessPlan], str]
    settings_variable: str
    start_command: list[str]
