"""The data of a stand-in upstream: a log of writes, its replication state and injected faults."""

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
    """Faults injected by a test: delay, replication lag, silent connections and leaving."""

    slow_ms: float = 0.0
    lag_ms: float = 0.0
    silent_before: int = 0
    leaving: bool = False
    cut_replication: bool = False


@dataclass(slots=True)
class Database:
    """A key-value store with a write log and replication state."""

    role: str
    term: int = 1
    primary: str = ""
    log: list[LogItem] = field(default_factory=list)
    data: dict[str, Any] = field(default_factory=dict)
    received: list[tuple[int, LogItem]] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)

    def write(self, key: str, value: Any) -> None:
        """Append one write to the log and apply it."""
        self.log.append(LogItem(self.term, key, value))
        self.data[key] = value

    def truncate(self, length: int) -> None:
        """Remove the log entries from index ``length`` on and rebuild the data."""
        del self.log[length:]
        self.data = {item.key: item.value for item in self.log}


def admin_address(address: str) -> str:
    """Return the address on which an upstream serves replication and fault injection."""
    host, _, port = address.rpartition(":")
    return f"{host}:{int(port) + ADMIN_PORT_OFFSET}"
