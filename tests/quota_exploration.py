"""An exploration of quotas: three gateways and three control processes, real reducers.

The explorer takes every sequence of steps of a scenario up to a depth. In each step clients flood
the gateways of one data centre, or of all, and at most one fault happens, as often as the scenario
says. Control process 0 leads at first. After the last step all gateways are flooded.

The promise: no tenant runs more operations in any 5 s than its limit allows, and no more than a
lower limit allows once that must be in force. Beside it: after the faults are over, every operation
of a tenant below its limit is served.

Deeper by hand: ``.venv/bin/python tests/quota_exploration.py --depth=5``.
"""

import pickle
from typing import NamedTuple

from absl import app, flags
from endivewick_core.token_buckets import TokenLimit
from quota_model import (
    allowed,
    control_address,
    controls_of,
    cut,
    freeze,
    gateway_address,
    gateways_of,
    heal,
    leader_of,
    most_in_window,
    offer,
    put_limits,
    restart,
    run,
    start_world,
    thaw,
)

TENANT = "bode"
SUBJECTS = (0, 1)  # of faults; the third gateway and control process have none
TICK_MS = 50
STEP_MS = 1_300  # longer than an election, and a third of the lease on shares
FLOOD_FACTOR = 3  # times the limit
ALL = -1
END_MS = 6_000  # longer than a lease on shares and the window
APPLY_MS = 5_000  # a changed limit must be in force then
RECOVERY_MS = 9_000  # a lease on shares, an election and the window
CALM_MS = 5_000
SETTLE_MS = 14_000  # until the buckets are full


class Scenario(NamedTuple):
    """A limit, the faults that may happen and how often, and which data centres are flooded."""

    limit: TokenLimit
    faults: dict[str, int]
    floods: tuple[int, ...] = (0, ALL)
    lower_limit: TokenLimit | None = None


class Step(NamedTuple):
    """A fault, and the data centre that is flooded while it lasts."""

    fault: str
    subject: int
    flooded: int


class Found(NamedTuple):
    """How many sequences were tried, and those that broke a promise with what was seen."""

    sequences: int
    most: int
    paths: list[tuple[tuple[Step, ...], str]]


class Search(NamedTuple):
    """What an exploration looks for; every ``recover_every``-th sequence is also let recover."""

    scenario: Scenario
    depth: int
    recover_every: int
    most_paths: int
    started_ms: int


def steps(scenario, used):
    """Return the steps that may follow, where ``used`` counts the faults so far."""
    choices = [("none", 0)]
    for fault, times in scenario.faults.items():
        if used.get(fault, 0) >= times:
            continue
        subjects = (0,) if fault in ("heal", "leader", "lower") else SUBJECTS
        choices += [(fault, subject) for subject in subjects]
    return [Step(*choice, flooded) for choice in choices for flooded in scenario.floods]


def take(world, scenario, step):
    """Let a fault happen, and flood gateways for the time of a step."""
    control, gateway = control_address(step.subject), gateway_address(step.subject)
    controls = [item.address for item in controls_of(world)]
    if step.fault == "cut":
        # The data centre: otherwise its gateway would change to another control process.
        cut(world, control, controls)
        cut(world, gateway, [item for item in controls if item != control])
    if step.fault == "lose answers":
        # Of the leader to one control process.
        world.lost_to = control
    if step.fault == "leader":
        leader = leader_of(world)
        if leader is not None:
            restart(world, leader.address)
    if step.fault == "restart":
        restart(world, control)
    if step.fault == "freeze":
        freeze(world, control)
    if step.fault == "restart gateway":
        restart(world, gateway)
    if step.fault == "freeze gateway":
        freeze(world, gateway)
    if step.fault == "heal":
        heal(world)
        for address in world.processes:
            thaw(world, address)
    if step.fault == "lower":
        put_limits(world, {TENANT: scenario.lower_limit})
    run(world, STEP_MS, _flood(scenario, step.flooded))


def _flood(scenario, flooded):
    per_tick = int(scenario.limit.rate_per_s * FLOOD_FACTOR * TICK_MS / 1000) + 1

    def load(world):
        gateways = gateways_of(world)
        for gateway in gateways if flooded == ALL else [gateways[flooded]]:
            offer(world, gateway, TENANT, per_tick)

    return load


def violation(world, scenario, path, started_ms):
    """Return what broke the bound, or an empty text."""
    times_ms = world.runs.get(TENANT, [])
    most = most_in_window(times_ms)
    if most > allowed(scenario.limit):
        return f"{most} operations in a window, allowed are {allowed(scenario.limit):.0f}"
    lowered = [index for index, step in enumerate(path) if step.fault == "lower"]
    if not lowered or scenario.lower_limit is None:
        return ""
    in_force_ms = started_ms + lowered[0] * STEP_MS + APPLY_MS
    most = most_in_window([time_ms for time_ms in times_ms if time_ms >= in_force_ms])
    if most > allowed(scenario.lower_limit):
        return f"{most} operations in a window of the lower limit"
    return ""


def refusal_after(world, scenario):
    """Return the number of refusals below the limit, once all faults are over."""
    heal(world)
    world.lost_to = ""
    for address in world.processes:
        thaw(world, address)
    run(world, RECOVERY_MS)
    run_before = len(world.runs.get(TENANT, []))
    limit = scenario.lower_limit or scenario.limit
    interval_ms = int(2_000 / limit.rate_per_s)  # half of the limit
    turn = [0]

    def load(item):
        while turn[0] * interval_ms < item.now_ms - started_ms:
            offer(item, gateways_of(item)[turn[0] % 3], TENANT)
            turn[0] += 1

    started_ms = world.now_ms
    run(world, CALM_MS, load)
    run(world, 500)
    served = len(world.runs.get(TENANT, [])) - run_before
    lost = turn[0] - served
    return f"{lost} of {turn[0]} operations not served below the limit" if lost else ""


def explore(scenario, depth, recover_every=0, most_paths=3):
    """Try every sequence of ``depth`` steps; check every ``recover_every``-th for its recovery."""
    world = start_world({TENANT: scenario.limit}, tick_ms=TICK_MS, settle_ms=SETTLE_MS)
    search = Search(scenario, depth, recover_every, most_paths, world.now_ms)
    return _explore(search, pickle.dumps(world), (), Found(0, 0, []))


def _explore(search, packed, path, found):
    scenario = search.scenario
    used = {}
    for step in path:
        used[step.fault] = used.get(step.fault, 0) + 1
    for step in steps(scenario, used):
        if len(found.paths) >= search.most_paths:
            break
        world = pickle.loads(packed)
        take(world, scenario, step)
        longer = (*path, step)
        if len(longer) < search.depth:
            found = _explore(search, pickle.dumps(world), longer, found)
            continue
        run(world, END_MS, _flood(scenario, ALL))
        text = violation(world, scenario, longer, search.started_ms)
        most = max(found.most, most_in_window(world.runs.get(TENANT, [])))
        found = Found(found.sequences + 1, most, found.paths)
        is_due = search.recover_every and found.sequences % search.recover_every == 0
        if not text and is_due:
            text = refusal_after(world, scenario)
        if text:
            found.paths.append((longer, text))
    return found


def describe(path):
    """Return a sequence of steps as text."""
    return ", ".join(f"{step.fault} {step.subject} (flood {step.flooded})" for step in path)


SCENARIOS = {
    "partition": Scenario(TokenLimit(100, 10), {"cut": 1}),
    "lost answers": Scenario(TokenLimit(100, 20), {"lose answers": 1, "leader": 1}, (1, ALL)),
    "restarts": Scenario(TokenLimit(20, 200), {"restart": 2}),
    "gateways": Scenario(
        TokenLimit(40, 40), {"restart gateway": 1, "freeze gateway": 1, "heal": 1}, (ALL,)
    ),
    "freezes": Scenario(TokenLimit(40, 40), {"freeze": 1, "heal": 1}),
    "lower": Scenario(TokenLimit(40, 40), {"lower": 1, "cut": 1}, lower_limit=TokenLimit(5, 5)),
}


def main(_):
    for name, scenario in SCENARIOS.items():
        found = explore(scenario, flags.FLAGS.depth, recover_every=10)
        bound = allowed(scenario.limit)
        print(f"{name}: {found.sequences} sequences, most {found.most}, allowed {bound:.0f}")
        for path, text in found.paths:
            print(f"  {text}: {describe(path)}")


if __name__ == "__main__":
    flags.DEFINE_integer("depth", 3, "how many steps each sequence has")
    app.run(main)
