"""Placement of homes: which proxy holds which group.

Groups are assigned to live proxies by consistent hashing, so a change of one proxy moves only that
proxy's groups. Proxies in the data centre of the group's primary are preferred. No proxy is
assigned more than its fair share plus some headroom; a proxy that holds more is asked to release
some groups.
"""

import math
from bisect import bisect_left

import xxhash

from ..codec import encode
from ..commands import AssignHomes
from ..replicated_state import Group
from . import leases, replication
from .effects import Effect, LogEvent
from .state import ControlState, ProxyLease

GROUPS_PER_COMMAND = 500
PLACEMENT_INTERVAL_MS = 100
BALANCE_INTERVAL_MS = 5_000
BALANCE_BATCH = 4
SHARE_HEADROOM = 1.2  # the limit of a proxy, as a multiple of the even share


def check_homes(state: ControlState, now_ms: int) -> list[Effect]:
    """Assign the groups without a live home; if there are none, balance homes when due."""
    leader_state = state.leader_state
    if leader_state is None or state.commit_index < leader_state.start_index:
        return []
    if now_ms < leader_state.placement_due_ms:
        return []
    leader_state.placement_due_ms = now_ms + PLACEMENT_INTERVAL_MS
    leases.remove_old_leases(state, now_ms)
    active = {
        key: lease
        for key, lease in leader_state.leases.items()
        if not leases.has_expired(state, now_ms, lease)
    }
    live = [lease for lease in active.values() if not lease.draining]
    if not live:
        return []
    assignments: dict[tuple[str, str], list[tuple[str, int]]] = {}
    homeless = [
        group
        for group in state.replicated_state.groups.values()
        if (group.home, group.home_boot) not in active
        and group.name not in leader_state.assignments_in_flight
        and _can_assign(state, now_ms, group)
    ]
    effects: list[Effect] = []
    if homeless:
        counts = {key: len(names) for key, names in _groups_by_home(state).items()}
        share = fair_share(state, len(live))
        rings = _rings(live)
        for group in homeless:
            lease = _choose_proxy(state, group, rings, counts, share)
            key = (lease.proxy, lease.boot)
            counts[key] = counts.get(key, 0) + 1
            assignments.setdefault(key, []).append((group.name, group.home_epoch + 1))
        for key, groups in assignments.items():
            effects += _assign_homes(state, leader_state.leases[key], groups[:GROUPS_PER_COMMAND])
    elif now_ms >= leader_state.balance_due_ms:
        leader_state.balance_due_ms = now_ms + BALANCE_INTERVAL_MS
        leader_state.groups_to_release = _excess_groups(state, live)
    if effects:
        effects += replication.start_round(state, now_ms)
    return effects


def fair_share(state: ControlState, live_count: int) -> int:
    """Return the largest number of groups that one proxy may hold."""
    return max(
        1, math.ceil(SHARE_HEADROOM * len(state.replicated_state.groups) / max(1, live_count))
    )


def _groups_by_home(state: ControlState) -> dict[tuple[str, str], list[str]]:
    """Return the groups of each proxy process, according to the committed configuration."""
    groups_by_home: dict[tuple[str, str], list[str]] = {}
    for group in state.replicated_state.groups.values():
        groups_by_home.setdefault((group.home, group.home_boot), []).append(group.name)
    return groups_by_home


def _excess_groups(state: ControlState, live: list[ProxyLease]) -> dict[tuple[str, str], list[str]]:
    """Return the groups that each proxy should release, at most BALANCE_BATCH of each at a time."""
    share = fair_share(state, len(live))
    groups_by_home = _groups_by_home(state)
    excess: dict[tuple[str, str], list[str]] = {}
    for lease in live:
        key = (lease.proxy, lease.boot)
        names = groups_by_home.get(key, [])
        if len(names) > share:
            excess[key] = sorted(names)[: min(BALANCE_BATCH, len(names) - share)]
    return excess


def _can_assign(state: ControlState, now_ms: int, group: Group) -> bool:
    assert state.leader_state is not None
    if not group.home:
        return True
    lease = state.leader_state.leases.get((group.home, group.home_boot))
    if lease is None:
        return leases.earlier_leases_expired(state, now_ms)
    return leases.has_expired(state, now_ms, lease)


def _rings(live: list[ProxyLease]) -> dict[str, list[tuple[int, ProxyLease]]]:
    """Return one hash ring per data centre, and one of all live proxies under an empty name."""
    rings: dict[str, list[tuple[int, ProxyLease]]] = {"": []}
    for lease in live:
        point = (_hash(lease.proxy), lease)
        rings[""].append(point)
        rings.setdefault(lease.data_centre, []).append(point)
    for ring in rings.values():
        ring.sort()
    return rings


def _choose_proxy(
    state: ControlState,
    group: Group,
    rings: dict[str, list[tuple[int, ProxyLease]]],
    counts: dict[tuple[str, str], int],
    share: int,
) -> ProxyLease:
    """Return the next proxy on the ring with capacity, preferably in the primary's data centre.

    Where no proxy has capacity, it is the first one on the ring of all.
    """
    primary = state.replicated_state.upstreams.get(group.primary)
    start = _hash(group.name)
    for name in (primary.data_centre if primary else "", ""):
        ring = rings.get(name, [])
        first = bisect_left(ring, start, key=_ring_key)
        for step in range(len(ring)):
            lease = ring[(first + step) % len(ring)][1]
            if counts.get((lease.proxy, lease.boot), 0) < share:
                return lease
    return rings[""][0][1]


def _ring_key(item: tuple[int, ProxyLease]) -> int:
    return item[0]


def _hash(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def _assign_homes(
    state: ControlState, lease: ProxyLease, groups: list[tuple[str, int]]
) -> list[Effect]:
    assert state.leader_state is not None
    command = AssignHomes(lease.proxy, lease.boot, lease.address, groups)
    effects = replication.propose(state, encode(command))
    for name, _ in groups:
        state.leader_state.assignments_in_flight[name] = state.log.last_index
    text = f"{lease.proxy} becomes the home of {len(groups)} groups"
    return [*effects, LogEvent("info", "homes_assigned", text)]
