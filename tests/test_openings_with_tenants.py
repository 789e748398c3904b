"""Coordinated openings and load shedding of gateways whose connections belong to tenants."""

import pytest
from endivewick_core.gateway import fair_queue, load_shedding
from endivewick_core.statements import StatementKind
from gateway_driver import PRIMARY
from test_tenant_connections import SMALL_LIMIT, run, tenant_gateway
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

K = StatementKind
ALICE, BOB = (1, 2, 3, 4), (5, 6, 7, 8)  # their sessions


def coordinated_gateway(limit=SMALL_LIMIT, counted=True):
    """Return a gateway with tenants, alone with the connections of its upstreams."""
    gateway = tenant_gateway(limit)
    gateway.state.settings = gateway.state.settings._replace(coordinates_connections=True)
    gateway.tick(300)
    demand = {} if counted else None
    gateway.answer_poll([], [gateway.watermark(10)], gateways=1, demand=demand)
    return gateway


def open_transactions(gateway, sessions):
    """Occupy one connection to the primary for each session."""
    for session in sessions:
        gateway.send(session, K.BEGIN)
        run(gateway, session, K.WRITE)


def at_primary(gateway):
    return gateway.state.pools[PRIMARY].connections.values()


def test_an_idle_connection_of_another_tenant_makes_room_at_the_share():
    """Guards against a tenant without connections while others' idle ones fill the share."""
    gateway = coordinated_gateway()
    open_transactions(gateway, (1,))
    idle = run(gateway, 2, K.WRITE)
    request = gateway.send(5, K.WRITE)
    for _ in range(10):
        gateway.tick()
        gateway.open_all()
        gateway.answer_own_statements()
    assert_that(gateway.closed, Equals([idle]))
    assert_that(gateway.tenant_of[gateway.find_sent(request).connection], Equals("bob"))
    assert_that(at_primary(gateway), HasLength(2))


def test_a_tenant_has_no_connection_before_the_gateways_are_counted_but_the_first():
    """Guards against openings above the share where tenants' openings have a check of their own."""
    gateway = coordinated_gateway(limit=40, counted=False)
    for session in (*ALICE, *BOB):
        gateway.send(session, K.WRITE)
    gateway.tick()
    assert_that(at_primary(gateway), HasLength(1))


def test_one_connection_of_a_tenant_at_a_time_is_tried_after_a_refusal():
    gateway = coordinated_gateway(limit=40)
    pool = gateway.state.pools[PRIMARY]
    pool.opening.refusals = 1
    for session in (*ALICE, *BOB):
        gateway.send(session, K.WRITE)
    gateway.tick()
    assert_that(at_primary(gateway), HasLength(1))


def test_a_tenant_opens_no_connection_that_it_does_not_wait_for():
    """The coordinated limit alone would let one request open several connections."""
    gateway = coordinated_gateway(limit=40)
    gateway.send(1, K.WRITE)
    for _ in range(3):
        gateway.tick()
    assert_that(at_primary(gateway), HasLength(1))


def fill_queue(gateway, queue_limit):
    """Let alice have two requests and bob one in a queue for the two occupied connections."""
    open_transactions(gateway, (1, 5))
    gateway.state.settings = gateway.state.settings._replace(queue_limit=queue_limit)
    waiting = [gateway.send(session, K.WRITE) for session in (2, 3, 6)]
    assert_that(gateway.state.queued, Equals(3))
    return waiting


@pytest.mark.parametrize(("tenant", "displaced"), [("alice", "alice"), ("bob", "alice")])
def test_a_full_queue_gives_up_a_request_of_a_tenant_with_more_of_them(tenant, displaced):
    """Guards against a tenant that fills the queue with requests of a high priority."""
    gateway = coordinated_gateway()
    fill_queue(gateway, 3)
    session = 4 if tenant == "alice" else 7
    state = gateway.state
    late = state.sessions[2].current
    request = late.__class__(
        session, late.statement, late.route._replace(priority=-1), 0, gateway.now_ms + 500, 999
    )
    request.tenant = tenant
    found = load_shedding.find_displaced(state, request)
    assert_that(found.tenant, Equals(displaced))


def test_a_tenant_with_as_many_requests_displaces_none_of_another():
    """The last request of the queue is the other tenant's, and its own one leaves."""
    gateway = coordinated_gateway()
    open_transactions(gateway, (1, 5))
    for session in (2, 6):
        gateway.send(session, K.WRITE)
    state = gateway.state
    own, other = state.sessions[2].current, state.sessions[6].current
    assert_that(max(state.queues["orders"].primary).request is other, Equals(True))
    request = own.__class__(
        4, own.statement, own.route._replace(priority=-1), 0, gateway.now_ms + 500, 999
    )
    request.tenant = "alice"
    assert_that(load_shedding.find_displaced(state, request) is own, Equals(True))


def test_the_position_in_the_queue_is_the_one_that_adding_gives():
    """A refusal is decided by the requests ahead, before the request takes its turn."""
    gateway = coordinated_gateway()
    fill_queue(gateway, 100)
    state = gateway.state
    queue = state.queues["orders"]
    for session in (4, 7):
        late = state.sessions[2].current
        request = late.__class__(
            session, late.statement, late.route, 0, gateway.now_ms + 500, 900 + session
        )
        own = state.sessions[session]
        request.tenant = own.tenant
        expected = fair_queue.position(state, queue, own, request)
        fair_queue.add(state, queue, own, request)
        item = next(item for item in queue.primary if item.request is request)
        assert_that(item[:4], Equals(expected))


def test_requests_that_were_shed_leave_their_turns():
    """Guards against a tenant that counts as waiting after its requests were refused."""
    gateway = coordinated_gateway()
    open_transactions(gateway, (1, 5))
    for session in (2, 3, 4):
        gateway.send(session, K.WRITE)
    for pool in gateway.state.pools.values():
        pool.opening.holds, pool.opening.hold_ms = 20, 60_000.0
    gateway.tick(100)
    shed = [item for item in gateway.log_events if item.event == "request_shed"]
    assert_that(shed, HasLength(1))
    turns = list(gateway.state.queues["orders"].turns.values())
    assert_that([item.waiting for item in turns], Equals([{"alice": 2}]))
    assert_that(gateway.state.queued, Equals(2))
