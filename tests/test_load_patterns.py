"""Loads that a gateway must handle; each test names its load pattern."""

from endivewick_core.gateway import limits
from endivewick_core.routes import Freshness
from endivewick_core.statements import Error, Fault, StatementKind
from gateway_driver import FAR_REPLICA, PRIMARY, REPLICA, ready_gateway
from gateway_simulation import Load, Simulation
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

K = StatementKind


def send_statements(gateway, count, kind=K.READ, workspace="strict"):
    """Open ``count`` sessions and send one statement of each."""
    requests = []
    for number in range(count):
        gateway.session(number, workspace)
        requests.append(gateway.send(number, kind))
    return requests


def connections_to(gateway, upstream):
    return [item for item in gateway.state.connections.values() if item.upstream == upstream]


def test_all_gateways_start_together_and_each_finds_a_connection():
    """Pattern: after a power failure all gateways start at once, with many statements each.

    The first to start must not open all connections of the primary before the others have one.
    """
    gateway = ready_gateway(limit=21)
    gateway.state.control.gateways = 1
    send_statements(gateway, 40)
    for _ in range(3):
        gateway.tick()
        gateway.open_all()
    assert_that(len(connections_to(gateway, PRIMARY)), LessThan(5))
    for _ in range(10):
        gateway.tick(100)
        gateway.open_all()
    assert_that(len(connections_to(gateway, PRIMARY)) > 5, Equals(True))


def test_a_gateway_releases_connections_above_its_share_while_others_are_refused():
    """Pattern: one data centre has most of the load and uses the connections of the others."""
    gateway = ready_gateway(limit=21)
    requests = send_statements(gateway, 30)
    for _ in range(10):
        gateway.tick(60)
        gateway.open_all()
    held = len(connections_to(gateway, PRIMARY))
    assert_that(held > 4, Equals(True))
    gateway.tick(300)
    gateway.answer_poll([], [gateway.watermark(10)], gateways=4, contended={PRIMARY: 0})
    for request in requests:
        item = gateway.find_sent(request)
        if item is not None:
            gateway.reply(item)
            gateway.answer_own_statements()
    assert_that(len(connections_to(gateway, PRIMARY)), Equals(4))


def test_a_share_follows_demand_while_connections_are_contended():
    """Pattern: one gateway of six has a third of the load of a contended primary."""
    gateway = ready_gateway(limit=21)
    send_statements(gateway, 30)
    for _ in range(8):
        gateway.tick(60)
        gateway.open_all()
    wanted = limits.wanted(gateway.state)[PRIMARY]
    gateway.tick(300)
    contended = {PRIMARY: 3 * wanted}
    gateway.answer_poll([], [gateway.watermark(10)], gateways=6, contended=contended)
    pool = gateway.state.pools[PRIMARY]
    assert_that(limits.share(gateway.state, pool), Equals(17 // 3))


def test_a_refused_gateway_requests_its_share_through_control():
    """Pattern: other gateways use all connections of the primary."""
    gateway = ready_gateway(limit=21)
    for connection in connections_to(gateway, PRIMARY):
        gateway.break_connection(connection.number)
    gateway.tick(300)
    gateway.break_connection(gateway.opening.pop(), Fault.TOO_MANY_CONNECTIONS)
    gateway.tick(300)
    question = gateway.messages[-1].message
    assert_that(question.refused_by, Equals([PRIMARY]))


def test_reads_avoid_a_replica_that_fails_part_of_them_and_return_to_it():
    """Pattern: a replica fails half of its statements while its health probe succeeds."""
    gateway = ready_gateway()
    gateway.session(1, "bounded")
    served = []
    for number in range(40):
        request = gateway.send(1, K.READ)
        while (item := gateway.find_sent(request)) is not None:
            is_failing = item.upstream == REPLICA and number % 2
            served.append(item.upstream)
            gateway.reply(item, error=Error(Fault.FAILED, "") if is_failing else None)
            gateway.answer_own_statements()
        gateway.open_all()
    assert_that(served[-10:].count(REPLICA) < 3, Equals(True))
    assert_that(FAR_REPLICA in served or PRIMARY in served, Equals(True))
    for _ in range(60):
        gateway.tick(1_000)
        gateway.answer_poll([], [gateway.watermark(10)])
    request = gateway.send(1, K.READ)
    assert_that(gateway.find_sent(request).upstream, Equals(REPLICA))


def test_reads_whose_answers_are_lost_are_sent_again():
    """Pattern: the primary runs all statements but loses a fifth of its answers."""
    gateway = ready_gateway(connections=4)
    gateway.session(1, "strict")
    request = gateway.send(1, K.READ)
    lost = gateway.find_sent(request)
    gateway.sent = [item for item in gateway.sent if item.connection != lost.connection]
    for _ in range(30):
        gateway.tick(20)
        gateway.open_all()
    again = gateway.find_sent(request)
    assert_that(again.connection != lost.connection, Equals(True))
    gateway.reply(again, rows=("x",))
    assert_that([item.rows for item in gateway.answers], Equals([("x",)]))


def test_a_connection_with_an_outstanding_response_closes_soon_after_the_timeout():
    """Pattern: the primary loses answers.

    Connections that wait for a lost answer must not use up a gateway's share.
    """
    gateway = ready_gateway()
    gateway.session(1, "session")
    gateway.send(1, K.WRITE)
    held = [item.number for item in connections_to(gateway, PRIMARY)]
    gateway.answer_own_statements()
    gateway.tick(1_000)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.TIMEOUT))
    gateway.tick(300)
    assert_that(gateway.closed, Equals(held))


def test_late_reads_are_repeated_within_a_budget():
    """Pattern: under overload every answer is late; repeating all reads would double the load."""
    gateway = ready_gateway(connections=6)
    gateway.state.retry_budget = 2.0
    send_statements(gateway, 30, workspace="bounded")
    for _ in range(10):
        gateway.open_all()
        gateway.tick(60)
    repeated = [item for item in gateway.log_events if item.event == "placed_again"]
    assert_that(len(repeated), Equals(2))


def test_an_upstream_without_capacity_is_retried_with_growing_backoff():
    """Pattern: one primary's queue is full, and 85 gateways retry their statements."""
    gateway = ready_gateway()
    gateway.session(1, "strict")
    request = gateway.send(1, K.READ)
    attempts = 0
    for _ in range(45):
        item = gateway.find_sent(request)
        if item is not None:
            attempts += 1
            gateway.reply(item, error=Error(Fault.BUSY, ""))
            gateway.answer_own_statements()
        gateway.tick(20)
        gateway.answer_own_statements()
    assert_that(attempts, LessThan(15))
    while gateway.find_sent(request) is None:
        gateway.tick(20)
        gateway.answer_own_statements()
    gateway.reply(gateway.find_sent(request))
    assert_that(gateway.state.pools[PRIMARY].consecutive_busy_count, Equals(0))


def served_per_second(simulation, span_ms):
    """Run for ``span_ms``; return how many reads, writes and commits succeeded per second."""
    before = sum(client.served for client in simulation.clients)
    simulation.run(span_ms)
    return (sum(client.served for client in simulation.clients) - before) * 1000 / span_ms


def test_goodput_holds_while_replicas_lag_and_returns_once_they_have_caught_up():
    """Pattern: all replicas lag beyond the allowed staleness; the primary lacks the capacity alone.

    Meanwhile the primary's slots must stay busy with statements that are answered in time.
    Afterwards the replicas must be used again, in spite of the retries of clients and gateways.
    """
    load = Load(300.0, 15.0, 4, 32, 60, Freshness.SESSION)
    simulation = Simulation(1, gateways=10, clients=100, load=load)
    simulation.run(4_000)
    before = served_per_second(simulation, 3_000)
    replicas = [item for item in simulation.database.members.values() if not item.is_leader]
    for member in replicas:
        member.lag_ms = 4_000.0
    simulation.run(2_000)
    alone = served_per_second(simulation, 3_000)
    for member in replicas:
        member.lag_ms = 20.0
    simulation.run(1_000)
    after = served_per_second(simulation, 3_000)
    capacity = load.slots * 1000 / load.work_ms
    assert_that(before, GreaterThan(1.2 * capacity))
    assert_that(alone, GreaterThan(0.8 * capacity))
    assert_that(after, GreaterThan(0.9 * before))
