"""The holder of a tenant's connections among the holders of a data centre."""

import pytest
from endivewick_core.gateway import events as ev
from endivewick_core.gateway import holders, tenant_holders
from endivewick_core.messages import ForwardedStatement, QuotaAnswer, QuotaQuestion, TokenAnswer
from endivewick_core.routes import Tenant
from endivewick_core.statements import StatementKind
from gateway_driver import SERVICE, ready_gateway
from test_tenants import configure
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, LessThan, Not

K = StatementKind
ADDRESSES = [f"10.0.0.{number}:7000" for number in range(20, 26)]
RATES = [174, 76, 47, 33, 26, 21, 17, 15, 13, 11, 10, 9, 8] + [5] * 62
TENANTS = {f"t{number}": Tenant(f"t{number}", 1, rate, rate) for number, rate in enumerate(RATES)}
NAMES = {f"key-{name}": name for name in TENANTS}
# 24 connections to each upstream for three data centres, four for each holder: two holders.
LIMIT = 28


def start_gateway(address):
    gateway = ready_gateway(connections=0, address=address, limit=LIMIT)
    gateway.tick(300)
    watermarks = [gateway.watermark(10)]
    gateway.answer_poll([], watermarks, gateways=74, neighbours=ADDRESSES)
    services = gateway.state.configuration.services
    configure(gateway, 2, services=services, tenants=TENANTS, names=NAMES)
    return gateway


@pytest.fixture
def gateways():
    return [start_gateway(address) for address in ADDRESSES]


def holder_of(gateway, tenant):
    address = tenant_holders.holder(gateway.state, gateway.now_ms, SERVICE, tenant)
    return address or gateway.state.settings.address


def test_all_gateways_choose_the_same_holder_of_a_tenant(gateways):
    """Otherwise a tenant's connections would be spread over all holders."""
    for tenant in [*TENANTS, "public"]:
        chosen = {holder_of(gateway, tenant) for gateway in gateways}
        assert_that(chosen, HasLength(1))


def test_tenants_are_spread_over_the_holders_within_the_bound(gateways):
    held = [item for item in gateways if holders.holds(item.state, SERVICE)]
    assert_that(held, HasLength(2))
    loads = dict.fromkeys([item.state.settings.address for item in held], 0.0)
    for tenant, known in TENANTS.items():
        loads[holder_of(gateways[0], tenant)] += known.rate_per_s
    bound = tenant_holders.LOAD_BOUND * sum(RATES) / 2
    assert_that(max(loads.values()), LessThan(bound + 1))


def test_load_is_bounded_where_hashing_alone_would_exceed_the_bound():
    addresses = tuple(ADDRESSES[:3])
    loads = {f"t{number}": 10.0 for number in range(12)}
    chosen = list(tenant_holders.choose(SERVICE, loads, addresses).values())
    counts = sorted(chosen.count(address) for address in addresses)
    assert_that(counts[-1], Equals(5))
    first = [tenant_holders.rank(SERVICE, tenant, addresses)[0] for tenant in loads]
    assert_that(max(first.count(address) for address in addresses), Not(LessThan(6)))


def test_a_holder_that_is_gone_moves_few_tenants_of_the_others():
    """Moving tenants costs openings, so that most of those of the remaining holders stay."""
    loads = {f"t{number}": 10.0 for number in range(60)}
    before = tenant_holders.choose(SERVICE, loads, tuple(ADDRESSES[:4]))
    after = tenant_holders.choose(SERVICE, loads, tuple(ADDRESSES[:3]))
    kept = [name for name in loads if before[name] != ADDRESSES[3]]
    moved = [name for name in kept if before[name] != after[name]]
    assert_that(len(moved), LessThan(len(kept) // 3))


def test_a_holder_forwards_the_statements_of_another_holders_tenants(gateways):
    held = [item for item in gateways if holders.holds(item.state, SERVICE)]
    first, second = held
    tenant = next(name for name in TENANTS if holder_of(first, name) != address_of(first))
    first.session(1, "strict", f"key-{tenant}")
    first.send(1, K.WRITE)
    asked = [item.message for item in first.messages if isinstance(item.message, QuotaQuestion)]
    token = QuotaAnswer(asked[0].boot, asked[0].sequence, {tenant: TokenAnswer(1)})
    first.handle(ev.MessageReceived(first.now_ms, token))
    sent = [item for item in first.messages if isinstance(item.message, ForwardedStatement)]
    assert_that([item.address for item in sent], Equals([address_of(second)]))
    second.handle(ev.MessageReceived(second.now_ms, sent[0].message))
    assert_that(second.tenant_of[second.opening[-1]], Equals(tenant))


def address_of(gateway):
    return gateway.state.settings.address


def test_a_holder_that_does_not_answer_is_replaced_by_the_next(gateways):
    gateway = next(item for item in gateways if not holders.holds(item.state, SERVICE))
    usual = holder_of(gateway, "t3")
    gateway.state.control.backoff_until_ms[usual] = gateway.now_ms + 1_000
    other = holder_of(gateway, "t3")
    assert_that(other, Not(Equals(usual)))
    assert_that(holders.holder_addresses(gateway.state, SERVICE), Contains(other))


def test_gateways_connect_to_all_holders_in_advance(gateways):
    gateway = next(item for item in gateways if not holders.holds(item.state, SERVICE))
    for address in holders.holder_addresses(gateway.state, SERVICE):
        assert_that(gateway.connects, Contains(address))


def test_a_new_configuration_assigns_new_tenants(gateways):
    tenants = {"t1": TENANTS["t1"]}
    gateway = gateways[0]
    holder_of(gateway, "t1")
    services = gateway.state.configuration.services
    configure(gateway, 3, services=services, tenants=tenants, names={"key-t1": "t1"})
    holder_of(gateway, "t1")
    known = gateway.state.control.tenant_holders[SERVICE].by_tenant
    assert_that(set(known), Equals({"t1"}))
