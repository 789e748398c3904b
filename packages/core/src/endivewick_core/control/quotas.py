"""Quotas at a control process: its shares of the tenants' limits, and the tokens for gateways.

Each control process holds a share of each limit, a lease that it requests from the leader; see
``quota_shares``. Gateways get whole tokens of it. If it has none, the leader is asked at once. If
the leader has none either, the tenant is at its limit, and what the share doesn't serve soon is
refused. While there is no leader, the shares serve until they end.
"""

import math

from ..messages import (
    QuotaAnswer,
    QuotaQuestion,
    QuotaShareAnswer,
    QuotaShareQuestion,
    ShareReport,
    TokenAnswer,
    TokenNeed,
)
from ..token_buckets import Bucket, Part, TokenLimit, add, resize, take
from . import quota_reserves, quota_shares, replication
from .effects import Effect, LogEvent, Send
from .quota_shares import MIN_DEMAND_PER_S, SHARE_LEASE_MS, TOKEN_WAIT_MS
from .quota_state import HeldShare, QuotaState, WaitingNeed
from .state import ControlState, Role

RENEWAL_INTERVAL_MS = 300
# For shares with little or no demand, which bounds what control sends for many small tenants.
SMALL_RENEWAL_INTERVAL_MS = 900
IDLE_RENEWAL_INTERVAL_MS = 1_500
SMALL_DEMAND_PER_S = 2.0
STOCK_INTERVAL_MS = 60  # between requests of the leader for shares that no operation waits for
DEMAND_TIME_S = 3.0  # over which demand is averaged; a tenant with 1 operation/s still shows one
# After so long a question to the leader is lost; a round trip between regions takes 40 ms.
LEADER_ANSWER_MS = 150
# How long a gateway's need waits here. Tokens expire 500 ms after the gateway asked for them.
NEED_TIMEOUT_MS = 350
EXHAUSTED_MS = 200  # how long a leader without a token isn't asked for one
# Sent to clients of a tenant at its limit: at least this, at most the window in which the limit
# counts.
MIN_RETRY_AFTER_MS = 300
MAX_RETRY_AFTER_MS = 5_000
UNKNOWN_LIMIT_RETRY_MS = 100  # until the configuration that the gateway knows has arrived here


def check_quotas(state: ControlState, now_ms: int) -> list[Effect]:
    """Renew the shares that are due, and serve the needs that wait."""
    quotas = state.quotas
    limits = state.replicated_state.configuration.limits
    if not limits and not quotas.shares:
        return []
    effects: list[Effect] = []
    for tenant in sorted(quotas.short):
        effects += _serve(state, now_ms, tenant)
    due: list[str] = []
    if now_ms >= quotas.renewal_due_ms:
        quotas.renewal_due_ms = now_ms + RENEWAL_INTERVAL_MS
        _update_tenants(state, now_ms)
        ended = quotas.reserved.keys()
        quotas.reserved = quota_reserves.reserved_per_s(state, now_ms)
        quota_shares.remove_unlimited(state, now_ms)
        reserved = {tenant for tenant in ended | quotas.reserved.keys() if tenant in limits}
        due = sorted(reserved.union(_due_renewals(quotas, now_ms)))
    return effects + _ask_leader(state, now_ms, due)


def handle_question(state: ControlState, now_ms: int, question: QuotaQuestion) -> list[Effect]:
    """Give a gateway the tokens that are there; the rest of its operations wait for the leader.

    A question without needs is the last one of a gateway that asks another process now.
    """
    if not question.needs:
        quota_reserves.note_departure(state, question.gateway)
    configuration = state.replicated_state.configuration
    answers: dict[str, TokenAnswer] = {}
    effects: list[Effect] = []
    waiting: list[str] = []
    for tenant, need in question.needs.items():
        limit = configuration.limits.get(tenant)
        if limit is None:
            is_current = configuration.version >= question.configuration_version
            answers[tenant] = _unlimited(need, is_current)
            continue
        share = _held_share(state, now_ms, tenant)
        _add_demand(share, now_ms, need.waiting + need.expected)
        bucket = _bucket(share, now_ms, limit)
        # Needs that came before wait for the same tokens.
        count = 0 if share.waiting else take(bucket, now_ms, need.waiting + need.expected)
        quota_reserves.note_given(state, now_ms, question.gateway, tenant, count)
        if count or need.expected:
            answers[tenant] = TokenAnswer(count, max(0, need.waiting - count))
        if bucket.level < 1:
            state.quotas.short.add(tenant)
        if count < need.waiting:
            share.waiting.append(
                WaitingNeed(
                    question.gateway,
                    question.boot,
                    question.sequence,
                    need.waiting - count,
                    now_ms,
                )
            )
            waiting.append(tenant)
    if answers:
        answer = QuotaAnswer(question.boot, question.sequence, answers)
        effects.append(Send(question.gateway, answer))
    for tenant in waiting:
        effects += _serve(state, now_ms, tenant)
    return effects + (_ask_leader(state, now_ms, []) if waiting else [])


def handle_share_question(
    state: ControlState, now_ms: int, question: QuotaShareQuestion
) -> list[Effect]:
    """Answer another control process with its shares, if this process is the leader."""
    answer, effects = quota_shares.answer(state, now_ms, question)
    if answer is None:
        return effects
    return [*effects, Send(question.sender, answer)]


def handle_share_answer(state: ControlState, now_ms: int, answer: QuotaShareAnswer) -> list[Effect]:
    """Adopt the shares in the leader's answer, and serve the needs that waited for them."""
    quotas = state.quotas
    # A leader of an earlier term than the one that was asked last may not know the other's grants.
    if answer.boot != state.directory_state.boot or answer.term < quotas.asked_term:
        return []
    asked_ms = quotas.sent_ms.pop(answer.sequence, None)
    if asked_ms is None or now_ms >= asked_ms + SHARE_LEASE_MS:
        return []
    if answer.sequence == quotas.full_sequence:
        quotas.reported_term = answer.term
    limits = state.replicated_state.configuration.limits
    effects: list[Effect] = []
    for tenant, given in answer.shares.items():
        share, limit = quotas.shares.get(tenant), limits.get(tenant)
        if share is None or limit is None or given.serial <= share.serial:
            continue
        bucket = _bucket(share, now_ms, limit)
        share.serial = given.serial
        share.part = Part(given.rate_ppm, given.burst_ppm)
        share.until_ms = asked_ms + SHARE_LEASE_MS
        resize(bucket, now_ms, limit, share.part)
        add(bucket, given.tokens)
        share.asked_ms = None
        share.leader_token_ms = None
        share.leader_soon = given.soon
        share.exhausted_until_ms = 0
        if given.retry_after_ms:
            share.exhausted_until_ms = now_ms + EXHAUSTED_MS
            if given.retry_after_ms > 0:
                share.leader_token_ms = now_ms + given.retry_after_ms
        effects += _serve(state, now_ms, tenant)
    return effects


def _unlimited(need: TokenNeed, is_current: bool) -> TokenAnswer:
    """Answer for a tenant that has no limit in the configuration here."""
    if is_current:
        return TokenAnswer(need.waiting + need.expected)
    return TokenAnswer(0, retry_after_ms=UNKNOWN_LIMIT_RETRY_MS)


def _held_share(state: ControlState, now_ms: int, tenant: str) -> HeldShare:
    share = state.quotas.shares.get(tenant)
    if share is None:
        share = HeldShare(Bucket(updated_ms=now_ms), demand_updated_ms=now_ms)
        state.quotas.shares[tenant] = share
    return share


def _bucket(share: HeldShare, now_ms: int, limit: TokenLimit) -> Bucket:
    """Return a share's bucket as of now; a share that has ended has no part and no tokens."""
    if now_ms >= share.until_ms:
        share.part = Part()
    resize(share.bucket, now_ms, limit, share.part)
    return share.bucket


def _add_demand(share: HeldShare, now_ms: int, count: int) -> None:
    _demand_per_s(share, now_ms)
    share.demand += count


def _demand_per_s(share: HeldShare, now_ms: int) -> float:
    """Return the tokens per second that gateways lately asked for."""
    passed_s = max(0, now_ms - share.demand_updated_ms) / 1000
    share.demand *= math.exp(-passed_s / DEMAND_TIME_S)
    share.demand_updated_ms = max(now_ms, share.demand_updated_ms)
    return share.demand / DEMAND_TIME_S


def _serve(state: ControlState, now_ms: int, tenant: str) -> list[Effect]:
    """Give tokens to the needs that wait, oldest first; refuse what gets none soon."""
    quotas = state.quotas
    share = quotas.shares.get(tenant)
    limit = state.replicated_state.configuration.limits.get(tenant)
    if share is None or limit is None:
        quotas.short.discard(tenant)
        return []
    bucket = _bucket(share, now_ms, limit)
    effects: list[Effect] = []
    while share.waiting:
        need = share.waiting[0]
        if now_ms - need.received_ms >= NEED_TIMEOUT_MS:
            share.waiting.popleft()
            answer = TokenAnswer(0, 0, need.count, MIN_RETRY_AFTER_MS)
            effects.append(_send_tokens(need, tenant, answer))
            continue
        tokens = take(bucket, now_ms, need.count)
        if not tokens:
            break
        need.count -= tokens
        quota_reserves.note_given(state, now_ms, need.gateway, tenant, tokens)
        effects.append(_send_tokens(need, tenant, TokenAnswer(tokens, need.count)))
        if not need.count:
            share.waiting.popleft()
    if share.asked_ms is not None and now_ms - share.asked_ms >= LEADER_ANSWER_MS:
        share.asked_ms = None
    if _waits_in_vain(share, now_ms):
        # Without an answer of the leader, only the share's own rate serves what waits.
        share.exhausted_until_ms = now_ms + 1
        share.leader_token_ms = None
        share.leader_soon = 0.0
    if share.waiting and now_ms < share.exhausted_until_ms:
        effects += _refuse_excess(now_ms, tenant, share, limit)
    if not share.waiting and bucket.level >= 1:
        quotas.short.discard(tenant)
    return effects


def _waits_in_vain(share: HeldShare, now_ms: int) -> bool:
    """Return whether needs have waited for an answer of the leader for too long."""
    if not share.waiting or share.asked_ms is not None or now_ms < share.exhausted_until_ms:
        return False
    return now_ms - share.waiting[0].received_ms >= LEADER_ANSWER_MS


def _refuse_excess(now_ms: int, tenant: str, share: HeldShare, limit: TokenLimit) -> list[Effect]:
    """Refuse the needs that neither the share nor the leader has tokens for soon."""
    own = share.bucket.level + share.bucket.rate_per_s * TOKEN_WAIT_MS / 1000
    soon = int(own + share.leader_soon)
    effects: list[Effect] = []
    refused = 0
    kept: list[WaitingNeed] = []
    for need in share.waiting:
        excess = max(0, need.count - soon)
        soon = max(0, soon - need.count)
        if excess:
            refused += excess
            retry_after_ms = MAX_RETRY_AFTER_MS
            if limit.rate_per_s > 0:
                retry_after_ms = MIN_RETRY_AFTER_MS + int(1000 * refused / limit.rate_per_s)
            retry_after_ms = min(MAX_RETRY_AFTER_MS, retry_after_ms)
            need.count -= excess
            answer = TokenAnswer(0, need.count, excess, retry_after_ms)
            effects.append(_send_tokens(need, tenant, answer))
        if need.count:
            kept.append(need)
    share.waiting.clear()
    share.waiting.extend(kept)
    if refused:
        inputs: dict[str, object] = {
            "tenant": tenant,
            "rate_per_s": limit.rate_per_s,
            "share_rate_per_s": round(share.bucket.rate_per_s, 3),
            "level": round(share.bucket.level, 3),
            "share_left_ms": share.until_ms - now_ms,
            "demand_per_s": round(_demand_per_s(share, now_ms), 3),
            "refused": refused,
        }
        text = f"tenant {tenant} is at its limit"
        effects.append(LogEvent("info", "quota_exhausted", text, inputs))
    return effects


def _send_tokens(need: WaitingNeed, tenant: str, answer: TokenAnswer) -> Send:
    return Send(need.gateway, QuotaAnswer(need.boot, need.sequence, {tenant: answer}))


def _update_tenants(state: ControlState, now_ms: int) -> None:
    """Let every limited tenant have a share, and no other; clamp levels to the limits in force."""
    limits = state.replicated_state.configuration.limits
    quotas = state.quotas
    for tenant in [name for name in quotas.shares if name not in limits]:
        del quotas.shares[tenant]
        quotas.short.discard(tenant)
    for tenant, limit in limits.items():
        _bucket(_held_share(state, now_ms, tenant), now_ms, limit)
    for sequence, sent_ms in list(quotas.sent_ms.items()):
        if now_ms - sent_ms >= SHARE_LEASE_MS:
            del quotas.sent_ms[sequence]


def _due_renewals(quotas: QuotaState, now_ms: int) -> list[str]:
    due: list[str] = []
    for tenant, share in quotas.shares.items():
        demand_per_s = _demand_per_s(share, now_ms)
        interval_ms = RENEWAL_INTERVAL_MS
        if demand_per_s < SMALL_DEMAND_PER_S:
            interval_ms = SMALL_RENEWAL_INTERVAL_MS
        if demand_per_s < MIN_DEMAND_PER_S:
            interval_ms = IDLE_RENEWAL_INTERVAL_MS
        if now_ms - share.reported_ms >= interval_ms:
            due.append(tenant)
    return due


def _ask_leader(state: ControlState, now_ms: int, due: list[str]) -> list[Effect]:
    """Request shares of the tenants that are due, and of those that need tokens at once."""
    quotas = state.quotas
    tenants = set(due)
    fills_up = now_ms >= quotas.stock_due_ms
    for tenant in quotas.short:
        share = quotas.shares[tenant]
        if share.asked_ms is not None or not (share.waiting or fills_up):
            continue
        has_token = share.leader_token_ms is not None and now_ms >= share.leader_token_ms
        if has_token or now_ms >= share.exhausted_until_ms:
            tenants.add(tenant)
    address = _leader_address(state)
    if not tenants or not address:
        return []
    if fills_up:
        quotas.stock_due_ms = now_ms + STOCK_INTERVAL_MS
    is_full = quotas.reported_term != state.term
    if is_full:
        tenants.update(name for name, share in quotas.shares.items() if share.serial)
    quotas.sequence += 1
    quotas.sent_ms[quotas.sequence] = now_ms
    if is_full:
        quotas.full_sequence = quotas.sequence
    quotas.asked_term = max(quotas.asked_term, state.term)
    question = QuotaShareQuestion(
        state.settings.me.address,
        state.me.member_id,
        state.directory_state.boot,
        state.term,
        quotas.sequence,
        is_full,
        {tenant: _report(state, now_ms, tenant) for tenant in sorted(tenants)},
    )
    if state.role is not Role.LEADER:
        return [Send(address, question)]
    answer, effects = quota_shares.answer(state, now_ms, question)
    if answer is not None:
        effects += handle_share_answer(state, now_ms, answer)
    return effects


def _leader_address(state: ControlState) -> str:
    if state.role is Role.LEADER:
        return state.settings.me.address
    return replication.member_address(state, state.leader) if state.leader else ""


def _report(state: ControlState, now_ms: int, tenant: str) -> ShareReport:
    share = state.quotas.shares[tenant]
    limit = state.replicated_state.configuration.limits[tenant]
    bucket = _bucket(share, now_ms, limit)
    share.asked_ms = now_ms
    share.reported_ms = now_ms
    return ShareReport(
        share.serial,
        share.part.rate_ppm,
        share.part.burst_ppm,
        _demand_per_s(share, now_ms),
        bucket.level,
        sum(need.count for need in share.waiting),
        round(state.quotas.reserved.get(tenant, 0.0), 3),
    )
