"""Which of a service's waiting requests are dispatched first, in the order of ``fair_queue``.

All functions take effect only with ``GatewaySettings.coordinates_connections``.
"""

from . import fair_queue
from .state import GatewayState, QueuedRequest, Request


def precedes(state: GatewayState, request: Request) -> bool:
    """Tell whether a waiting request goes before one that has just arrived.

    A backoff may have ended, or a connection may have become free, since the queue was last
    dispatched.
    """
    queue = state.queues.get(request.route.service)
    if queue is None or not state.settings.coordinates_connections:
        return False
    session = state.sessions[request.session]
    arrived = fair_queue.position(state, queue, session, request)
    heads = [heap[0] for heap in (queue.primary, queue.reads) if heap]
    return any(fair_queue.precedes(item, arrived) for item in heads)


def order_heaps(
    state: GatewayState, primary: list[QueuedRequest], reads: list[QueuedRequest]
) -> tuple[list[QueuedRequest], list[QueuedRequest]]:
    """Return the two heaps of a service's queue in the order in which to dispatch them.

    Requests that only the primary serves go first, unless a read has a higher priority, which may
    need the primary's connection too.
    """
    if not state.settings.coordinates_connections or not primary or not reads:
        return primary, reads
    if reads[0].priority < primary[0].priority:
        return reads, primary
    return primary, reads
