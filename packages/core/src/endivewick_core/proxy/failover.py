"""Failover: how a home adopts, monitors, promotes and replaces its group's primary.

Only the home of a group holds the group's write grant, so it revokes the grant on its own as soon
as it decides to replace the primary. It then proposes to promote the reachable upstream with the
highest position, and sends the promotion to that upstream after control has committed it.
"""

from ..commands import AdoptPrimary, Promote
from ..positions import ZERO, covers
from . import configuration, connections, results
from .effects import Effect, LogEvent, SendUpstream
from .state import Home, Instance, Phase, ProxyState, lease_valid

REFUSALS_TO_REPLACE = 3
REPLICA_WAIT_MS = 1_000
# For a replica that has every acknowledged write to be reached again, before they are given up.
# Also for each replica, where the home doesn't know which has them.
MISSING_COPY_WAIT_MS = 30_000
NO_PRIMARY_WAIT_MS = 2_000
INTERNAL_REQUEST_INTERVAL_MS = 300


def check_primary(state: ProxyState, now_ms: int, home: Home) -> list[Effect]:
    """Take the next step of failover, if any is due."""
    if not lease_valid(state, now_ms) or home.releasing:
        return []
    group = state.replicated_state.groups[home.group]
    if not group.primary:
        return _adopt_primary(state, now_ms, home)
    instance = home.instances.get(group.primary)
    if home.phase is Phase.REPLACING:
        return _propose_promotion(state, now_ms, home)
    if instance is None or _unreachable(state, now_ms, home, instance):
        return _replace_primary(state, now_ms, home, instance)
    if home.phase is Phase.DRAINING_PRIMARY:
        return _switch_over(state, now_ms, home, instance)
    in_term = instance.role == "primary" and instance.position.term == group.term
    if home.phase is Phase.ACTIVE:
        if instance.leaving and _candidates(state, now_ms, home, instance):
            set_phase(home, Phase.DRAINING_PRIMARY, now_ms)
        return []
    if in_term:
        set_phase(home, Phase.ACTIVE, now_ms)
        text = f"{instance.name} is the primary of {home.group} in term {group.term}"
        return [LogEvent("info", "primary_active", text)]
    set_phase(home, Phase.PROMOTING, now_ms)
    body: dict[str, object] = {"term": group.term}
    return _send_internal(now_ms, instance, "promote", body)


def check_followers(state: ProxyState, now_ms: int, home: Home) -> list[Effect]:
    """Make upstreams of an older term, and former primaries, follow the current primary."""
    group = state.replicated_state.groups[home.group]
    primary = home.instances.get(group.primary)
    if home.phase is not Phase.ACTIVE or primary is None or not lease_valid(state, now_ms):
        return []
    effects: list[Effect] = []
    for instance in home.instances.values():
        if instance.name == group.primary or not instance.last_received_ms:
            continue
        if instance.role == "replica" and instance.position.term == group.term:
            continue
        later = [fork for fork in group.forks if fork.term > instance.position.term]
        start_index = min((fork.start_index for fork in later), default=0)
        body: dict[str, object] = {
            "term": group.term,
            "primary": primary.address,
            "start_index": start_index,
        }
        effects += _send_internal(now_ms, instance, "follow", body)
    return effects


def set_phase(home: Home, phase: Phase, now_ms: int) -> None:
    """Set the home's phase; setting the current phase again keeps its start time."""
    if home.phase is not phase:
        home.phase = phase
        home.phase_since_ms = now_ms


def _unreachable(state: ProxyState, now_ms: int, home: Home, instance: Instance) -> bool:
    if _refuses_connections(instance):
        return True
    last_received_ms = max(instance.last_received_ms, home.held_since_ms)
    if home.phase is Phase.WAITING:
        last_received_ms = max(last_received_ms, home.phase_since_ms)
    return now_ms - last_received_ms > state.settings.unreachable_ms


def _refuses_connections(instance: Instance) -> bool:
    """Return whether an upstream closes every new connection before it answers a ping."""
    return instance.consecutive_refusals >= REFUSALS_TO_REPLACE and not instance.idle


def _replace_primary(
    state: ProxyState, now_ms: int, home: Home, instance: Instance | None
) -> list[Effect]:
    """Revoke the grant, fail the work on the old primary and propose a new one."""
    set_phase(home, Phase.REPLACING, now_ms)
    text = f"the primary of {home.group} can't be reached; replacing it"
    effects: list[Effect] = [LogEvent("warning", "primary_unreachable", text)]
    if instance is not None:
        for connection in list(instance.connections.values()):
            effects += results.fail_connection(state, now_ms, home, instance, connection)
    return effects + _propose_promotion(state, now_ms, home)


def _propose_promotion(state: ProxyState, now_ms: int, home: Home) -> list[Effect]:
    """Propose the most advanced reachable upstream as the primary.

    Waits until every grant has expired, so that no ingress proxy acknowledges older writes, and for
    a replica with every write that was acknowledged since a replica had it. A new home doesn't know
    where that was, and waits for every replica instead.
    """
    if now_ms < home.granted_until_ms:
        return []
    group = state.replicated_state.groups[home.group]
    candidates = _candidates(state, now_ms, home, None)
    others = [item for item in home.instances.values() if item.name != group.primary]
    missing = [item for item in others if item not in candidates and not item.leaving]
    if not candidates:
        return []
    if missing:
        knows_acknowledged = _knows_acknowledged(state, home, candidates)
        wait_ms = REPLICA_WAIT_MS if knows_acknowledged else MISSING_COPY_WAIT_MS
        if now_ms - home.phase_since_ms < wait_ms:
            return []
    best = max(candidates, key=_rank)
    if not covers(best.position, home.replicated_position):
        if now_ms - home.phase_since_ms < MISSING_COPY_WAIT_MS:
            return []
        home.replicated_position = best.position  # the writes after it are given up
    highest_term = max(item.position.term for item in home.instances.values())
    term = max(group.term, highest_term) + 1
    command = Promote(home.group, home.epoch, term, best.name, best.position.offset)
    text = f"proposes {best.name} as the primary of {home.group} in term {term}"
    effects = configuration.propose(state, now_ms, command)
    return [LogEvent("info", "promotion_proposed", text), *effects] if effects else []


def _knows_acknowledged(state: ProxyState, home: Home, candidates: list[Instance]) -> bool:
    """Return whether a home can tell which upstreams have the writes that need a replica's copy.

    The primary has them all. Without it, a home that has not had any acknowledged can't tell what
    an earlier home has.
    """
    if home.replicated_position != ZERO:
        return True
    primary = state.replicated_state.groups[home.group].primary
    if any(item.name == primary for item in candidates):
        return True
    for contract in state.replicated_state.contracts.values():
        if contract.group == home.group and contract.acknowledge == "replica":
            return False
    return True


def _switch_over(state: ProxyState, now_ms: int, home: Home, instance: Instance) -> list[Effect]:
    """Replace a leaving primary when it runs nothing and a replica has caught up with it.

    After ``switchover_limit_ms`` it is replaced in any case.
    """
    expired = now_ms - home.phase_since_ms >= state.settings.switchover_limit_ms
    if not expired and (instance.running or home.transactions):
        return []
    caught_up = [
        item
        for item in _candidates(state, now_ms, home, instance)
        if item.position >= instance.position
    ]
    if not expired and not caught_up:
        return []
    set_phase(home, Phase.REPLACING, now_ms)
    effects: list[Effect] = []
    for connection in list(instance.connections.values()):
        if connection.work is not None or connection.transaction:
            effects += results.fail_connection(state, now_ms, home, instance, connection)
    return effects + _propose_promotion(state, now_ms, home)


def _adopt_primary(state: ProxyState, now_ms: int, home: Home) -> list[Effect]:
    """Adopt an upstream that reports itself as primary, or promote one if there is none."""
    reachable = _candidates(state, now_ms, home, None)
    primaries = [item for item in reachable if item.role == "primary"]
    if primaries:
        best = max(primaries, key=_rank)
        command = AdoptPrimary(home.group, home.epoch, best.name, best.position.term)
        return configuration.propose(state, now_ms, command)
    if not reachable or now_ms - home.held_since_ms < NO_PRIMARY_WAIT_MS:
        return []
    set_phase(home, Phase.REPLACING, now_ms)
    return _propose_promotion(state, now_ms, home)


def _candidates(
    state: ProxyState, now_ms: int, home: Home, excluded: Instance | None
) -> list[Instance]:
    limit_ms = state.settings.unreachable_ms
    return [
        item
        for item in home.instances.values()
        if item is not excluded
        and not item.leaving
        and not _refuses_connections(item)
        and item.last_received_ms
        and now_ms - item.last_received_ms <= limit_ms
    ]


def _rank(instance: Instance) -> tuple[int, int, str]:
    return (*instance.position, instance.name)


def _send_internal(
    now_ms: int, instance: Instance, name: str, body: dict[str, object]
) -> list[Effect]:
    """Send one of the proxy's own requests on an idle connection, at most once per interval."""
    if now_ms - instance.last_internal_request_ms < INTERNAL_REQUEST_INTERVAL_MS:
        return []
    connection = connections.take_idle(instance)
    if connection is None:
        return []
    instance.last_internal_request_ms = now_ms
    sent: SendUpstream = connections.send_internal(now_ms, connection, name, body)
    return [sent]
