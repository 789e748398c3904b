"""Work that a home has admitted, and the origin that gets its answer."""

from dataclasses import dataclass
from typing import Any, NamedTuple

from ..positions import Position


class Origin(NamedTuple):
    """The origin of a piece of work; ``address`` is empty for this proxy's own callers.

    ``sent_at_ms`` is on the ingress proxy's clock and is echoed in the answer.
    """

    address: str
    number: int
    sent_at_ms: int


@dataclass(slots=True)
class Work:
    """One piece of work in a home, from admission to its answer.

    ``session_position`` is the position that the session has seen. ``declared`` tells whether the
    caller gave the class, and ``holds_long`` whether the work uses one of the upstream's slots for
    long work. ``answered`` is set if the deadline passed while the work ran, so that its caller
    has been answered already.
    """

    origin: Origin
    operation: str
    customer: str
    statement: Any
    work_class: str
    request_id: str
    transaction: str
    session_position: Position
    weight: float
    arrived_ms: int
    deadline_ms: int
    run_time_key: int = 0
    sent_ms: int = 0
    attempts: int = 0
    needs_primary: bool = False
    declared: bool = False
    holds_long: bool = False
    answered: bool = False
