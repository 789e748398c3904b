"""Placement of homes: which proxy holds which group.

A group goes to a live proxy by consistent hashing, so a change of one proxy moves only that proxy's
groups. Proxies in the data centre of the group's primary come first. No proxy is given more than
its share with some room; one that holds more is asked to hand some over.
"""

import math
from bisect import bisect_left

import xxhash

from ..codec import encode
from ..commands import AssignHomes
from ..machine import Group
from . import leases, replication
from .effects import Effect, Note
from .state import ControlState, ProxyLease

GROUPS_PER_COMMAND = 500
PLACEMENT_INTERVAL_MS = 100
BALANCE_INTERVAL_MS = 5_000
BALANCE_BATCH = 4
SHARE_ROOM = 1.2


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
    homeless = [
        group
        for group in state.machine.groups.values()
        if (group.home, group.home_boot) not in holding
        and group.name not in leading.assigning
        and _may_assign(state, now_ms, group)
    ]
    effects: list[Effect] = []
    if homeless:
        counts = {key: len(names) for key, names in _held(state).items()}
        share = fair_share(state, len(live))
        rings = _rings(live)
        for group in homeless:
            lease = _choose(state, group, rings, counts, share)
            key = (lease.proxy, lease.boot)
            counts[key] = counts.get(key, 0) + 1
            chosen.setdefault(key, []).append((group.name, group.home_epoch + 1))
        for key, groups in chosen.items():
            effects += _assign(state, leading.leases[key], groups[:GROUPS_PER_COMMAND])
    elif now_ms >= leading.balance_due_ms:
        leading.balance_due_ms = now_ms + BALANCE_INTERVAL_MS
        leading.surplus = _surplus(state, live)
    if effects:
        effects += replication.start_round(state, now_ms)
    return effects


def fair_share(state: ControlState, live_count: int) -> int:
    """Return how many groups one proxy may hold."""
    return max(1, math.ceil(SHARE_ROOM * len(state.machine.groups) / max(1, live_count)))


def _held(state: ControlState) -> dict[tuple[str, str], list[str]]:
    """Return the groups of each proxy process, by the committed configuration."""
    held: dict[tuple[str, str], list[str]] = {}
    for group in state.machine.groups.values():
        held.setdefault((group.home, group.home_boot), []).append(group.name)
    return held


def _surplus(state: ControlState, live: list[ProxyLease]) -> dict[tuple[str, str], list[str]]:
    """Return the groups that each proxy should hand over, a few at a time."""
    share = fair_share(state, len(live))
    held = _held(state)
    surplus: dict[tuple[str, str], list[str]] = {}
    for lease in live:
        key = (lease.proxy, lease.boot)
        names = held.get(key, [])
        if len(names) > share:
            surplus[key] = sorted(names)[: min(BALANCE_BATCH, len(names) - share)]
    return surplus


def _may_assign(state: ControlState, now_ms: int, group: Group) -> bool:
    assert state.leading is not None
    if not group.home:
        return True
    lease = state.leading.leases.get((group.home, group.home_boot))
    if lease is None:
        return leases.unknown_leases_over(state, now_ms)
    return leases.expired(state, now_ms, lease)


def _rings(live: list[ProxyLease]) -> dict[str, list[tuple[int, ProxyLease]]]:
    """Return a hash ring of all live proxies, under an empty name, and one per data centre."""
    rings: dict[str, list[tuple[int, ProxyLease]]] = {"": []}
    for lease in live:
        place = (_digest(lease.proxy), lease)
        rings[""].append(place)
        rings.setdefault(lease.data_centre, []).append(place)
    for ring in rings.values():
        ring.sort()
    return rings


def _choose(
    state: ControlState,
    group: Group,
    rings: dict[str, list[tuple[int, ProxyLease]]],
    counts: dict[tuple[str, str], int],
    share: int,
) -> ProxyLease:
    """Return the next proxy with room on the ring, in the primary's data centre if there is one."""
    primary = state.machine.upstreams.get(group.primary)
    start = _digest(group.name)
    for name in (primary.data_centre if primary else "", ""):
        ring = rings.get(name, [])
        first = bisect_left(ring, start, key=_place)
        for step in range(len(ring)):
            lease = ring[(first + step) % len(ring)][1]
            if counts.get((lease.proxy, lease.boot), 0) < share:
                return lease
    return rings[""][0][1]


def _place(item: tuple[int, ProxyLease]) -> int:
    return item[0]


def _digest(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def _assign(state: ControlState, lease: ProxyLease, groups: list[tuple[str, int]]) -> list[Effect]:
    assert state.leading is not None
    command = AssignHomes(lease.proxy, lease.boot, lease.address, groups)
    effects = replication.propose(state, encode(command))
    for name, _ in groups:
        state.leading.assigning[name] = state.log.last_index
    text = f"{lease.proxy} becomes the home of {len(groups)} groups"
    return [*effects, Note("info", "homes_assigned", text)]
