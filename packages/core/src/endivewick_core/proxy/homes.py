"""Homes: how a proxy acquires a group, tracks the group's upstreams and releases the group.

A home that drains or hands over accepts short work until its long work and its transactions have
ended. It then lets the running work finish, closes its connections and releases the group.
"""

from ..commands import RegisterUpstream, ReleaseHome
from ..exceptions import NOT_HOME, OUTCOME_UNKNOWN, Failure
from ..messages import Announcement
from . import answers, configuration, deduplication, replicas, results
from .effects import CloseConnection, Effect, LogEvent, Send
from .events import UpstreamAnnounced
from .state import Home, Instance, Phase, ProxyState


def handle_configuration_change(state: ProxyState, now_ms: int, touched: list[str]) -> list[Effect]:
    """Update the homes of the groups that a newer configuration changed."""
    effects: list[Effect] = []
    for name in touched:
        group = state.replicated_state.groups.get(name)
        home = state.homes.get(name)
        is_local = group is not None and group.home_boot == state.settings.boot
        if home is not None and (group is None or not is_local or group.home_epoch != home.epoch):
            effects += _drop(state, now_ms, home)
        if group is None or not is_local:
            continue
        if name not in state.homes:
            effects += _acquire(state, now_ms, name, group.home_epoch)
        _sync_instances(state, state.homes[name])
        effects += _follow_term(state, now_ms, state.homes[name])
    return effects


def handle_announced(state: ProxyState, event: UpstreamAnnounced) -> list[Effect]:
    """Register a new or changed upstream, and forward its announcement to its group's home."""
    item = event.announcement
    effects: list[Effect] = []
    command = RegisterUpstream(
        item.upstream,
        item.group,
        item.address,
        item.data_centre,
        item.slots,
        item.connection_cap,
        item.state,
    )
    known = state.replicated_state.upstreams.get(item.upstream)
    if known is None or tuple(known[:7]) != tuple(command):
        effects += configuration.propose(state, event.now_ms, command)
    group = state.replicated_state.groups.get(item.group)
    if group is None or not group.home:
        return effects
    if group.home_boot == state.settings.boot:
        return effects + apply_announcement(state, event.now_ms, item)
    return [*effects, Send(group.home_address, item)]


def apply_announcement(state: ProxyState, now_ms: int, item: Announcement) -> list[Effect]:
    """Record whether an upstream of this home announces that it is leaving."""
    home = state.homes.get(item.group)
    instance = home.instances.get(item.upstream) if home else None
    if instance is None or instance.address != item.address:
        return []
    leaving = item.state == "leaving"
    changed = leaving != instance.announced_leaving
    instance.announced_leaving = leaving
    if not changed:
        return []
    text = f"{item.upstream} announces that it is {item.state}"
    return [LogEvent("info", "upstream_state", text)]


def check_release(state: ProxyState, now_ms: int, home: Home) -> list[Effect]:
    """Release a group when none of its work runs here any more."""
    if state.draining_since_ms is None and not home.handing_over:
        return []
    if not home.releasing and (_long_running(home) or home.transactions):
        return []
    effects: list[Effect] = []
    if not home.releasing:
        home.releasing = True
        effects += _return_queued(state, now_ms, home)
    if any(item.running for item in home.instances.values()) or home.awaiting_replica:
        return effects
    effects += _close_all(state, home)
    del state.homes[home.group]
    effects.append(LogEvent("info", "home_released", f"released group {home.group}"))
    return effects + configuration.propose(state, now_ms, ReleaseHome(home.group, home.epoch))


def handle_lease_lost(state: ProxyState, now_ms: int) -> list[Effect]:
    """Close every connection of all homes after the lease ended.

    The outcome of the work in flight is unknown.
    """
    effects: list[Effect] = []
    for home in state.homes.values():
        if not any(item.connections for item in home.instances.values()):
            continue
        effects.append(LogEvent("warning", "lease_lost", f"the lease on {home.group} expired"))
        effects += _fail_connections(state, now_ms, home)
        home.phase = Phase.WAITING
        home.phase_since_ms = now_ms
    return effects


def _acquire(state: ProxyState, now_ms: int, name: str, epoch: int) -> list[Effect]:
    granted_until_ms = now_ms + state.settings.grant_ms
    state.homes[name] = Home(
        name, epoch, now_ms, phase_since_ms=now_ms, granted_until_ms=granted_until_ms
    )
    return [LogEvent("info", "home_taken", f"holds group {name} in home epoch {epoch}")]


def _drop(state: ProxyState, now_ms: int, home: Home) -> list[Effect]:
    effects = _return_queued(state, now_ms, home) + _fail_connections(state, now_ms, home)
    del state.homes[home.group]
    effects.append(LogEvent("info", "home_lost", f"no longer holds group {home.group}"))
    return effects


def _follow_term(state: ProxyState, now_ms: int, home: Home) -> list[Effect]:
    """Wait for the primary of the configuration again after it changed."""
    group = state.replicated_state.groups[home.group]
    if (group.primary, group.term) == home.current_primary:
        return []
    home.current_primary = (group.primary, group.term)
    home.phase = Phase.WAITING
    home.phase_since_ms = now_ms
    home.samples.clear()
    effects = _refuse_lost_sessions(state, now_ms, home)
    if not group.primary:
        return effects
    text = f"term {group.term} of {home.group} has the primary {group.primary}"
    return [*effects, LogEvent("info", "primary_changed", text)]


def _refuse_lost_sessions(state: ProxyState, now_ms: int, home: Home) -> list[Effect]:
    """Refuse the queued work of sessions whose writes the new term has lost."""
    effects: list[Effect] = []
    for queue in home.queues:
        for work in queue.remove_if(lambda item: not replicas.session_survives(state, home, item)):
            deduplication.forget(home, work)
            effects.append(
                answers.refuse(state, now_ms, home, work.origin, replicas.SESSION_LOST_FAILURE)
            )
    return effects


def _sync_instances(state: ProxyState, home: Home) -> None:
    """Update the upstreams of a home from the configuration."""
    for name in state.replicated_state.members.get(home.group, []):
        record = state.replicated_state.upstreams[name]
        known = home.instances.get(record.name)
        if known is None:
            known = Instance(record.name, record.address, record.slots, record.connection_cap)
            home.instances[record.name] = known
        known.address = record.address
        known.slots = record.slots
        known.connection_cap = record.connection_cap
        known.stopped = record.wanted == "stopped"
        known.registered_leaving = record.state == "leaving"


def _long_running(home: Home) -> bool:
    return any(item.running_long for item in home.instances.values())


def _return_queued(state: ProxyState, now_ms: int, home: Home) -> list[Effect]:
    """Return queued work to its ingress proxy, which sends it to the next home."""
    effects: list[Effect] = []
    failure = Failure(NOT_HOME, f"{state.settings.name} released group {home.group}")
    for queue in home.queues:
        for work in queue.remove_if(lambda item: True):
            effects.append(answers.refuse(state, now_ms, home, work.origin, failure))
    return effects


def _close_all(state: ProxyState, home: Home) -> list[Effect]:
    effects: list[Effect] = []
    for instance in home.instances.values():
        for number in list(instance.connections):
            state.connections.pop(number, None)
            effects.append(CloseConnection(number))
        instance.connections.clear()
        instance.idle.clear()
    return effects


def _fail_connections(state: ProxyState, now_ms: int, home: Home) -> list[Effect]:
    """Close every connection; the work in flight on them has an unknown outcome."""
    effects: list[Effect] = []
    for instance in home.instances.values():
        for connection in list(instance.connections.values()):
            effects += results.fail_connection(state, now_ms, home, instance, connection)
    failure = Failure(OUTCOME_UNKNOWN, "the group's home lost its lease; the request may have run")
    for work, _ in home.awaiting_replica:
        effects.append(answers.refuse(state, now_ms, home, work.origin, failure))
    home.awaiting_replica = []
    return effects
