"""Which share of a service's reads goes to other data centres, nearest first.

A pure decision from what each data centre offers and asks. Reads stay at home while its upstreams
have room. What exceeds HIGH_LOAD of them goes to the nearest data centres with room, in steps, and
comes back only below LOW_LOAD, so that delayed figures do not make the shares oscillate.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

import xxhash

PERIOD_MS = 1_000  # between two decisions: longer than figures take to show the previous one
STEP = 0.1  # of the reads, the most that one decision moves while home still serves
HIGH_LOAD = (
    0.9  # of the slots; above it reads leave, and up to it a data centre has room for others
)
LOW_LOAD = 0.75  # of the slots; below it reads return
OVERFULL_LOAD = 1.0  # of the slots; from it reads leave a data centre that isn't home
MAX_AGE_MS = 3_000  # older figures of a data centre give it no more reads
FORGET_AGE_MS = 10_000  # reads leave a data centre without newer figures
MIN_SHARE = 0.005  # smaller shares are dropped


class LocalitySettings(NamedTuple):
    """Costs outside the data centre.

    ``cost_per_ms`` is how many milliseconds of waiting at home one millisecond of the way there and
    back is worth. With 1, the default, reads go where they are answered first.
    """

    cost_per_ms: float = 1.0


class CentreFigures(NamedTuple):
    """What a data centre offers for a service's reads, and what is asked of it.

    ``slots`` are those of its upstreams, ``running`` the statements that run or wait there.
    ``asked`` is the mean number of reads of its clients in progress, wherever they are served.
    ``failing`` is the share of its statements that fail, from 0 to 1. ``way_ms`` is the time there
    and back; 0 for the own data centre.
    """

    slots: int
    running: float
    asked: float
    service_ms: float
    failing: float = 0.0
    age_ms: int = 0
    way_ms: float = 0.0


class ShareChange(NamedTuple):
    """A changed share of the reads, and the figures that decided it."""

    data_centre: str
    previous: float
    share: float
    reason: str
    own: CentreFigures
    other: CentreFigures | None


class Move(NamedTuple):
    """A change of a share by ``part`` of the reads, decided at ``at_ms``."""

    at_ms: int
    data_centre: str
    part: float


@dataclass(slots=True)
class Locality:
    """The shares of a service's reads that go to other data centres.

    ``due_ms`` is the time of the next decision, and ``moves`` are the latest changes, which the
    figures of the other data centres may not show yet.
    """

    shares: dict[str, float] = field(default_factory=dict)
    due_ms: int = 0
    moves: list[Move] = field(default_factory=list)


def first_due_ms(now_ms: int, gateway: str, service: str) -> int:
    """Return the time of a gateway's first decision; gateways decide spread over the period."""
    return now_ms + xxhash.xxh3_64_intdigest(f"{gateway} {service}".encode()) % PERIOD_MS


def decide(
    state: Locality,
    now_ms: int,
    own: CentreFigures,
    others: dict[str, CentreFigures],
    settings: LocalitySettings,
) -> list[ShareChange]:
    """Change the shares where it is due; return the changes.

    Args:
        state: The shares, which are changed.
        now_ms: The time.
        own: The figures of the own data centre.
        others: The figures of the others by name, also of those without room.
        settings: What the way to another data centre costs.
    """
    if now_ms < state.due_ms:
        return []
    state.due_ms = now_ms + PERIOD_MS
    state.moves = [move for move in state.moves if now_ms - move.at_ms <= FORGET_AGE_MS]
    before = dict(state.shares)
    reasons: dict[str, str] = {}
    others = {name: _as_of_now(state, now_ms, own, name, item) for name, item in others.items()}
    _leave_unfit(state, own, others, reasons)
    total = sum(state.shares.values())
    least, most = _share_out(own, HIGH_LOAD), _share_out(own, LOW_LOAD)
    if total > most:
        _bring_back(state, others, total - most, reasons)
    elif total < least:
        _send_out(state, own, others, least - total, settings, reasons)
    changes = _changes(state, before, own, others, reasons)
    for change in changes:
        state.moves.append(Move(now_ms, change.data_centre, change.share - change.previous))
    return changes


def choose(state: Locality, fraction: float) -> str:
    """Return the data centre of a read with this fraction from 0 to 1, "" for the own one."""
    for data_centre, share in sorted(state.shares.items()):
        if fraction < share:
            return data_centre
        fraction -= share
    return ""


def _as_of_now(
    state: Locality, now_ms: int, own: CentreFigures, name: str, figures: CentreFigures
) -> CentreFigures:
    """Return a data centre's figures with the moves that they don't show yet.

    Without this, several steps would follow before the first one shows, and then as many back.
    """
    seen_ms = now_ms - figures.age_ms - PERIOD_MS
    unseen = sum(
        move.part for move in state.moves if move.data_centre == name and move.at_ms > seen_ms
    )
    return figures._replace(running=max(0.0, figures.running + unseen * own.asked))


def _usable(figures: CentreFigures) -> float:
    return figures.slots * max(0.0, 1.0 - figures.failing)


def _share_out(own: CentreFigures, load: float) -> float:
    """Return the share of the reads that has to leave for home to be at ``load``."""
    if not _usable(own):
        return 1.0
    if own.asked <= 0:
        return 0.0
    return max(0.0, 1.0 - load * _usable(own) / own.asked)


def _leave_unfit(
    state: Locality, own: CentreFigures, others: dict[str, CentreFigures], reasons: dict[str, str]
) -> None:
    """Take reads from data centres that are gone, silent or overfull."""
    for name, share in list(state.shares.items()):
        figures = others.get(name)
        if figures is None or not _usable(figures):
            state.shares[name], reasons[name] = 0.0, "gone"
        elif figures.age_ms > FORGET_AGE_MS:
            state.shares[name], reasons[name] = max(0.0, share - STEP), "no figures"
        elif figures.age_ms <= MAX_AGE_MS and figures.running > OVERFULL_LOAD * _usable(figures):
            excess = (figures.running - OVERFULL_LOAD * _usable(figures)) / max(own.asked, 1.0)
            state.shares[name], reasons[name] = max(0.0, share - min(excess, STEP)), "overfull"


def _bring_back(
    state: Locality, others: dict[str, CentreFigures], excess: float, reasons: dict[str, str]
) -> None:
    """Bring reads back from the farthest data centres, one step at most."""
    left = min(excess, STEP)
    for name in sorted(state.shares, key=lambda item: _order(others, item), reverse=True):
        part = min(left, state.shares[name])
        if part <= 0:
            continue
        state.shares[name] -= part
        left -= part
        reasons.setdefault(name, "room at home")


def _send_out(
    state: Locality,
    own: CentreFigures,
    others: dict[str, CentreFigures],
    missing: float,
    settings: LocalitySettings,
    reasons: dict[str, str],
) -> None:
    """Send reads to the nearest data centres with room; all at once if home serves none."""
    is_home_gone = not _usable(own)
    left = missing if is_home_gone else min(missing, STEP)
    for name in sorted(others, key=lambda item: _order(others, item)):
        figures = others[name]
        room = HIGH_LOAD * _usable(figures) - figures.running
        if left <= 0 or room <= 0 or figures.age_ms > MAX_AGE_MS or name in reasons:
            continue
        if not is_home_gone and _wait_ms(own) <= settings.cost_per_ms * figures.way_ms:
            continue
        part = min(left, room / max(own.asked, 1.0))
        state.shares[name] = state.shares.get(name, 0.0) + part
        reasons[name] = "home gone" if is_home_gone else "home full"
        left -= part
    if is_home_gone and left > 0:
        fit = [name for name, item in others.items() if _usable(item) and not reasons.get(name)]
        fit = fit or [name for name, item in others.items() if _usable(item)]
        if fit:
            nearest = min(fit, key=lambda item: _order(others, item))
            state.shares[nearest] = state.shares.get(nearest, 0.0) + left
            reasons[nearest] = "home gone"


def _wait_ms(own: CentreFigures) -> float:
    """Return how long a read would wait at home if all that is asked were served there.

    From HIGH_LOAD on, statements that come together wait for each other.
    """
    return own.service_ms * max(0.0, own.asked / _usable(own) - HIGH_LOAD)


def _order(others: dict[str, CentreFigures], name: str) -> tuple[float, str]:
    figures = others.get(name)
    return (figures.way_ms if figures is not None else float("inf"), name)


def _changes(
    state: Locality,
    before: dict[str, float],
    own: CentreFigures,
    others: dict[str, CentreFigures],
    reasons: dict[str, str],
) -> list[ShareChange]:
    changes: list[ShareChange] = []
    for name in sorted(before.keys() | state.shares.keys()):
        share = state.shares.get(name, 0.0)
        if share < MIN_SHARE:
            state.shares.pop(name, None)
            share = 0.0
        previous = before.get(name, 0.0)
        if share != previous:
            reason = reasons.get(name, "")
            changes.append(ShareChange(name, previous, share, reason, own, others.get(name)))
    return changes
