"""Connection holders: the gateways that run statements for others if connections are scarce.

Every gateway has its own connections while its share of an upstream's connection limit is at least
``GatewaySettings.min_connection_share``. Below that, a few gateways of each data centre hold
connections for the others. They are chosen per service by rendezvous hashing over the gateways that
control received polls from lately. All gateways of a data centre receive the
same list, so they disagree only for about the time of a poll.
"""

import xxhash

from .state import GatewayState

MIN_HOLDER_CONNECTIONS = 4  # of one holder, for all gateways that it holds connections for
HOLDER_BACKOFF_MS = 2_000  # how long the next holder is used instead of one that did not answer
RESERVED_CONNECTIONS = 4  # of an upstream's connection limit, for the probes of control


def available_connections(state: GatewayState, service: str) -> int:
    """Return how many connections to an upstream all gateways together may have."""
    known = state.configuration.services.get(service)
    if known is None:
        return 0
    reserved = max(RESERVED_CONNECTIONS, len(state.control.peers) + 1)
    return max(0, known.connection_limit - reserved)


def share(state: GatewayState, service: str) -> int:
    """Return this gateway's share of the connections to an upstream of a service."""
    if not are_needed(state, service):
        return max(1, _equal_share(state, service))
    if not holds(state, service):
        return 0
    return max(1, _data_centre_capacity(state, service) // _holder_count(state, service))


def are_needed(state: GatewayState, service: str) -> bool:
    """Tell whether there are too few connections for each gateway to have its own."""
    return _equal_share(state, service) < state.settings.min_connection_share and bool(
        state.control.neighbours
    )


def count(state: GatewayState, service: str) -> int:
    """Return how many gateways have their own connections for a service."""
    if not are_needed(state, service):
        return max(1, state.control.gateways)
    return max(1, len(state.settings.regions)) * _holder_count(state, service)


def holds(state: GatewayState, service: str) -> bool:
    """Tell whether this gateway has its own connections for a service."""
    if _equal_share(state, service) >= state.settings.min_connection_share:
        return True
    return state.settings.address in rank_gateways(state, service)[: _holder_count(state, service)]


def holder(state: GatewayState, now_ms: int, service: str) -> str:
    """Return the gateway that holds connections for this one, or an empty text if it does itself.

    It is the first candidate that isn't backed off, or the first one if all are.
    """
    candidates = candidates_for(state, service)
    for address in candidates:
        if now_ms >= state.control.backoff_until_ms.get(address, 0):
            return address
    return candidates[0] if candidates else ""


def candidates_for(state: GatewayState, service: str) -> list[str]:
    """Return the holders of a service and the next gateway after them.

    The list is empty if this gateway has its own connections.
    """
    if not state.control.neighbours or holds(state, service):
        return []
    return rank_gateways(state, service)[: _holder_count(state, service) + 1]


def holder_addresses(state: GatewayState, service: str) -> tuple[str, ...]:
    """Return the holders of a service in this data centre."""
    return tuple(rank_gateways(state, service)[: _holder_count(state, service)])


def rank_gateways(state: GatewayState, service: str) -> list[str]:
    """Return the gateways of this data centre in the order in which they become holders."""
    known = state.control.ranked_holders.get(service)
    if known is None:
        known = sorted(
            state.control.neighbours,
            key=lambda address: xxhash.xxh3_64_intdigest(f"{service} {address}".encode()),
        )
        state.control.ranked_holders[service] = known
    return known


def _equal_share(state: GatewayState, service: str) -> int:
    """Return how many connections each gateway has if they are divided equally."""
    return available_connections(state, service) // state.control.gateways


def _data_centre_capacity(state: GatewayState, service: str) -> int:
    return available_connections(state, service) // max(1, len(state.settings.regions))


def _holder_count(state: GatewayState, service: str) -> int:
    return max(1, _data_centre_capacity(state, service) // MIN_HOLDER_CONNECTIONS)
