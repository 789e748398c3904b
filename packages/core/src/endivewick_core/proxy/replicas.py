"""Replica reads: whether an upstream satisfies a read's session and staleness limit.

The home samples the primary's position. A replica at or after a sample has everything that was
committed when the sample was requested, so its data is at most as old as the sample. The age is
measured at the time when the read is sent to the upstream.
"""

from ..exceptions import SESSION_LOST, Failure
from ..positions import ZERO, Position, covers, survives
from .state import Home, Instance, PrimarySample, ProxyState
from .work import Work

MAX_SAMPLES = 2_000
SESSION_LOST_FAILURE = Failure(
    SESSION_LOST,
    "the session has seen writes that a change of primary lost; read the data again in a new "
    "session, that is without a token",
)


def record_position(instance: Instance, position: Position) -> None:
    """Record the highest position that an upstream has reported."""
    instance.position = max(instance.position, position)


def sample_primary(home: Home, at_ms: int, position: Position) -> None:
    """Record that the primary's position was at most ``position`` at ``at_ms``."""
    samples = home.samples
    if samples and at_ms < samples[-1].at_ms:
        return
    if len(samples) >= 2 and samples[-1].position == samples[-2].position == position:
        samples[-1] = PrimarySample(at_ms, position)
        return
    samples.append(PrimarySample(at_ms, position))
    if len(samples) > MAX_SAMPLES:
        samples.popleft()


def age_ms(home: Home, position: Position, at_ms: int) -> int | None:
    """Return an upper bound of the age of the data at ``position``, or None if unknown."""
    for sample in reversed(home.samples):
        if covers(position, sample.position):
            return max(0, at_ms - sample.at_ms)
    return None


def may_serve(state: ProxyState, home: Home, instance: Instance, work: Work, now_ms: int) -> bool:
    """Return whether a replica may serve a read, as far as is known before the read runs."""
    group = state.replicated_state.groups[home.group]
    if instance.leaving or instance.name == group.primary or instance.role != "replica":
        return False
    if now_ms - instance.last_received_ms > state.settings.unreachable_ms:
        return False
    if work.needs_primary or instance.position.term != group.term:
        return False
    return is_valid(state, home, instance.position, work, now_ms)


def is_valid(state: ProxyState, home: Home, position: Position, work: Work, sent_ms: int) -> bool:
    """Return whether data at ``position`` satisfies the session and the staleness limit."""
    contract = state.replicated_state.contracts.get(work.customer)
    if contract is None or not covers(position, work.session_position):
        return False
    age = age_ms(home, position, sent_ms)
    return age is not None and age <= contract.max_staleness_ms


def session_survives(state: ProxyState, home: Home, work: Work) -> bool:
    """Return whether the group's current history includes everything that the session has seen.

    A session whose writes were lost at a fork must never be answered from the older data.
    """
    if work.session_position == ZERO:
        return True
    group = state.replicated_state.groups[home.group]
    return work.session_position.term <= group.term and survives(work.session_position, group.forks)


def any_replica_may_serve(state: ProxyState, home: Home, work: Work, now_ms: int) -> bool:
    """Return whether any replica may serve the read, whether or not it has a free slot."""
    return any(
        may_serve(state, home, instance, work, now_ms) for instance in home.instances.values()
    )
