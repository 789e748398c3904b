"""The proxy's copy of the configuration, its lease and its heartbeats to control.

The configuration never goes back: a log entry is applied only if it follows the current revision
directly, and a full state only if it is newer. The lease and the confirmation of the configuration
are timed from the sending of the heartbeat, on this process's own clock.
"""

from ..codec import CodecFault, decode, encode
from ..commands import COMMANDS
from ..messages import HeartbeatReply, LeaderHint, ProxyHeartbeat
from ..replicated_state import affected_groups, apply_command, decode_configuration
from . import homes
from .effects import Count, Effect, LogEvent, Send
from .state import ProxyState

MAX_PENDING_HEARTBEATS = 64
PROPOSAL_RETRY_MS = 300


def check_heartbeat(state: ProxyState, now_ms: int) -> list[Effect]:
    """Send a heartbeat if one is due; switch control process after ``control_timeout_ms``."""
    if now_ms < state.heartbeat_due_ms:
        return []
    settings = state.settings
    silent_ms = now_ms - state.control_last_contact_ms
    if not state.control_address or silent_ms > settings.control_timeout_ms:
        _next_control(state, now_ms)
    return [_heartbeat(state, now_ms)]


def propose(state: ProxyState, now_ms: int, command: object) -> list[Effect]:
    """Send a command to control now, and with each heartbeat until it has been applied."""
    data = encode(command)
    sent_ms = state.proposals.get(data)
    if sent_ms is not None and now_ms - sent_ms < PROPOSAL_RETRY_MS:
        return []
    state.proposals[data] = now_ms
    if not state.control_address:
        return []
    return [_heartbeat(state, now_ms)]


def handle_reply(
    state: ProxyState, now_ms: int, sender: str, reply: HeartbeatReply
) -> list[Effect]:
    """Apply the changes of a heartbeat reply, then renew the lease.

    While the configuration is behind control's, the lease is not renewed and the next heartbeat is
    due at once.
    """
    sent_ms = state.heartbeat_sent_ms.pop(reply.sequence, None)
    if sent_ms is None:
        return [Count("control.reply_unmatched")]
    state.control_address = sender
    state.control_last_contact_ms = now_ms
    effects = _apply(state, now_ms, reply)
    for name in reply.release:
        if name in state.homes:
            state.homes[name].handing_over = True
    if state.replicated_state.revision < reply.commit_index:
        state.heartbeat_due_ms = now_ms
        return effects
    if reply.lease_ms:
        state.lease_until_ms = max(state.lease_until_ms, sent_ms + reply.lease_ms)
    if state.confirmed_ms is None or sent_ms > state.confirmed_ms:
        state.confirmed_ms = sent_ms
    return effects


def handle_hint(state: ProxyState, now_ms: int, hint: LeaderHint) -> list[Effect]:
    """Switch to the leader that a control process named, or to the next process."""
    if state.heartbeat_sent_ms.pop(hint.sequence, None) is None:
        return [Count("control.reply_unmatched")]
    if hint.leader_address and hint.leader_address != state.control_address:
        state.control_address = hint.leader_address
        state.control_last_contact_ms = now_ms
        return [_heartbeat(state, now_ms)]
    if not hint.leader_address:
        _next_control(state, now_ms)
    return []


def _next_control(state: ProxyState, now_ms: int) -> None:
    addresses = state.settings.control_addresses
    state.control_index = (state.control_index + 1) % len(addresses)
    state.control_address = addresses[state.control_index]
    state.control_last_contact_ms = now_ms


def _heartbeat(state: ProxyState, now_ms: int) -> Send:
    settings = state.settings
    state.sequence += 1
    state.heartbeat_sent_ms[state.sequence] = now_ms
    if len(state.heartbeat_sent_ms) > MAX_PENDING_HEARTBEATS:
        del state.heartbeat_sent_ms[next(iter(state.heartbeat_sent_ms))]
    state.heartbeat_due_ms = now_ms + settings.heartbeat_ms
    heartbeat = ProxyHeartbeat(
        settings.name,
        settings.boot,
        settings.address,
        settings.http_address,
        settings.data_centre,
        state.sequence,
        state.replicated_state.revision,
        state.draining_since_ms is not None,
        list(state.proposals),
    )
    return Send(state.control_address, heartbeat)


def _apply(state: ProxyState, now_ms: int, reply: HeartbeatReply) -> list[Effect]:
    before = state.replicated_state.revision
    touched: set[str] = set()
    if reply.machine and reply.machine_index > before:
        state.replicated_state = decode_configuration(reply.machine)
        state.proposals.clear()
        touched.update(state.replicated_state.groups)
        touched.update(state.homes)
    effects: list[Effect] = []
    for entry in reply.entries:
        if entry.log_index != state.replicated_state.revision + 1:
            continue
        command = decode(COMMANDS, entry.command) if entry.command else None
        if isinstance(command, CodecFault):
            text = (
                f"log entry {entry.log_index} can't be read: {command.reason}; upgrade this process"
            )
            effects.append(LogEvent("error", "entry_unreadable", text))
        apply_command(state.replicated_state, entry.log_index, command)
        touched.update(affected_groups(state.replicated_state, command))
        state.proposals.pop(entry.command, None)
    if touched:
        effects += homes.handle_configuration_change(state, now_ms, sorted(touched))
    return effects
