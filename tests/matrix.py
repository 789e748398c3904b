"""The fault matrix: every fault at every step, simulated with the reducers.

A scenario runs sessions and operators, applies one fault when a step is reached for the first time,
and then heals everything. It checks that every promise was kept and that the system has recovered.
"""

from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from driver import Driver, Process
from endivewick_bench.checkers import Record, Violation, check_all
from faults import (
    FAULTS,
    PROXIES,
    drain,
    drain_home,
    follower_now,
    freeze_actor,
    home_now,
    leader_now,
    leave,
    primary_of,
)
from steps import STEPS
from workload import CUSTOMER, Operator, Session, ready_driver

WARM_UP_MS = 600
STEP_LIMIT_MS = 9_000
FAULT_MS = 3_500
REPAIR_MS = 3_000
END_MS = 500
RECOVERY_LIMIT_MS = 12_000
SESSIONS = 2


class Scenario(NamedTuple):
    """The result of one cell of the matrix."""

    step: str
    fault: str
    reached: bool
    violations: list[Violation]
    faults: list[str]
    recovered: bool
    history: list[Record]


# Delay before a second fault of the same kind, on whichever node has the same role by then.
TWICE_AFTER_MS = 1_600


# Losing a second disk while the first is replaced loses the majority: safe, but not available.
MAJORITY_LOST = {
    (step, fault)
    for step in (
        "membership: learner added",
        "membership: old voter removed",
        "membership: new voter added",
    )
    for fault in ("disk of the leader lost",)
}


def _start_step(driver: Driver, action: str) -> None:
    if action == "kill_primary":
        driver.kill_upstream(primary_of(driver))
    elif action == "kill_leader":
        driver.kill(leader_now(driver))
    elif action == "kill_home":
        driver.kill(home_now(driver))
    elif action == "leave":
        leave(driver, driver.processes[home_now(driver)])
    elif action == "drain_home":
        drain_home(driver)
    elif action == "wipe_member":
        driver.restart(follower_now(driver), wipe=True)


def run_scenario(step: str, fault: str, seed: int, twice: bool = False) -> Scenario:
    """Run one cell of the matrix."""
    driver = ready_driver(seed)
    sessions = [Session(driver, f"s{number}", PROXIES) for number in range(SESSIONS)]
    operators = [Operator(driver, "other", name) for name in ("ann", "bob")]
    for operator in operators:
        operator.change()
    driver.run(WARM_UP_MS)
    reaches, action = STEPS[step]
    reached: list[str] = []

    def watch(process: Process, effect: Any) -> None:
        if reached or not reaches(process, effect):
            return
        reached.append(process.name)
        if FAULTS[fault] is not drain:
            driver.record("fault_began", process.name)
        freeze = FAULTS[fault] is freeze_actor
        if freeze and step == "request: answered to caller":
            # A stop between the ingress proxy's check of the grant and its send is not covered by
            # the proof: docs/PROOFS.md.
            driver.after(1, lambda: driver.freeze(process.name))
            return
        FAULTS[fault](driver, process)

    driver.watch = watch
    _start_step(driver, action)
    driver.run_until(lambda: bool(reached), STEP_LIMIT_MS)
    driver.watch = None
    if twice and reached:
        driver.run(TWICE_AFTER_MS)
        if "disk" in fault:
            # Apply it directly after the first disk has been repaired.
            driver.run_until(lambda: _all_vote(driver), STEP_LIMIT_MS)
        again = driver.processes[reached[0]]
        all_drain = FAULTS[fault] is drain and STEPS[step][1] in ("drain_home", "kill_home")
        if again.alive and not again.frozen and not all_drain:
            FAULTS[fault](driver, again)
    driver.run(FAULT_MS)
    return _finish(driver, step, fault, bool(reached), sessions, operators)


def _all_vote(driver: Driver) -> bool:
    """Return whether each control process votes and the membership that says so is committed."""
    leader = driver.leader()
    if leader is None:
        return False
    state = driver.processes[leader].state
    identities = {member.member_id for member in state.membership.voters}
    present = {p.disk.identity for p in driver.processes.values() if p.disk is not None}
    settled = not state.memberships or state.memberships[-1][0] <= state.commit_index
    return identities == present and settled


def _served_since(driver: Driver, began_ms: int) -> bool:
    """Tell whether a write was acknowledged since ``began_ms``."""
    for item in reversed(driver.history):
        if item.at_ms < began_ms:
            return False
        if item.kind == "answer" and (item.operation, item.outcome) == ("write", "ok"):
            return True
    return False


def _finish(
    driver: Driver,
    step: str,
    fault: str,
    reached: bool,
    sessions: list[Session],
    operators: list[Operator],
) -> Scenario:
    driver.heal()
    for upstream in driver.upstreams.values():
        upstream.lag_ms = 0
        upstream.leaving = False
        driver.record("upstream_returned", upstream.name, upstream=upstream.name)
    driver.run(REPAIR_MS)
    served = driver.run_until(partial(_served_since, driver, driver.now), RECOVERY_LIMIT_MS)
    driver.run(END_MS)
    for session in sessions:
        session.stopped = True
    for operator in operators:
        operator.stopped = True
    driver.run(2_500)
    faults = list(driver.faults)
    if (step, fault) in MAJORITY_LOST:
        served = True
    else:
        faults += _accepted_in_force(driver, operators)
    return Scenario(step, fault, reached, check_all(driver.history), faults, served, driver.history)


def _accepted_in_force(driver: Driver, operators: list[Operator]) -> list[str]:
    """Check that every process has each accepted change and that no version was accepted twice."""
    faults: list[str] = []
    versions: set[int] = set()
    for operator in operators:
        for change_id, version, _ in operator.accepted:
            if version in versions:
                faults.append(f"version {version} was accepted twice ({change_id})")
            versions.add(version)
    newest = max(versions, default=0)
    for process in driver.processes.values():
        if not process.alive:
            continue
        known = process.state.replicated_state.contracts.get("other")
        if (known.version if known else 0) < newest:
            faults.append(f"{process.name} lacks the accepted version {newest}")
        if CUSTOMER not in process.state.replicated_state.contracts:
            faults.append(f"{process.name} lost the contract of {CUSTOMER}")
    return faults


def _any(history: list[Record], **fields: Any) -> bool:
    return any(
        all(getattr(item, name) == value for name, value in fields.items()) for item in history
    )


def _resent(history: list[Record]) -> bool:
    attempts: dict[str, int] = {}
    for item in history:
        if item.kind == "invoke" and item.request_id:
            attempts[item.request_id] = attempts.get(item.request_id, 0) + 1
    return any(number > 1 for number in attempts.values())


# Predicates: whether a history contains the operations that a promise is about.
EXERCISED: dict[str, Callable[[list[Record]], bool]] = {
    "read_your_writes": lambda history: _any(history, operation="read", outcome="ok"),
    "replaced_primary": lambda history: _any(history, kind="promoted"),
    "transactions": lambda history: _any(history, kind="upstream_committed"),
    "whole_answers": lambda history: _any(history, kind="answer", outcome="ok"),
    "not_run": lambda history: _any(history, kind="answer", ran="not_run"),
    "at_most_once": _resent,
    "leaving": lambda history: _any(history, kind="upstream_leaving"),
    "graceful_stop": lambda history: _any(history, kind="drain_started"),
    "configuration": lambda history: _any(history, kind="configuration_accepted"),
}
