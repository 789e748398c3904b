"""Upstream connections that belong to tenants: their use, eviction and opening."""

import pytest
from endivewick_core.gateway import events as ev
from endivewick_core.gateway import tenant_connections
from endivewick_core.gateway.control_link import is_ready
from endivewick_core.messages import ForwardedReply, ForwardedStatement
from endivewick_core.statements import Fault, StatementKind
from gateway_driver import REPLICA, Gateway, configuration, ready_gateway, report
from test_forwarding import DataCentre
from test_tenants import ALICE_KEY, BOB_KEY, NAMES, TENANTS, configure
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is, Not

K = StatementKind
CAROL_KEY = "k-carol"
SMALL_LIMIT = 6  # of connections: four are reserved, so that a gateway by itself may open two


def tenant_gateway(limit=40):
    """Return a gateway with tenants, whose three upstreams have no connection yet."""
    gateway = ready_gateway(connections=0, limit=limit)
    configure(gateway, 2, services=gateway.state.configuration.services)
    open_sessions(gateway)
    return gateway


def open_sessions(gateway: Gateway):
    """Open the sessions 1 to 4 of alice and 5 to 8 of bob, on a route of the primary."""
    for number in range(1, 5):
        gateway.session(number, "strict", ALICE_KEY)
        gateway.session(number + 4, "strict", BOB_KEY)


@pytest.fixture
def gateway():
    return tenant_gateway()


@pytest.fixture
def small():
    return tenant_gateway(SMALL_LIMIT)


def run(gateway, session, kind=K.READ):
    """Run a statement to its end; return the connection that it ran on."""
    request = gateway.send(session, kind)
    gateway.open_all()
    item = gateway.find_sent(request)
    gateway.reply(item)
    gateway.answer_own_statements()
    return item.connection


def test_a_connection_is_opened_for_the_tenant_of_its_statement(gateway):
    connection = run(gateway, 1)
    assert_that(gateway.tenant_of[connection], Equals("alice"))
    gateway.session(9, "open", "unknown")
    assert_that(gateway.tenant_of[run(gateway, 9)], Equals("public"))


def test_no_statement_runs_on_the_connection_of_another_tenant(gateway):
    connections = [run(gateway, session) for session in (1, 5, 2, 6)]
    tenants = [gateway.tenant_of[item] for item in connections]
    assert_that(tenants, Equals(["alice", "bob", "alice", "bob"]))
    assert_that(set(connections), HasLength(2))


def test_the_least_recently_used_idle_connection_of_another_tenant_makes_room(small):
    small.session(9, "open", "unknown")
    oldest = run(small, 1)
    small.tick()
    newest = run(small, 5)
    small.tick()
    assert_that(run(small, 1), Equals(oldest))
    small.tick()
    # A new configuration renews the idle connections, which says nothing about their use.
    configure(small, 3, services=small.state.configuration.services)
    small.answer_own_statements()
    request = small.send(9, K.WRITE)
    assert_that(small.closed, Equals([newest]))
    evicted = [item for item in small.log_events if item.event == "connection_evicted"]
    assert_that([item.inputs["of_tenant"] for item in evicted], Equals(["bob"]))
    small.open_all()
    assert_that(small.tenant_of[small.find_sent(request).connection], Equals("public"))


def test_a_connection_in_a_used_transaction_is_never_taken(small):
    """Closing it would roll back a transaction whose client has done nothing wrong."""
    for session in (1, 2):
        small.send(session, K.BEGIN)
        run(small, session, K.WRITE)
    request = small.send(5, K.WRITE)
    for _ in range(10):
        small.tick()
        small.open_all()
    assert_that((small.closed, small.find_sent(request)), Equals(([], None)))


def test_a_request_without_a_connection_holds_up_no_other_tenant(small):
    """The tenants behind it may have idle connections that it can't use."""
    for session in (1, 2):
        small.send(session, K.BEGIN)
        run(small, session, K.WRITE)
    waiting = small.send(5, K.WRITE)
    behind = small.send(3, K.WRITE)
    small.send(1, K.ROLLBACK)
    small.answer_own_statements()
    assert_that(small.find_sent(waiting), Is(None))
    assert_that(small.find_sent(behind), Not(Is(None)))


def test_an_idle_connection_changes_its_tenant_once_another_has_waited_long(small):
    """A tenant that always has requests waiting must not keep its connections for ever."""
    for session in (1, 2):
        small.send(session, K.BEGIN)
        run(small, session, K.WRITE)
    waiting = small.send(5, K.WRITE)
    small.send(3, K.WRITE)
    small.tick(tenant_connections.SWITCH_AFTER_MS)
    small.send(1, K.ROLLBACK)
    small.answer_own_statements()
    assert_that(small.closed, HasLength(1))
    small.open_all()
    assert_that(small.find_sent(waiting), Not(Is(None)))


def test_a_new_connection_is_not_closed_before_its_first_statement(small):
    """A more urgent request would otherwise waste the opening, and requests could starve."""
    routes = dict(small.state.configuration.routes)
    routes["open"] = routes["open"]._replace(priority=0)
    configure(small, 3, routes=routes, services=small.state.configuration.services)
    small.session(9, "open", "unknown")
    requests = [small.send(session, K.WRITE) for session in (1, 5, 9)]
    served = []
    for _ in range(6):
        small.open_all()
        for request in requests:
            item = small.find_sent(request)
            if item is not None:
                served.append(small.tenant_of[item.connection])
                small.reply(item)
                small.answer_own_statements()
        small.tick()
    assert_that(served, Equals(["alice", "bob", "public"]))
    assert_that(small.closed, HasLength(1))


def test_no_more_connections_are_opened_for_a_tenant_than_requests_wait(gateway):
    gateway.send(1, K.WRITE)
    for _ in range(20):
        gateway.tick()
    assert_that(gateway.opening, HasLength(1))
    gateway.send(2, K.WRITE)
    gateway.send(5, K.WRITE)
    for _ in range(20):
        gateway.tick(5)
    tenants = sorted(gateway.tenant_of[item] for item in gateway.opening)
    assert_that(tenants, Equals(["alice", "alice", "bob"]))


def test_a_connection_that_is_being_prepared_is_waited_for(gateway):
    """After it was opened, the gateway begins a transaction on it for the waiting request."""
    gateway.send(1, K.WRITE)
    gateway.handle(ev.ConnectionOpened(gateway.now_ms, gateway.opening.pop()))
    gateway.tick()
    assert_that(gateway.opening, Equals([]))


def test_no_connection_is_opened_in_advance_and_the_gateway_is_ready(gateway):
    for _ in range(10):
        gateway.tick(300)
    assert_that(gateway.opening, Equals([]))
    assert_that(is_ready(gateway.state), Equals(True))


def test_a_gateway_that_knows_no_primary_is_not_ready():
    gateway = ready_gateway(connections=0)
    configure(gateway, 2)
    gateway.state.primaries.clear()
    assert_that(is_ready(gateway.state), Equals(False))


def test_idle_connections_of_a_removed_tenant_are_closed(gateway):
    connection = run(gateway, 5)
    configure(gateway, 3, names={ALICE_KEY: "alice"}, tenants={"alice": TENANTS["alice"]})
    assert_that(gateway.closed, Equals([connection]))


def test_a_running_connection_of_a_removed_tenant_is_closed_after_its_statement(gateway):
    request = gateway.send(5, K.WRITE)
    gateway.open_all()
    item = gateway.find_sent(request)
    configure(gateway, 3, names={ALICE_KEY: "alice"}, tenants={"alice": TENANTS["alice"]})
    gateway.reply(item)
    gateway.answer_own_statements()
    assert_that(gateway.answers[-1].error, Is(None))
    assert_that(gateway.closed, Contains(item.connection))


def test_connections_without_a_tenant_are_closed_once_there_are_tenants():
    gateway = ready_gateway(limit=40)
    before = set(gateway.state.connections)
    configure(gateway, 2)
    assert_that(set(gateway.closed), Equals(before))


def test_a_read_prefers_an_upstream_with_an_idle_connection_of_its_tenant(gateway):
    """Opening a connection to the nearest upstream takes longer than a read at the next one."""
    gateway.session(11, "bounded", ALICE_KEY)
    gateway.session(12, "bounded", BOB_KEY)
    alices = run(gateway, 11)
    assert_that(gateway.upstream_of[alices], Equals(REPLICA))
    gateway.handle(ev.Tick(gateway.now_ms))
    gateway.answer_poll([report(REPLICA, data_centre="dc-b")])
    assert_that(run(gateway, 11), Equals(alices))
    assert_that(run(gateway, 12), Not(Equals(alices)))


def test_an_upstream_whose_connections_do_not_open_is_left_for_another(gateway):
    """An unresponsive upstream must not take the time of a read that has not been sent."""
    gateway.session(11, "bounded", ALICE_KEY)
    gateway.send(11, K.READ)
    first = gateway.opening[0]
    for _ in range(12):
        gateway.tick()
    upstreams = {gateway.upstream_of[item] for item in gateway.opening if item != first}
    assert_that(upstreams, HasLength(1))
    assert_that(upstreams, Not(Contains(gateway.upstream_of[first])))


@pytest.fixture
def centre():
    centre = DataCentre()
    for gateway in centre.gateways.values():
        configure(gateway, 2, services=gateway.state.configuration.services)
        gateway.closed.clear()
    centre.ingress.session(1, "strict", ALICE_KEY)
    centre.ingress.session(2, "strict", BOB_KEY)
    return centre


def forward(centre, session, kind):
    """Send a statement through the ingress; return the holder's statement upstream, or None."""
    request = centre.ingress.send(session, kind)
    centre.deliver()
    centre.holder.open_all()
    return centre.holder.find_sent(request)


def test_a_forwarded_statement_runs_on_a_connection_of_its_tenant(centre):
    for session, tenant in ((1, "alice"), (2, "bob")):
        item = forward(centre, session, K.WRITE)
        assert_that(centre.holder.tenant_of[item.connection], Equals(tenant))


def test_messages_between_gateways_carry_no_key(centre):
    centre.ingress.send(1, K.WRITE)
    messages = [send.message for send in centre.ingress.messages]
    forwarded = [item for item in messages if isinstance(item, ForwardedStatement)]
    assert_that([item.tenant for item in forwarded], Equals(["alice"]))
    assert_that(repr(messages), Not(Contains(ALICE_KEY)))


def test_a_revoked_key_ends_its_transaction_at_the_holder(centre):
    centre.ingress.send(1, K.BEGIN)
    item = forward(centre, 1, K.WRITE)
    centre.holder.reply(item)
    centre.deliver()
    services = centre.ingress.state.configuration.services
    configure(centre.ingress, 3, names={BOB_KEY: "bob"}, services=services)
    assert_that(forward(centre, 1, K.COMMIT), Is(None))
    assert_that(centre.holder.writes[-1][:1], Equals([K.ROLLBACK]))
    assert_that(centre.ingress.answers[-1].error.fault, Is(Fault.UNAUTHENTICATED))
    assert_that(centre.ingress.closed_sessions, Equals([1]))


def test_a_holder_refuses_a_tenant_that_its_configuration_no_longer_has(centre):
    services = centre.holder.state.configuration.services
    tenants = {"bob": TENANTS["bob"]}
    configure(centre.holder, 3, names={BOB_KEY: "bob"}, tenants=tenants, services=services)
    assert_that(forward(centre, 1, K.WRITE), Is(None))
    centre.deliver()
    assert_that(centre.ingress.answers[-1].error.fault, Is(Fault.UNAUTHENTICATED))
    assert_that(centre.ingress.closed_sessions, Equals([1]))


def test_a_holder_serves_a_tenant_of_a_configuration_that_it_does_not_have_yet(centre):
    """The holder would otherwise refuse the tenant's requests, or close each of its connections."""
    names = NAMES | {CAROL_KEY: "carol"}
    tenants = TENANTS | {"carol": TENANTS["bob"]._replace(name="carol")}
    services = centre.ingress.state.configuration.services
    configure(centre.ingress, 3, names=names, tenants=tenants, services=services)
    centre.ingress.session(3, "strict", CAROL_KEY)
    item = forward(centre, 3, K.WRITE)
    assert_that(centre.holder.tenant_of[item.connection], Equals("carol"))


@pytest.mark.parametrize("ingress_has_tenants", [True, False])
def test_gateways_of_which_one_has_no_tenants_yet_keep_their_sessions(centre, ingress_has_tenants):
    """The client's key is valid; the gateways learn of the configuration at different times."""
    services = centre.holder.state.configuration.services
    changed = centre.holder if ingress_has_tenants else centre.ingress
    changed.handle(ev.ConfigurationReceived(changed.now_ms, configuration(3, limit=21)))
    if not ingress_has_tenants:
        configure(centre.holder, 4, services=services)
    assert_that(forward(centre, 1, K.WRITE), Is(None))
    centre.deliver()
    assert_that(centre.ingress.answers[-1].error.fault, Is(Fault.BUSY))
    assert_that(centre.ingress.closed_sessions, Equals([]))


def test_a_statement_of_another_tenant_goes_on_in_no_transaction(centre):
    """A statement runs only on connections of its tenant, also if a message was lost."""
    centre.ingress.send(1, K.BEGIN)
    item = forward(centre, 1, K.WRITE)
    centre.holder.reply(item)
    centre.deliver()
    centre.ingress.send(1, K.WRITE)
    message = next(
        send.message
        for send in centre.ingress.messages
        if isinstance(send.message, ForwardedStatement)
    )
    changed = message._replace(tenant="bob")
    centre.holder.handle(ev.MessageReceived(centre.holder.now_ms, changed))
    replies = [send.message for send in centre.holder.messages]
    faults = [reply.fault for reply in replies if isinstance(reply, ForwardedReply)]
    assert_that(faults, Equals(["aborted"]))
