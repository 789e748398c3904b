"""Work that a home has taken, and where its answer goes."""

from dataclasses import dataclass
from typing import Any, NamedTuple

from ..positions import Position


class Origin(NamedTuple):
    """Where work came from; ``address`` is empty for this proxy's own callers.

    ``sent_at_ms`` is on the entry's clock and is echoed in the answer.
    """

    address: str
    number: int
    sent_at_ms: int


@dataclass(slots=True)
class Work:
    """One piece of work in a home, from admission to its answer.

    ``declared`` tells whether the caller gave the class, ``holds_long`` whether the work counts
    against the long slots of the upstream that runs it, and ``answered`` whether its deadline
    passed while it ran, so that its caller has an answer already.
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
