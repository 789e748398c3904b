"""Placement of homes: which proxy holds which group.

A group goes to a live proxy by rendezvous hashing, so a change of one proxy moves only that proxy's
groups. Proxies in the data centre of the group's primary come first.
"""

import xxhash

from ..codec import encode
from ..commands import AssignHomes
from ..machine import Group
from . import leases, replication
from .effects import Effect, Note
from .state import ControlState, ProxyLease

GROUPS_PER_COMMAND = 500
PLACEMENT_INTERVAL_MS = 100


def check_homes(state: ControlState, now_ms: int) -> list[Effect]:
    """Assign every group whose home is gone or was released."""
    leading = state.leading
    if leading is None or state.commit_index < leading.start_index:
        return []
    if now_ms < leading.placement_due_ms:
        return []
    leading.placement_due_ms = now_ms + PLACEMENT_INTERVAL_MS
    leases.forget_leases(state, now_ms)
    holding = {
        key: lease
        for key, lease in leading.leases.items()
        if not leases.expired(state, now_ms, lease)
    }
    live = [lease for lease in holding.values() if not lease.draining]
    if not live:
        return []
    chosen: dict[tuple[str, str], list[tuple[str, int]]] = {}
    for group in state.machine.groups.values():
        if (group.home, group.home_boot) in holding:
            continue
        if group.name in leading.assigning or not _may_assign(state, now_ms, group):
            continue
        lease = _choose(state, group, live)
        chosen.setdefault((lease.proxy, lease.boot), []).append((group.name, group.home_epoch + 1))
    effects: list[Effect] = []
    for key, groups in chosen.items():
        effects += _assign(state, leading.leases[key], groups[:GROUPS_PER_COMMAND])
    if effects:
        effects += replication.start_round(state, now_ms)
    return effects


def _may_assign(state: ControlState, now_ms: int, group: Group) -> bool:
    assert state.leading is not None
    if not group.home:
        return True
    lease = state.leading.leases.get((group.home, group.home_boot))
    if lease is None:
        return leases.unknown_leases_over(state, now_ms)
    return leases.expired(state, now_ms, lease)


def _choose(state: ControlState, group: Group, live: list[ProxyLease]) -> ProxyLease:
    primary = state.machine.upstreams.get(group.primary)
    data_centre = primary.data_centre if primary else ""
    best = live[0]
    best_score = (False, -1)
    for lease in live:
        digest = xxhash.xxh3_64_intdigest(f"{group.name}/{lease.proxy}".encode())
        score = (lease.data_centre == data_centre, digest)
        if score > best_score:
            best, best_score = lease, score
    return best


def _assign(state: ControlState, lease: ProxyLease, groups: list[tuple[str, int]]) -> list[Effect]:
    assert state.leading is not None
    command = AssignHomes(lease.proxy, lease.boot, lease.address, groups)
    effects = replication.propose(state, encode(command))
    for name, _ in groups:
        state.leading.assigning[name] = state.log.last_index
    text = f"{lease.proxy} becomes the home of {len(groups)} groups"
    return [*effects, Note("info", "homes_assigned", text)]
