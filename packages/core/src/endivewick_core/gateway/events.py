"""The events that a gateway's reducer handles; ``now_ms`` is the process's monotonic clock."""

from typing import Any, NamedTuple

from ..routes import Configuration
from ..statements import Statement
from ..upstream_links import ConnectionBroke, ConnectionOpened, ConnectionReplied


class Tick(NamedTuple):
    """Time has passed; sent regularly so that timeouts and polls are handled."""

    now_ms: int


class SessionOpened(NamedTuple):
    """A client named its workspace and presented its key on a new connection."""

    now_ms: int
    session: int
    workspace: str
    key: str = ""

    def __repr__(self) -> str:
        """Return a text without the key, which must not appear in logs."""
        return f"SessionOpened({self.now_ms}, {self.session}, {self.workspace!r})"


class StatementReceived(NamedTuple):
    """A session sent a statement."""

    now_ms: int
    session: int
    statement: Statement


class SessionClosed(NamedTuple):
    """A client's connection ended."""

    now_ms: int
    session: int


class SessionIdle(NamedTuple):
    """A session that was to be finished has sent nothing more."""

    now_ms: int
    session: int


class MessageReceived(NamedTuple):
    """A control process or another gateway sent ``message``."""

    now_ms: int
    message: Any


class MessageUndelivered(NamedTuple):
    """``message`` could not be sent, because the process at ``address`` isn't connected."""

    now_ms: int
    address: str
    message: Any


class ConfigurationReceived(NamedTuple):
    """A complete configuration from control was checked and decoded."""

    now_ms: int
    configuration: Configuration


class DrainRequested(NamedTuple):
    """A planned stop was requested; the process ends within ``grace_ms``."""

    now_ms: int
    grace_ms: int


Event = (
    Tick
    | SessionOpened
    | StatementReceived
    | SessionClosed
    | SessionIdle
    | ConnectionOpened
    | ConnectionReplied
    | ConnectionBroke
    | MessageReceived
    | MessageUndelivered
    | ConfigurationReceived
    | DrainRequested
)
