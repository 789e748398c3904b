"""The data of a stand-in upstream: a log of writes, and what replication and tests do to it."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

ADMIN_PORT_OFFSET = 1_000


class LogItem(NamedTuple):
    """One committed write."""

    term: int
    key: str
    value: Any


@dataclass(slots=True)
class Faults:
    """What a test has set: added delay, replication lag, silence and leaving."""

    slow_ms: float = 0.0
    lag_ms: float = 0.0
    silent_before: int = 0
    leaving: bool = False
    cut_replication: bool = False


@dataclass(slots=True)
class Database:
    """The data and the state of replication."""

    role: str
    term: int = 1
    primary: str = ""
    log: list[LogItem] = field(default_factory=list)
    data: dict[str, Any] = field(default_factory=dict)
    received: list[tuple[int, LogItem]] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)

    def write(self, key: str, value: Any) -> None:
        """Commit one write."""
        self.log.append(LogItem(self.term, key, value))
        self.data[key] = value

    def truncate(self, length: int) -> None:
        """Drop the log's end and rebuild the data."""
        del self.log[length:]
        self.data = {item.key: item.value for item in self.log}


def admin_address(address: str) -> str:
    """Return where an upstream takes replication and faults."""
    host, _, port = address.rpartition(":")
    return f"{host}:{int(port) + ADMIN_PORT_OFFSET}"
