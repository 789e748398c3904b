"""The steps of the fault matrix: when each is reached, and the action that brings it about."""

from collections.abc import Callable
from typing import Any

from driver import Process
from endivewick_core.codec import decode
from endivewick_core.commands import COMMANDS, Promote, PutContract
from endivewick_core.messages import HeartbeatReply, ProxyHeartbeat


def _name(effect: Any) -> str:
    return type(effect).__name__


def _sends(path: str, in_transaction: bool | None = None) -> Callable[[Process, Any], bool]:
    def reached(process: Process, effect: Any) -> bool:
        if _name(effect) != "SendUpstream" or effect.path != path:
            return False
        return in_transaction is None or effect.body["in_transaction"] == in_transaction

    return reached


def _effect(name: str) -> Callable[[Process, Any], bool]:
    return lambda process, effect: _name(effect) == name


def _log_event(name: str) -> Callable[[Process, Any], bool]:
    return lambda process, effect: _name(effect) == "LogEvent" and effect.name == name


def _proposes(kind: type) -> Callable[[Process, Any], bool]:
    def reached(process: Process, effect: Any) -> bool:
        if _name(effect) != "Send" or not isinstance(effect.message, ProxyHeartbeat):
            return False
        return any(isinstance(decode(COMMANDS, p), kind) for p in effect.message.proposals)

    return reached


def _appends(kind: type) -> Callable[[Process, Any], bool]:
    def reached(process: Process, effect: Any) -> bool:
        if _name(effect) != "AppendEntries":
            return False
        return any(isinstance(decode(COMMANDS, e.command), kind) for e in effect.entries)

    return reached


def _spreads(process: Process, effect: Any) -> bool:
    is_reply = _name(effect) == "Send" and isinstance(effect.message, HeartbeatReply)
    return is_reply and bool(effect.message.entries)


def _repaired(process: Process, effect: Any) -> bool:
    """Return whether the new identity is a voter and the change that made it one is committed."""
    state = process.state
    if process.disk is None or state.leader_state is None or not state.memberships:
        return False
    index, membership = state.memberships[-1]
    identities = {member.member_id for member in membership.voters}
    replaced = len(identities) == 3 and any(not item.endswith("#0") for item in identities)
    return replaced and index <= state.commit_index


# Step name -> (predicate that detects the step, name of the action that triggers it).
STEPS: dict[str, tuple[Callable[[Process, Any], bool], str]] = {
    "request: forwarded": (_effect("Forward"), ""),
    "request: sent to upstream": (_sends("/statement", False), ""),
    "request: answered by home": (_effect("ForwardAnswer"), ""),
    "request: answered to caller": (_effect("AnswerCaller"), ""),
    "transaction: begun": (_sends("/begin"), ""),
    "transaction: statement": (_sends("/statement", True), ""),
    "transaction: commit": (_sends("/commit"), ""),
    "failover: grant revoked": (_log_event("primary_unreachable"), "kill_primary"),
    "failover: proposed": (_proposes(Promote), "kill_primary"),
    "failover: committed": (_appends(Promote), "kill_primary"),
    "failover: ordered": (_sends("/promote"), "kill_primary"),
    "failover: active": (_log_event("primary_active"), "kill_primary"),
    "change: appended": (_appends(PutContract), ""),
    "change: answered": (_effect("AnswerOperator"), ""),
    "change: spread": (_spreads, ""),
    "change: snapshot": (_effect("SaveSnapshot"), ""),
    "membership: learner added": (_log_event("learner_added"), "wipe_member"),
    "membership: old voter removed": (_log_event("voter_removed"), "wipe_member"),
    "membership: new voter added": (_log_event("voter_added"), "wipe_member"),
    "membership: repaired": (_repaired, "wipe_member"),
    "election: vote saved": (_effect("SaveVote"), "kill_leader"),
    "upstream: leaving": (_log_event("upstream_state"), "leave"),
    "home: assigned": (_log_event("homes_assigned"), "kill_home"),
    "home: taken": (_log_event("home_taken"), "kill_home"),
    "home: released": (_log_event("home_released"), "drain_home"),
}
