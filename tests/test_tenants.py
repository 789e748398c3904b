"""Authentication of sessions by tenant keys, at session start and at each statement."""

import pytest
from endivewick_core.gateway import events as ev
from endivewick_core.gateway.state import GatewaySettings, GatewayState
from endivewick_core.routes import Freshness, Tenant
from endivewick_core.statements import Fault, StatementKind, TransactionState
from gateway_driver import (
    CONTROL,
    REGIONS,
    Gateway,
    configuration,
    ready_gateway,
    route,
)
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is, Not

K = StatementKind
ALICE_KEY, BOB_KEY, OTHER_KEY = "k-alice-5d1", "k-bob-77c", "k-other-0f9"
TENANTS = {"alice": Tenant("alice", 1, None, 0.0), "bob": Tenant("bob", 1, None, 0.0)}
NAMES = {ALICE_KEY: "alice", BOB_KEY: "bob"}


def tenant_configuration(version=1, names=NAMES, tenants=TENANTS, **changes):
    default = configuration(version, limit=40, tenants=tenants, tenant_names=names)
    routes = default.routes | {"open": route("open", Freshness.BOUNDED, is_public=True)}
    return default._replace(**{"routes": routes, **changes})


def configure(gateway, version, **changes):
    gateway.handle(
        ev.ConfigurationReceived(gateway.now_ms, tenant_configuration(version, **changes))
    )


@pytest.fixture
def gateway():
    gateway = ready_gateway(limit=40)
    configure(gateway, 2)
    gateway.closed.clear()
    return gateway


def connections(gateway):
    return gateway.state.connections.values()


def serve(gateway):
    """Open connections and answer the gateway's own statements."""
    gateway.tick()
    gateway.open_all()
    gateway.tick()
    gateway.open_all()


def sent_upstream(gateway, request):
    """Return a request's statement at an upstream once its connection is ready."""
    serve(gateway)
    return gateway.find_sent(request)


def test_an_unknown_key_is_refused_at_session_start(gateway):
    gateway.session(1, "strict", OTHER_KEY)
    gateway.session(2, "strict")
    faults = [item.error.fault for item in gateway.refused]
    assert_that(faults, Equals([Fault.UNAUTHENTICATED] * 2))
    assert_that(gateway.state.sessions, Equals({}))


def test_an_unknown_workspace_is_refused_as_such_whatever_the_key(gateway):
    gateway.session(1, "nowhere", OTHER_KEY)
    assert_that(gateway.refused[0].error.fault, Is(Fault.UNKNOWN_WORKSPACE))


def test_a_known_key_runs_as_its_tenant(gateway):
    gateway.session(1, "strict", ALICE_KEY)
    assert_that(gateway.state.sessions[1].tenant, Equals("alice"))
    assert_that(sent_upstream(gateway, gateway.send(1, K.READ)), Not(Is(None)))


@pytest.mark.parametrize(("key", "tenant"), [(OTHER_KEY, "public"), (BOB_KEY, "bob")])
def test_a_public_route_serves_any_key(gateway, key, tenant):
    gateway.session(1, "open", key)
    assert_that(gateway.refused, Equals([]))
    assert_that(gateway.state.sessions[1].tenant, Equals(tenant))


def test_without_tenants_no_key_is_asked_for():
    gateway = ready_gateway()
    gateway.session(1, "strict", OTHER_KEY)
    gateway.send(1, K.READ)
    assert_that(gateway.refused, Equals([]))
    assert_that(gateway.state.sessions[1].tenant, Equals(""))


def test_an_empty_list_of_tenants_admits_nobody(gateway):
    configure(gateway, 3, tenants={}, names={})
    gateway.session(1, "strict", ALICE_KEY)
    assert_that(gateway.refused[0].error.fault, Is(Fault.UNAUTHENTICATED))


@pytest.mark.parametrize("kind", [K.READ, K.BEGIN, K.SET])
def test_a_session_without_a_configuration_is_checked_with_its_first_statement(kind):
    """No statement may run under a key that no configuration has ever held."""
    settings = GatewaySettings("10.0.0.9:7000", "b", "dc-a", REGIONS, [CONTROL])
    gateway = Gateway(GatewayState(settings))
    gateway.tick()
    gateway.session(1, "strict", OTHER_KEY)
    gateway.session(2, "strict", ALICE_KEY)
    gateway.send(1, kind)
    gateway.send(2, K.BEGIN)
    assert_that(gateway.answers, Equals([]))
    configure(gateway, 1)
    faults = {item.session: item.error and item.error.fault for item in gateway.answers}
    assert_that(faults, Equals({1: Fault.UNAUTHENTICATED, 2: None}))
    assert_that(gateway.closed_sessions, Equals([1]))


def test_a_revoked_key_ends_its_session_with_the_next_operation(gateway):
    gateway.session(1, "strict", ALICE_KEY)
    configure(gateway, 3, names={BOB_KEY: "bob"})
    gateway.send(1, K.READ)
    answer = gateway.answers[-1]
    assert_that(
        (answer.error.fault, answer.state), Equals((Fault.UNAUTHENTICATED, TransactionState.IDLE))
    )
    assert_that(gateway.closed_sessions, Equals([1]))
    assert_that(gateway.state.sessions, Equals({}))


def test_a_key_of_another_tenant_now_ends_its_session(gateway):
    gateway.session(1, "strict", ALICE_KEY)
    configure(gateway, 3, names={ALICE_KEY: "bob"})
    gateway.send(1, K.BEGIN)
    assert_that(gateway.answers[-1].error.fault, Is(Fault.UNAUTHENTICATED))


def test_a_tenant_may_add_keys_while_its_clients_are_connected(gateway):
    gateway.session(1, "strict", ALICE_KEY)
    configure(gateway, 3, names=NAMES | {OTHER_KEY: "alice"})
    assert_that(sent_upstream(gateway, gateway.send(1, K.READ)), Not(Is(None)))


def begin_and_write(gateway):
    """Run the first write of a transaction; return its connection."""
    gateway.session(1, "strict", ALICE_KEY)
    gateway.send(1, K.BEGIN)
    item = sent_upstream(gateway, gateway.send(1, K.WRITE))
    gateway.reply(item)
    return item.connection


@pytest.mark.parametrize("kind", [K.WRITE, K.COMMIT])
@pytest.mark.parametrize("names", [{BOB_KEY: "bob"}, {ALICE_KEY: "bob"}])
def test_a_revoked_key_ends_its_transaction_before_the_next_statement(gateway, kind, names):
    """The statement must not reach the upstream, and the transaction must be rolled back."""
    connection = begin_and_write(gateway)
    configure(gateway, 3, names=names)
    request = gateway.send(1, kind)
    assert_that(gateway.find_sent(request), Is(None))
    kinds = [item.kind for item in gateway.sent if item.connection == connection]
    assert_that(kinds[:1], Equals([K.ROLLBACK]))
    answer = gateway.answers[-1]
    assert_that(
        (answer.error.fault, answer.state), Equals((Fault.UNAUTHENTICATED, TransactionState.IDLE))
    )
    assert_that(gateway.closed_sessions, Equals([1]))


def test_statements_behind_a_refused_one_do_not_run(gateway):
    """A pipelined statement must not run on the session that the refusal closed."""
    gateway.session(1, "strict", ALICE_KEY)
    first = gateway.send(1, K.READ)
    gateway.send(1, K.READ)
    gateway.send(1, K.WRITE)
    item = sent_upstream(gateway, first)
    configure(gateway, 3, names={BOB_KEY: "bob"})
    gateway.reply(item)
    serve(gateway)
    assert_that([item.error is None for item in gateway.answers], Equals([True, False]))
    assert_that([item.kind for item in gateway.sent if item.kind is K.WRITE], Equals([]))


def test_a_queued_request_is_checked_again_before_it_is_sent():
    gateway = ready_gateway(connections=0, limit=40)
    configure(gateway, 2)
    gateway.session(1, "strict", ALICE_KEY)
    request = gateway.send(1, K.WRITE)
    configure(gateway, 3, names={BOB_KEY: "bob"})
    serve(gateway)
    assert_that(gateway.find_sent(request), Is(None))
    assert_that(gateway.answers[-1].error.fault, Is(Fault.UNAUTHENTICATED))
    assert_that(gateway.closed_sessions, Equals([1]))


def test_a_request_that_waits_for_its_begin_is_checked_again(gateway):
    """The key may be revoked while a connection is prepared for the statement."""
    gateway.session(1, "strict", ALICE_KEY)
    gateway.reply(sent_upstream(gateway, gateway.send(1, K.READ)))
    gateway.answer_own_statements()
    gateway.state.sessions[1].values["a"] = "b"  # so that the statement needs a new BEGIN
    request = gateway.send(1, K.READ)
    assert_that([item.next_request is None for item in connections(gateway)], Contains(False))
    configure(gateway, 3, names={BOB_KEY: "bob"})
    serve(gateway)
    assert_that(gateway.find_sent(request), Is(None))
    assert_that(gateway.answers[-1].error.fault, Is(Fault.UNAUTHENTICATED))


def test_keys_appear_in_no_log_and_no_text(gateway):
    gateway.session(1, "strict", OTHER_KEY)
    begin_and_write(gateway)
    configure(gateway, 3, names={BOB_KEY: "bob"})
    gateway.send(1, K.WRITE)
    texts = [repr(item) for item in gateway.log_events + gateway.answers + gateway.refused]
    texts += [repr(ev.SessionOpened(1, 1, "strict", ALICE_KEY)), repr(gateway.state.sessions)]
    events = [item.event for item in gateway.log_events]
    assert_that(events, Contains("refused"))
    for text in texts:
        for key in (ALICE_KEY, BOB_KEY, OTHER_KEY):
            assert_that(text, Not(Contains(key)))


def test_a_key_that_is_too_long_is_not_kept(gateway):
    """Each session of a client could otherwise hold a megabyte."""
    gateway.session(1, "open", "k" * 201)
    assert_that(gateway.state.sessions[1].key, Equals(""))
    gateway.session(2, "strict", "k" * 201)
    assert_that(gateway.refused, HasLength(1))
    tenants = {"alice": TENANTS["alice"]}
    configure(gateway, 3, tenants=tenants, names={"k" * 200: "alice"})
    gateway.session(3, "strict", "k" * 200)
    assert_that(gateway.state.sessions[3].tenant, Equals("alice"))


def test_a_refused_session_is_logged_with_its_reason(gateway):
    gateway.session(1, "strict", OTHER_KEY)
    refusals = [item for item in gateway.log_events if item.event == "refused"]
    assert_that(refusals, HasLength(1))
    assert_that((refusals[0].workspace, refusals[0].outcome), Equals(("strict", "unauthenticated")))


def test_a_transaction_on_a_public_route_ends_where_its_tenant_is_revoked(gateway):
    """A statement runs only on a connection of its session's tenant, on public routes too."""
    gateway.session(1, "open", ALICE_KEY)
    gateway.send(1, K.BEGIN)
    gateway.reply(sent_upstream(gateway, gateway.send(1, K.WRITE)))
    configure(gateway, 3, names={BOB_KEY: "bob"})
    gateway.send(1, K.COMMIT)
    assert_that(gateway.answers[-1].error.fault, Is(Fault.UNAUTHENTICATED))
