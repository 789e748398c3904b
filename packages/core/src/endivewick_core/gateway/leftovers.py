"""What a gateway has not finished yet, for the log lines of its planned stop."""

from typing import NamedTuple

from ..messages import ForwardedReply
from ..statements import TransactionState
from .state import GatewayState, Session

MAX_REQUEST_IDS = 20  # the line stays short where every session is left


class Leftovers(NamedTuple):
    """The unfinished work of a gateway.

    ``sessions`` are those of clients, ``in_transaction`` of them in a transaction. ``statements``
    are those of clients without an answer, ``sent`` of them sent to an upstream or a holder and
    ``held_commits`` waiting for a lease. The ``other_`` fields count the sessions and statements
    that this gateway runs for others, and the answers that it could not send to them yet.
    """

    sessions: int
    in_transaction: int
    statements: int
    sent: int
    held_commits: int
    other_sessions: int
    other_statements: int
    other_answers: int
    request_ids: list[str]


def find(state: GatewayState) -> Leftovers:
    """Return the unfinished work; it changes nothing."""
    clients = [session for session in state.sessions.values() if session.origin is None]
    others = [session for session in state.sessions.values() if session.origin is not None]
    running = [item.current for item in clients if item.current is not None]
    request_ids = [item.statement.request_id for item in running]
    for session in clients:
        request_ids += [item.request_id for item in session.waiting]
    replies = [item for item in state.unsent_messages if isinstance(item.message, ForwardedReply)]
    return Leftovers(
        len(clients),
        sum(1 for item in clients if item.state is not TransactionState.IDLE),
        sum(_count_statements(item) for item in clients),
        sum(1 for item in running if item.sent_ms),
        len(state.unconfirmed_commits),
        len(others),
        sum(_count_statements(item) for item in others),
        len(replies),
        request_ids[:MAX_REQUEST_IDS],
    )


def _count_statements(session: Session) -> int:
    return len(session.waiting) + (session.current is not None)
