"""The demand of all gateways for upstream connections, as control adds it up.

Each control process sums the demand of the gateways that poll it, shares the sum with the others,
and answers polls with the sum over all. After a start of all processes the first gateways would
take the connections of those that haven't polled yet, so nothing is answered while the number of
known gateways still grows.
"""

from collections.abc import Iterable

from ..messages import ConnectionDemand
from . import probes
from .state import ControlState

# Longer than it takes the processes of one deployment to start one after the other, and than the
# time until the gateways of the other control processes are known (1,000 ms).
SETTLING_MS = 2_000
# One gateway that starts in a running system doesn't take much from the others.
SETTLED_GROWTH = 1.25
# Between shares that tell the other control processes of gateways that have started.
GATEWAYS_SHARE_INTERVAL_MS = 200


def record(
    state: ControlState, now_ms: int, gateway: str, demand: dict[str, ConnectionDemand]
) -> None:
    """Record the demand that a gateway reported with its poll at ``now_ms``."""
    if not state.settings.coordinates_connections:
        return
    if state.directory_state.demand_since_ms is None:
        state.directory_state.demand_since_ms = now_ms
    state.directory_state.demand[gateway] = demand


def own(state: ControlState) -> dict[str, ConnectionDemand]:
    """Return the demand of the gateways that poll this process, by upstream."""
    return _sum(state.directory_state.demand.values())


def total(
    state: ControlState, now_ms: int, gateways: int, asked: Iterable[str]
) -> dict[str, ConnectionDemand] | None:
    """Return the demand of all gateways for the ``asked`` upstreams of which some want more.

    The result is None while the number of gateways isn't known yet.
    """
    if not state.settings.coordinates_connections or not _is_settled(state, now_ms, gateways):
        return None
    others = probes.live_peers(state, now_ms)
    known = _sum([*state.directory_state.demand.values(), *(item.demand for item in others)])
    return {
        upstream: known[upstream]
        for upstream in sorted(asked)
        if upstream in known and known[upstream].unmet
    }


def must_share(state: ControlState, now_ms: int, gateways: int) -> bool:
    """Tell whether more gateways poll this process than the others were told, and record it."""
    directory_state = state.directory_state
    if not state.settings.coordinates_connections or now_ms < directory_state.gateways_due_ms:
        return False
    previous, directory_state.gateways_shared = directory_state.gateways_shared, gateways
    if gateways <= previous:
        return False
    directory_state.gateways_due_ms = now_ms + GATEWAYS_SHARE_INTERVAL_MS
    return True


def _is_settled(state: ControlState, now_ms: int, gateways: int) -> bool:
    """Tell whether the number of gateways has hardly grown in the last ``SETTLING_MS``."""
    counts = state.directory_state.gateway_counts
    while len(counts) > 1 and counts[1][0] <= now_ms - SETTLING_MS:
        counts.popleft()
    if not counts or counts[-1][1] != gateways:
        counts.append((now_ms, gateways))
    since_ms = state.directory_state.demand_since_ms
    if since_ms is None or now_ms - since_ms < SETTLING_MS:
        return False
    return gateways <= SETTLED_GROWTH * min(count for _, count in counts)


def _sum(demands: Iterable[dict[str, ConnectionDemand]]) -> dict[str, ConnectionDemand]:
    sums: dict[str, ConnectionDemand] = {}
    for demand in demands:
        for upstream, item in demand.items():
            known = sums.get(upstream, ConnectionDemand(0, 0))
            sums[upstream] = ConnectionDemand(
                known.claimed + item.claimed, known.unmet + item.unmet
            )
    return sums
