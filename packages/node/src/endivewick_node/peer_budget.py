"""The bytes that the connections of a process hold together, and which connection has to go.

Clients share one budget. When it is exceeded, the connection that holds most for longest is closed:
the one with the highest product of bytes and time. A large message that is being received or
answered is held for a short time only, so connections that stop halfway go first.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from .logs import log_rate_limited

# Of the process's memory. Held bytes cost up to three times their size while a message is decoded
# and sent on, and a process needs about 45 MB without load.
MEMORY_SHARE = 1 / 8
MEGABYTE = 1024 * 1024
# Used where the settings name no memory limit.
DEFAULT_BUDGET_BYTES = 32 * MEGABYTE
# Connections that held less are not worth closing; a connection without work holds nothing.
SMALLEST_CLOSED_BYTES = 1_024


@dataclass(slots=True, eq=False)
class Account:
    """What one connection holds, since when it holds anything, and how to close it.

    ``close`` gets the reason. It must lead to ``remove``.
    """

    close: Callable[[str], None]
    held_bytes: int = 0
    since_ms: int = 0


def ignore_event(event: str) -> None:
    """Count nothing."""


@dataclass(slots=True)
class PeerBudget:
    """The accounts of the connections that hold anything.

    ``count_event`` counts the connections that were closed, by reason.
    """

    limit_bytes: int = DEFAULT_BUDGET_BYTES
    count_event: Callable[[str], None] = ignore_event
    held_bytes: int = 0
    accounts: set[Account] = field(default_factory=set)
    is_closing: bool = False

    def update(self, account: Account, held_bytes: int, now_ms: int) -> None:
        """Record what a connection holds now, and close connections above the budget."""
        if held_bytes == account.held_bytes:
            return
        if not account.held_bytes:
            account.since_ms = now_ms
            self.accounts.add(account)
        self.held_bytes += held_bytes - account.held_bytes
        account.held_bytes = held_bytes
        if not held_bytes:
            self.accounts.discard(account)
        if self.held_bytes > self.limit_bytes:
            self._close_connections(now_ms)

    def remove(self, account: Account) -> None:
        """Forget a closed connection."""
        self.held_bytes -= account.held_bytes
        account.held_bytes = 0
        self.accounts.discard(account)

    def report(self, port: str, reason: str, account: Account, outcome: str = "closed") -> None:
        """Log and count that a limit closed or refused a connection of a port."""
        self.count_event(f"peer_closed.{reason}")
        inputs: dict[str, object] = {
            "port": port,
            "reason": reason,
            "held_bytes": account.held_bytes,
            "all_held_bytes": self.held_bytes,
            "limit_bytes": self.limit_bytes,
        }
        log_rate_limited("warning", "peer_closed", reason, inputs=inputs, outcome=outcome)

    def _close_connections(self, now_ms: int) -> None:
        # Closing a session may write answers to others, which update their accounts.
        if self.is_closing:
            return
        self.is_closing = True
        try:
            while self.held_bytes > self.limit_bytes and self.accounts:
                account = max(self.accounts, key=lambda item: _weight(item, now_ms))
                if account.held_bytes < SMALLEST_CLOSED_BYTES:
                    return
                account.close("memory_budget")
                self.remove(account)
        finally:
            self.is_closing = False


def budget_bytes(memory_limit_mb: int) -> int:
    """Return the budget of a process with this much memory."""
    return int(memory_limit_mb * MEGABYTE * MEMORY_SHARE)


def _weight(account: Account, now_ms: int) -> int:
    return account.held_bytes * (now_ms - account.since_ms + 1)
