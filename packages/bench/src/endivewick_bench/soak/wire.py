"""The interface through which the soak's stand-ins speak a platform's wire protocol.

The platform's adapter implements it.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from endivewick_core.directory import UpstreamReport
from endivewick_core.routes import Configuration
from endivewick_core.statements import UpstreamStatement
from endivewick_node.http_server import Request
from endivewick_node.statement_wire import StatementWire, WireFault


class Greeting(NamedTuple):
    """The first message of a connection: the service and the upstream that the caller expects."""

    service: str
    upstream: str


class FailoverOrder(NamedTuple):
    """An order to change a service's primary."""

    service: str
    upstream: str
    holder: str
    token: int


class ProcessPlan(NamedTuple):
    """The settings of one process of the soak, independent of the platform.

    ``seeds`` are the operator addresses of control processes. ``routes`` maps addresses of other
    processes to those of the relays through which this process reaches them.
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
    fences_primaries: bool
    routes: dict[str, str]


UpstreamSideMessage = Greeting | UpstreamStatement | WireFault


class SoakWire(NamedTuple):
    """The codecs, paths and commands for the platform's side of the wire.

    ``encode_report`` returns a path and a body, ``read_version`` the version of a configuration
    that was read back. The role of the process is appended to ``start_command``.
    """

    statements: StatementWire
    read_caller: Callable[[], Callable[[bytes], list[UpstreamSideMessage]]]
    encode_report: Callable[[UpstreamReport], tuple[str, dict[str, Any]]]
    report_path: Callable[[str], str]
    configuration_path: str
    encode_configuration: Callable[[Configuration], dict[str, Any]]
    read_version: Callable[[dict[str, Any]], int]
    readiness_path: str
    read_order: Callable[[Request], FailoverOrder | None]
    encode_settings: Callable[[ProcessPlan], str]
    settings_variable: str
    start_command: list[str]
