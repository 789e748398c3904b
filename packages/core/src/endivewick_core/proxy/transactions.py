"""Transactions: each one has a connection to the primary reserved until it ends.

The connection returns to the pool only after the upstream has confirmed the commit or the rollback.
In every other case it is closed, so that no statement of another caller can run in the transaction.
"""

from ..exceptions import (
    TRANSACTION_BUSY,
    TRANSACTION_LOST,
    TRANSACTION_UNKNOWN,
    Failure,
)
from . import answers, dispatch
from .effects import Effect
from .state import Connection, ConnectionState, Home, ProxyState, Transaction
from .work import Work


def admit(state: ProxyState, now_ms: int, home: Home, work: Work) -> list[Effect]:
    """Queue a statement, a commit or a rollback of an open transaction."""
    failure = _refusal(home, work)
    if failure is not None:
        return [answers.refuse(state, now_ms, home, work.origin, failure)]
    transaction = home.transactions[work.transaction]
    home.transactions[work.transaction] = transaction._replace(busy=True, last_used_ms=now_ms)
    home.transactional.push(work)
    return dispatch.dispatch(state, now_ms, home)


def begin(home: Home, work: Work, connection: Connection, now_ms: int) -> str:
    """Reserve the connection for a transaction that its upstream began; return its identity."""
    home.serial += 1
    identity = f"{home.group}:{home.epoch}:{home.serial}"
    connection.state = ConnectionState.PINNED
    connection.transaction = identity
    home.connections_held[work.customer] = home.connections_held.get(work.customer, 0) + 1
    home.transactions[identity] = Transaction(
        identity, work.customer, connection.number, connection.upstream, now_ms, False
    )
    return identity


def set_idle(home: Home, identity: str, now_ms: int) -> None:
    """Mark a transaction as idle, so that its caller may send the next statement."""
    transaction = home.transactions.get(identity)
    if transaction is not None:
        home.transactions[identity] = transaction._replace(busy=False, last_used_ms=now_ms)


def end(home: Home, identity: str) -> None:
    """Remove a transaction; the calling function returns or closes its connection."""
    transaction = home.transactions.pop(identity, None)
    if transaction is not None:
        release_connection(home, transaction.customer)


def release_connection(home: Home, customer: str) -> None:
    """Release one of the upstream connections that count against a customer's contract."""
    count = home.connections_held.get(customer, 0) - 1
    if count > 0:
        home.connections_held[customer] = count
    else:
        home.connections_held.pop(customer, None)


def idle_connections(state: ProxyState, home: Home, now_ms: int) -> list[int]:
    """Return the connections of transactions that were idle for ``transaction_idle_ms``."""
    limit_ms = state.settings.transaction_idle_ms
    return [
        item.connection
        for item in home.transactions.values()
        if not item.busy and now_ms - item.last_used_ms >= limit_ms
    ]


def _refusal(home: Home, work: Work) -> Failure | None:
    group, _, rest = work.transaction.rpartition(":")[0].rpartition(":")
    if group == home.group and rest.isdigit() and int(rest) < home.epoch:
        message = "the group's home changed and rolled the transaction back; begin it again"
        return Failure(TRANSACTION_LOST, message)
    transaction = home.transactions.get(work.transaction)
    if transaction is None or transaction.customer != work.customer:
        message = "no such transaction is open: it ended, timed out or was lost; begin it again"
        return Failure(TRANSACTION_UNKNOWN, message)
    if transaction.busy:
        message = "the transaction's last statement is still running; wait for its response"
        return Failure(TRANSACTION_BUSY, message, retry_after_ms=50)
    return None
