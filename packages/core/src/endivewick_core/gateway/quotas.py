"""Quotas at a gateway: each operation of a tenant with a limit needs a token of control.

An operation is a statement outside a transaction, or the first one of a transaction that goes
upstream. It takes a token of the stock, or waits for one that control is asked for at once. Control
refuses what exceeds the tenant's limit; clients are then told to come back, spread over some time.
"""

from ..messages import QuotaAnswer, QuotaQuestion, TokenNeed
from ..statements import Error, Fault, TransactionState
from . import quota_reserves, quota_tokens, routing
from .effects import Effect, LogEvent, Send
from .quota_state import TenantTokens
from .state import GatewayState, Request, Session

STOCK_TIME_S = 0.2  # operations expected within this time get their tokens in advance
# After so long a question or its answer is lost; control answers within 350 ms.
REPEAT_MS = 400
# How long operations are refused without asking again, once control had no token for one.
REFUSED_MS = 100
# Refused clients come back in steps, so that they don't all ask at the same moment.
RETRY_STEPS = 8
RETRY_STEP_MS = 100


def start_operation(
    state: GatewayState, now_ms: int, session: Session, request: Request
) -> list[Effect]:
    """Route a request once it has a token, if it begins an operation that needs one."""
    tenant = quota_tokens.limited_tenant(state, session)
    if not tenant or (session.state is TransactionState.OPEN and session.statements_run):
        return routing.route_request(state, now_ms, request)
    tokens = state.quotas.tenants.setdefault(tenant, TenantTokens())
    quota_tokens.demand_per_s(tokens, now_ms, 1)
    return _take_or_wait(state, now_ms, tenant, tokens, request)


def renew_token(state: GatewayState, now_ms: int, request: Request) -> list[Effect]:
    """Let a request that was queued until its token expired take another one."""
    request.token_until_ms = 0
    session = state.sessions.get(request.session)
    if session is None or request.serial not in state.requests:
        return []
    tenant = quota_tokens.limited_tenant(state, session)
    if not tenant:
        return routing.route_request(state, now_ms, request)
    tokens = state.quotas.tenants.setdefault(tenant, TenantTokens())
    return _take_or_wait(state, now_ms, tenant, tokens, request)


def check_tokens(state: GatewayState, now_ms: int) -> list[Effect]:
    """Ask again for what was not answered, and start the operations that need no token now."""
    quotas = state.quotas
    if not quotas.tenants:
        return []
    for sequence, sent_ms in list(quotas.sent_ms.items()):
        if now_ms - sent_ms >= quota_tokens.TOKEN_LIFETIME_MS:
            del quotas.sent_ms[sequence]
    effects: list[Effect] = []
    for tenant, tokens in list(quotas.tenants.items()):
        quota_tokens.remove_expired(tokens, now_ms)
        for sequence in list(tokens.outstanding):
            if now_ms - quotas.sent_ms.get(sequence, 0) >= REPEAT_MS:
                del tokens.outstanding[sequence]
        if not _is_limited(state, tenant):
            del quotas.tenants[tenant]
            effects += _start_unlimited(state, now_ms, tokens)
            continue
        if tokens.waiting:
            effects += _serve_waiting(state, now_ms, tenant, tokens)
    return effects + _ask(state, now_ms, list(quotas.tenants))


def has_waiting(state: GatewayState) -> bool:
    """Return whether operations wait for tokens."""
    return any(tokens.waiting for tokens in state.quotas.tenants.values())


def handle_answer(state: GatewayState, now_ms: int, answer: QuotaAnswer) -> list[Effect]:
    """Start the operations that get tokens, and refuse those that exceed a limit."""
    sent_ms = state.quotas.sent_ms.get(answer.sequence)
    if sent_ms is None or answer.boot != state.settings.boot:
        return []
    until_ms = sent_ms + quota_tokens.TOKEN_LIFETIME_MS
    effects: list[Effect] = []
    for tenant, item in answer.answers.items():
        tokens = state.quotas.tenants.get(tenant)
        if tokens is None:
            continue
        tokens.outstanding.pop(answer.sequence, None)
        if item.pending and now_ms - sent_ms < REPEAT_MS:
            tokens.outstanding[answer.sequence] = item.pending
        if item.tokens and now_ms < until_ms:
            quota_tokens.put(tokens, until_ms, item.tokens)
        effects += _serve_waiting(state, now_ms, tenant, tokens)
        if item.refused:
            tokens.refused_ms = now_ms
            tokens.refused_until_ms = now_ms + REFUSED_MS
            tokens.retry_after_ms = item.retry_after_ms
            effects += _refuse_newest(state, now_ms, tenant, tokens, item.refused)
        elif item.retry_after_ms:
            tokens.ask_due_ms = now_ms + item.retry_after_ms
    return effects


def handle_undelivered(state: GatewayState, question: QuotaQuestion) -> list[Effect]:
    """Let the next tick ask again, since control was not connected."""
    for tenant in question.needs:
        tokens = state.quotas.tenants.get(tenant)
        if tokens is not None:
            tokens.outstanding.pop(question.sequence, None)
    return []


def _is_limited(state: GatewayState, tenant: str) -> bool:
    known = (state.configuration.tenants or {}).get(tenant)
    return known is not None and known.rate_per_s is not None


def _take_or_wait(
    state: GatewayState, now_ms: int, tenant: str, tokens: TenantTokens, request: Request
) -> list[Effect]:
    if not tokens.waiting and _take(state, now_ms, tenant, tokens, request):
        effects = routing.route_request(state, now_ms, request)
        return effects + _ask(state, now_ms, [tenant])
    if now_ms < tokens.refused_until_ms:
        return _refuse(state, now_ms, tenant, tokens, request)
    queued = sum(len(item.waiting) for item in state.quotas.tenants.values())
    if queued >= state.settings.queue_limit:
        text = "too many operations wait for tokens of their tenants' limits in this gateway"
        error = Error(Fault.BUSY, text, routing.RETRY_AFTER_MS)
        return routing.refuse(state, now_ms, request, error)
    request.last_refusal = f"no token of tenant {tenant}"
    tokens.waiting.append(request.serial)
    return _ask(state, now_ms, [tenant])


def _take(
    state: GatewayState, now_ms: int, tenant: str, tokens: TenantTokens, request: Request
) -> bool:
    """Take a token of the stock, or of the reserve while no control process answers."""
    if quota_tokens.take(tokens, now_ms, request):
        return True
    return quota_reserves.take_reserved(state, now_ms, tenant, tokens, request)


def _serve_waiting(
    state: GatewayState, now_ms: int, tenant: str, tokens: TenantTokens
) -> list[Effect]:
    """Start the operations that there are tokens for, oldest first."""
    effects: list[Effect] = []
    while tokens.waiting:
        request = state.requests.get(tokens.waiting[0])
        if request is None:
            tokens.waiting.popleft()
            continue
        if not _take(state, now_ms, tenant, tokens, request):
            break
        tokens.waiting.popleft()
        effects += routing.route_request(state, now_ms, request)
    return effects


def _start_unlimited(state: GatewayState, now_ms: int, tokens: TenantTokens) -> list[Effect]:
    effects: list[Effect] = []
    for serial in tokens.waiting:
        request = state.requests.get(serial)
        if request is not None:
            effects += routing.route_request(state, now_ms, request)
    return effects


def _refuse_newest(
    state: GatewayState, now_ms: int, tenant: str, tokens: TenantTokens, count: int
) -> list[Effect]:
    effects: list[Effect] = []
    while tokens.waiting and count:
        request = state.requests.get(tokens.waiting.pop())
        if request is None:
            continue
        count -= 1
        effects += _refuse(state, now_ms, tenant, tokens, request)
    return effects


def _refuse(
    state: GatewayState, now_ms: int, tenant: str, tokens: TenantTokens, request: Request
) -> list[Effect]:
    """Refuse an operation of a tenant that is at its limit."""
    limit = (state.configuration.tenants or {})[tenant].rate_per_s
    step = request.serial % RETRY_STEPS
    retry_after_ms = tokens.retry_after_ms + step * RETRY_STEP_MS
    inputs: dict[str, object] = {
        "tenant": tenant,
        "rate_per_s": limit,
        "demand_per_s": round(quota_tokens.demand_per_s(tokens, now_ms), 2),
        "waited_ms": now_ms - request.received_ms,
        "control_answered_ms_ago": now_ms - tokens.refused_ms,
        "retry_after_ms": retry_after_ms,
    }
    log_event = LogEvent(
        "info",
        "quota_refused",
        request.statement.request_id,
        request.route.workspace,
        inputs,
        Fault.BUSY.value,
    )
    text = f"tenant {tenant} is at its limit of {limit} operations a second"
    error = Error(Fault.BUSY, text, retry_after_ms)
    return [log_event, *routing.refuse(state, now_ms, request, error)]


def _ask(state: GatewayState, now_ms: int, tenants: list[str]) -> list[Effect]:
    """Ask control for the tokens that operations wait for or are expected to need."""
    quotas = state.quotas
    needs: dict[str, TokenNeed] = {}
    for tenant in tenants:
        need = _need(state, now_ms, quotas.tenants[tenant])
        if need is not None:
            needs[tenant] = need
    if not needs or not state.control.address:
        return []
    effects = _leave_previous(state)
    quotas.sequence += 1
    quotas.sent_ms[quotas.sequence] = now_ms
    for tenant, need in needs.items():
        quotas.tenants[tenant].outstanding[quotas.sequence] = need.waiting + need.expected
    question = QuotaQuestion(
        state.settings.address,
        state.settings.boot,
        quotas.sequence,
        state.configuration.version,
        needs,
    )
    return [*effects, Send(state.control.address, question)]


def _leave_previous(state: GatewayState) -> list[Effect]:
    """Tell the control process that was asked before that it need not reserve anything."""
    previous, state.quotas.asked_address = state.quotas.asked_address, state.control.address
    if previous in ("", state.control.address):
        return []
    settings = state.settings
    version = state.configuration.version
    question = QuotaQuestion(settings.address, settings.boot, 0, version, {})
    return [Send(previous, question)]


def _need(state: GatewayState, now_ms: int, tokens: TenantTokens) -> TokenNeed | None:
    """Return what to ask for, or None; few operations are expected, so most need none ahead."""
    if now_ms < max(tokens.refused_until_ms, tokens.ask_due_ms):
        return None
    outstanding = sum(tokens.outstanding.values())
    waiting = sum(1 for serial in tokens.waiting if serial in state.requests)
    expected = int(quota_tokens.demand_per_s(tokens, now_ms) * STOCK_TIME_S)
    lacking = max(0, waiting - outstanding)
    ahead = max(0, expected - len(tokens.stock) - max(0, outstanding - waiting))
    if not lacking and (not ahead or 2 * ahead < expected):
        return None
    return TokenNeed(lacking, ahead)
