"""The control leader divides the limits of tenants among the control processes.

Shares are leases, given in proportion to demand. A part of each limit stays undivided, for
processes whose share is too small at a moment. A new leader reserves the shares that the others
report, and gives no tokens and raises no share before. Members that don't report soon may hold all
that the others left, which is reserved until every share of an earlier leader has ended.
"""

from ..messages import QuotaShare, QuotaShareAnswer, QuotaShareQuestion, ShareReport
from ..token_buckets import (
    ROUNDING,
    WHOLE_PPM,
    Division,
    Grant,
    Part,
    TokenLimit,
    capacity,
    confirm,
    give,
    hold,
    refresh,
    remove_ended,
    rest,
)
from .effects import Effect, LogEvent
from .primary_leases import is_confirmed_leader
from .quota_state import LeaderQuotas
from .state import ControlState, Role

SHARE_LEASE_MS = 6_000  # longer than most changes of leader
REPORT_TIME_MS = (
    700  # in which members that reach a new leader have reported: two of their requests
)
RESERVE_LEASE_MS = 1_500  # some requests of the control process that reports it
UNREPORTED = "unreported"  # stands for the members that have not reported
CLOCK_MARGIN_MS = 100  # that the leader waits longer, since its clock may be faster
# What is divided by demand. The rest serves processes whose demand has just begun or varies.
DIVIDED_RATE_PPM = 750_000
DIVIDED_BURST_PPM = 300_000
KEPT_BURST_PPM = 250_000  # kept undivided where processes have their minimum, while demand moves
# Each member has room for one token that the leader fills up, so that an operation needn't wait for
# it. With demand it also has room for one of its own rate, which is lost if the bucket is full.
MIN_BURST_TOKENS = 2
IDLE_BURST_TOKENS = 1
MIN_DEMAND_PER_S = 0.02  # below this a share is idle
MIN_BURSTS_PPM = 700_000  # of all members together
# A share's rate, as a multiple of its demand, is the lower the nearer the tenant is to its limit: a
# rate far below the demand is never lost to a full bucket, and the leader adds what lacks. Far from
# the limit a higher rate serves while there is no leader.
MIN_RATE_PER_DEMAND = 0.5
FREE_RATE_FACTOR = 2.0
TOKEN_WAIT_MS = 300  # an operation is refused if it is expected to wait longer for a token
STOCK_TIME_S = 0.3  # one interval of requests: a share is filled up to the demand of this time


def answer(
    state: ControlState, now_ms: int, question: QuotaShareQuestion
) -> tuple[QuotaShareAnswer | None, list[Effect]]:
    """Return the shares of a control process, or None if this process may give none."""
    if not _may_give(state, now_ms) or question.term != state.term:
        return None, []
    members = _member_ids(state)
    if question.member_id not in members:
        return None, []
    leader = _leader_quotas(state)
    limits = state.replicated_state.configuration.limits
    if question.is_full:
        leader.reported.add(question.member_id)
    effects: list[Effect] = []
    if not leader.is_complete:
        effects += _check_complete(state, now_ms, leader, members)
    holder = f"{question.sender} {question.boot}"
    shares: dict[str, QuotaShare] = {}
    for tenant, report in question.reports.items():
        limit = limits.get(tenant)
        if limit is None:
            continue
        division = leader.divisions.get(tenant)
        if division is None:
            division = leader.divisions[tenant] = Division()
            if now_ms <= leader.unknown_until_ms:
                _reserve_unreported(leader, division)
        shares[tenant] = _share(leader, division, now_ms, limit, holder, report, len(members))
    reply = QuotaShareAnswer(question.boot, state.term, question.sequence, shares)
    return reply, effects


def remove_unlimited(state: ControlState, now_ms: int) -> None:
    """Remove the divisions of tenants without a limit once no share of them is held any more.

    The limit may come back while a process that was cut off still uses its share.
    """
    limits = state.replicated_state.configuration.limits
    divisions = state.quotas.leader.divisions
    for tenant, division in list(divisions.items()):
        if tenant in limits:
            continue
        remove_ended(division, now_ms)
        if not division.grants:
            del divisions[tenant]


def _may_give(state: ControlState, now_ms: int) -> bool:
    leader_state = state.leader_state
    if state.role is not Role.LEADER or leader_state is None:
        return False
    if state.commit_index < leader_state.start_index:
        return False
    return is_confirmed_leader(state, now_ms)


def _member_ids(state: ControlState) -> set[str]:
    """Return the committed members; the next leader knows them and waits for their reports."""
    if state.memberships and state.memberships[-1][0] > state.commit_index:
        committed = [item for index, item in state.memberships if index <= state.commit_index]
        membership = committed[-1] if committed else state.snapshot_membership
    else:
        membership = state.membership
    return {member.member_id for member in membership.voters + membership.learners}


def _leader_quotas(state: ControlState) -> LeaderQuotas:
    if state.quotas.leader.term != state.term:
        state.quotas.leader = LeaderQuotas(state.term)
    return state.quotas.leader


def _check_complete(
    state: ControlState, now_ms: int, leader: LeaderQuotas, members: set[str]
) -> list[Effect]:
    """Note when no share is held any more that this leader doesn't know."""
    assert state.leader_state is not None
    led_ms = now_ms - state.leader_state.since_ms
    missing = sorted(members - leader.reported)
    if missing and led_ms < REPORT_TIME_MS:
        return []
    leader.is_complete = True
    lease_ms = SHARE_LEASE_MS + state.settings.lease_margin_ms
    if missing and led_ms <= lease_ms:
        leader.unknown_until_ms = state.leader_state.since_ms + lease_ms
        for division in leader.divisions.values():
            _reserve_unreported(leader, division)
    inputs: dict[str, object] = {"led_ms": led_ms, "missing": missing, "term": state.term}
    text = "every share that may be held is reserved; the rest is given again"
    return [LogEvent("info", "quotas_divided", text, inputs)]


def _reserve_for_silent(
    division: Division, now_ms: int, limit: TokenLimit, holder: str, rate_per_s: float
) -> None:
    """Reserve what the gateways go on to use that a control process doesn't hear from."""
    division.grants.pop(holder, None)
    division.used.pop(holder, None)
    if rate_per_s <= 0 or limit.rate_per_s <= 0:
        return
    rate_ppm = min(WHOLE_PPM, int(WHOLE_PPM * rate_per_s / limit.rate_per_s))
    hold(division, holder, Grant(0, Part(rate_ppm, 0), now_ms + RESERVE_LEASE_MS))


def _reserve_unreported(leader: LeaderQuotas, division: Division) -> None:
    """Reserve all that the reported shares leave, for members that have not reported."""
    grant = Grant(0, rest(division, UNREPORTED), leader.unknown_until_ms)
    hold(division, UNREPORTED, grant)


def _share(
    leader: LeaderQuotas,
    division: Division,
    now_ms: int,
    limit: TokenLimit,
    holder: str,
    report: ShareReport,
    members: int,
) -> QuotaShare:
    """Renew one process's share of one limit, as far as the other shares leave room."""
    held = Part(report.rate_ppm, report.burst_ppm)
    until_ms = now_ms + SHARE_LEASE_MS + CLOCK_MARGIN_MS
    known = division.grants.get(holder, [])
    if report.serial and all(grant.serial != report.serial for grant in known):
        hold(division, holder, Grant(report.serial, held, until_ms))
    confirm(division, holder, report.serial)
    _reserve_for_silent(division, now_ms, limit, f"{holder} silent", report.reserved_per_s)
    refresh(division, now_ms, limit, not leader.is_complete)
    division.demands[holder] = report.demand_per_s
    leader.grants_given += 1
    serial = (leader.term << 32) + leader.grants_given
    free = rest(division, holder)
    stock = max(1.0, report.demand_per_s * STOCK_TIME_S)
    lacking = min(report.needed + stock - report.level, division.undivided.level)
    wanted = _wanted(division, limit, holder, report, members, free, lacking)
    if not leader.is_complete:
        part = Part(
            min(wanted.rate_ppm, free.rate_ppm, held.rate_ppm),
            min(wanted.burst_ppm, free.burst_ppm, held.burst_ppm),
        )
        hold(division, holder, Grant(serial, part, until_ms))
        return QuotaShare(serial, part.rate_ppm, part.burst_ppm, 0.0, retry_after_ms=-1)
    part = Part(min(wanted.rate_ppm, free.rate_ppm), min(wanted.burst_ppm, free.burst_ppm))
    grant = Grant(serial, part, until_ms)
    tokens = give(division, now_ms, limit, holder, grant, report.level, lacking)
    share = QuotaShare(serial, part.rate_ppm, part.burst_ppm, tokens)
    short = max(1, report.needed) - report.level - tokens
    if short <= ROUNDING:
        return share
    retry_after_ms = _tokens_after_ms(division, min(1.0, short))
    soon = division.undivided.rate_per_s * TOKEN_WAIT_MS / 1000 * _demand_share(division, holder)
    if 0 < retry_after_ms <= TOKEN_WAIT_MS:
        soon = max(soon, 1.0)
    return share._replace(retry_after_ms=retry_after_ms, soon=soon)


def _demand_share(division: Division, holder: str) -> float:
    total_per_s = sum(division.demands.values())
    return division.demands[holder] / total_per_s if total_per_s > 0 else 0.0


def _wanted(
    division: Division,
    limit: TokenLimit,
    holder: str,
    report: ShareReport,
    members: int,
    free: Part,
    tokens: float,
) -> Part:
    """Return the part of a limit that a process's demand deserves, with room for ``tokens``."""
    whole = capacity(limit)
    if whole <= 0:
        return Part()
    demand_share = _demand_share(division, holder)
    usage = sum(division.demands.values()) / limit.rate_per_s
    rate_per_demand = max(MIN_RATE_PER_DEMAND, FREE_RATE_FACTOR * (1 - usage))
    by_demand = min(1.0, rate_per_demand * report.demand_per_s / limit.rate_per_s)
    rate_ppm = int(min(DIVIDED_RATE_PPM * demand_share, WHOLE_PPM * by_demand))
    # Rounded up, and one more for the rounding of levels, so that a whole token fits.
    one_token_ppm = int(WHOLE_PPM / whole) + 2
    is_idle = report.demand_per_s < MIN_DEMAND_PER_S
    room = IDLE_BURST_TOKENS if is_idle else MIN_BURST_TOKENS
    min_burst_ppm = min(room * one_token_ppm, MIN_BURSTS_PPM // max(1, members))
    burst_by_demand_ppm = min(
        int(DIVIDED_BURST_PPM * demand_share), free.burst_ppm - KEPT_BURST_PPM
    )
    burst_ppm = max(min_burst_ppm, burst_by_demand_ppm)
    if report.needed:
        # No more than the tokens need: what is left must hold what the undivided rate adds.
        burst_ppm = max(burst_ppm, int(one_token_ppm * (report.level + max(0.0, tokens))))
    return Part(rate_ppm, min(WHOLE_PPM, burst_ppm))


def _tokens_after_ms(division: Division, tokens: float) -> int:
    """Return when the undivided bucket has so many tokens, negative if it never does."""
    undivided = division.undivided
    if undivided.rate_per_s <= 0 or undivided.burst < tokens:
        return -1
    return max(1, int(1000 * (tokens - undivided.level) / undivided.rate_per_s))
