"""Holders: which gateways hold an upstream's connections where there are too few for all.

Every gateway holds connections of its own while its share of an upstream's limit is at least
``MIN_SHARE``. Below that, a few gateways of each data centre hold them for the others, chosen by
rendezvous hashing over the gateways that control has heard lately, service by service. All gateways
of a data centre hear the same list, so they agree but for the time of a poll.
"""

import xxhash

from .state import GatewayState

MIN_SHARE = 1  # below one connection each, gateways can't serve by themselves
MIN_HOLDER_CONNECTIONS = (
    4  # connections that a holder should have at least, for its neighbours together
)
HOLDER_BACKOFF_MS = 2_000  # how long a holder that did not answer is left for the next one
RESERVED_CONNECTIONS = 4  # of an upstream's limit, for the questions of control


def available_connections(state: GatewayState, service: str) -> int:
    """Return how many connections of an upstream all gateways have together."""
    known = state.configuration.services.get(service)
    if known is None:
        return 0
    reserved = max(RESERVED_CONNECTIONS, len(state.control.peers) + 1)
    return max(0, known.connection_limit - reserved)


def share(state: GatewayState, service: str) -> int:
    """Return how many connections of an upstream of a service are this gateway's."""
    if not are_needed(state, service):
        return max(1, _equal_share(state, service))
    if not holds(state, service):
        return 0
    return max(1, _data_centre_capacity(state, service) // _holder_count(state, service))


def are_needed(state: GatewayState, service: str) -> bool:
    """Tell whether there are too few connections for every gateway to have its own."""
    return _equal_share(state, service) < MIN_SHARE and bool(state.control.neighbours)


def holds(state: GatewayState, service: str) -> bool:
    """Tell whether this gateway has connections of its own for a service."""
    if _equal_share(state, service) >= MIN_SHARE:
        return True
    return state.settings.address in rank_gateways(state, service)[: _holder_count(state, service)]


def holder(state: GatewayState, now_ms: int, service: str) -> str:
    """Return the gateway that holds connections for this one, or an empty text for itself."""
    candidates = candidates_for(state, service)
    for address in candidates:
        if now_ms >= state.control.backoff_until_ms.get(address, 0):
            return address
    return candidates[0] if candidates else ""


def candidates_for(state: GatewayState, service: str) -> list[str]:
    """Return the holders of a service for this gateway and the next one after them, or nothing."""
    if not state.control.neighbours or holds(state, service):
        return []
    return rank_gateways(state, service)[: _holder_count(state, service) + 1]


def rank_gateways(state: GatewayState, service: str) -> list[str]:
    """Return the gateways of this data centre in the order in which they hold a service."""
    known = state.control.ranked_holders.get(service)
    if known is None:
        known = sorted(
            state.control.neighbours,
            key=lambda address: xxhash.xxh3_64_intdigest(f"{service} {address}".encode()),
        )
        state.control.ranked_holders[service] = known
    return known


def _equal_share(state: GatewayState, service: str) -> int:
    """Return how many connections each gateway would have if all had as many."""
    return available_connections(state, service) // state.control.gateways


def _data_centre_capacity(state: GatewayState, service: str) -> int:
    return available_connections(state, service) // max(1, len(state.settings.regions))


def _holder_count(state: GatewayState, service: str) -> int:
    return max(1, _data_centre_capacity(state, service) // MIN_HOLDER_CONNECTIONS)
