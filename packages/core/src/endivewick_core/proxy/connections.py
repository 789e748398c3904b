"""The pool of connections to each upstream: opening, checking, pinging and closing.

A home opens at most half of an upstream's connection cap: a previous home that is cut off may still
have its connections open, and both together must stay within the cap. A new connection is given
work only after it has answered a ping. After a connection times out or breaks, the other
connections to its upstream are suspect until each has answered a ping.
"""

from .effects import CloseConnection, Effect, OpenConnection, SendUpstream
from .state import Connection, ConnectionState, Home, Instance, ProxyState, lease_valid

OPEN_RETRY_MS = 100
SPARE_CONNECTIONS = 1


def wanted_connections(home: Home, instance: Instance) -> int:
    """Return the target size of an upstream's connection pool."""
    pinned = sum(1 for item in home.transactions.values() if item.upstream == instance.name)
    return min(instance.connection_cap // 2, instance.slots + pinned + SPARE_CONNECTIONS)


def fill_pool(state: ProxyState, now_ms: int, home: Home, instance: Instance) -> list[Effect]:
    """Open connections until the pool of an upstream has its target size."""
    if now_ms < instance.next_open_ms or not lease_valid(state, now_ms):
        return []
    effects: list[Effect] = []
    while len(instance.connections) < wanted_connections(home, instance):
        number = state.next_connection
        state.next_connection += 1
        instance.connections[number] = Connection(
            number, instance.name, ConnectionState.OPENING, now_ms, sent_ms=now_ms
        )
        state.connections[number] = (home.group, instance.name)
        effects.append(OpenConnection(number, instance.address))
        if instance.consecutive_refusals:
            break
    return effects


def find(
    state: ProxyState, number: int
) -> tuple[Home, Instance, Connection] | tuple[None, None, None]:
    """Return a connection with its upstream and home, or Nones if it is not open any more."""
    group, upstream = state.connections.get(number, ("", ""))
    home = state.homes.get(group)
    instance = home.instances.get(upstream) if home else None
    connection = instance.connections.get(number) if instance else None
    if home is None or instance is None or connection is None:
        return None, None, None
    return home, instance, connection


def take_idle(instance: Instance) -> Connection | None:
    """Take an idle connection that is not suspect from the pool."""
    for position in range(len(instance.idle) - 1, -1, -1):
        connection = instance.connections[instance.idle[position]]
        if connection.suspect:
            continue
        del instance.idle[position]
        connection.state = ConnectionState.BUSY
        return connection
    return None


def make_idle(instance: Instance, connection: Connection) -> None:
    """Return a connection to the pool."""
    connection.state = ConnectionState.IDLE
    connection.internal_request = ""
    connection.work = None
    connection.transaction = ""
    instance.idle.append(connection.number)


def remove(state: ProxyState, instance: Instance, connection: Connection) -> None:
    """Remove a connection; the calling function handles the work in flight on it."""
    state.connections.pop(connection.number, None)
    instance.connections.pop(connection.number, None)
    if connection.number in instance.idle:
        instance.idle.remove(connection.number)


def suspect_siblings(instance: Instance) -> None:
    """Mark every idle connection as suspect, so that it must answer a ping before its next work."""
    for number in instance.idle:
        instance.connections[number].suspect = True


def send_internal(
    now_ms: int, connection: Connection, name: str, body: dict[str, object]
) -> SendUpstream:
    """Send one of the proxy's own requests on a connection taken from the pool."""
    connection.internal_request = name
    connection.sent_ms = now_ms
    return SendUpstream(connection.number, f"/{name}", body)


def ping_due(state: ProxyState, now_ms: int, home: Home, instance: Instance) -> list[Effect]:
    """Ping an upstream without other traffic, and every suspect or long idle connection.

    While writes wait for a replica, each upstream is pinged at every tick.
    """
    settings = state.settings
    effects: list[Effect] = []
    last_contact_ms = max(instance.last_ping_ms, instance.last_received_ms)
    regular = bool(home.awaiting_replica) or now_ms - last_contact_ms >= settings.ping_ms
    for number in list(instance.idle):
        connection = instance.connections[number]
        stale = now_ms - connection.last_received_ms >= settings.idle_check_ms
        if regular or stale or connection.suspect:
            effects.append(_ping(now_ms, instance, connection))
            regular = False
    return effects


def ping_others(now_ms: int, home: Home, primary: str) -> list[Effect]:
    """Ping each replica now, to learn whether it has received a write."""
    effects: list[Effect] = []
    for instance in home.instances.values():
        if instance.name != primary and instance.idle:
            connection = instance.connections[instance.idle[0]]
            effects.append(_ping(now_ms, instance, connection))
    return effects


def _ping(now_ms: int, instance: Instance, connection: Connection) -> SendUpstream:
    instance.idle.remove(connection.number)
    connection.state = ConnectionState.CHECKING
    instance.last_ping_ms = now_ms
    return send_internal(now_ms, connection, "ping", {})


def close_aged(state: ProxyState, now_ms: int, instance: Instance) -> list[Effect]:
    """Close one idle connection that is past its maximum age.

    The maximum age varies with the connection's number, so that connections don't expire together.
    """
    limit_ms = state.settings.connection_age_ms
    for number in instance.idle:
        connection = instance.connections[number]
        if now_ms - connection.opened_ms < limit_ms + number % 16 * limit_ms // 16:
            continue
        remove(state, instance, connection)
        return [CloseConnection(number)]
    return []
