"""Loads that a gateway must carry well; each test names the pattern that it answers."""

from endivewick_core.gateway import limits
from endivewick_core.routes import Freshness
from endivewick_core.statements import Error, Fault, StatementKind
from gateway_driver import FAR_REPLICA, PRIMARY, REPLICA, ready_gateway
from gateway_simulation import Load, Simulation
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

K = StatementKind


def crowd(gateway, count, kind=K.READ, workspace="strict"):
    """Let ``count`` sessions send a statement at once."""
    requests = []
    for number in range(count):
        gateway.session(number, workspace)
        requests.append(gateway.send(number, kind))
    return requests


def connections_to(gateway, upstream):
    return [item for item in gateway.state.connections.values() if item.upstream == upstream]


def test_all_gateways_start_together_and_each_finds_a_connection():
    """Pattern: after a loss of power every gateway starts at once with a crowd of statements.

    The first to start must not take every connection of the primary before the others have one.
    """
    gateway = ready_gateway(limit=21)
    gateway.state.control.gateways = 1
    crowd(gateway, 40)
    for _ in range(3):
        gateway.tick()
        gateway.open_all()
    assert_that(len(connections_to(gateway, PRIMARY)), LessThan(5))
    for _ in range(10):
        gateway.tick(100)
        gateway.open_all()
    assert_that(len(connections_to(gateway, PRIMARY)) > 5, Equals(True))


def test_a_gateway_keeps_to_its_share_while_others_are_refused():
    """Pattern: one data centre has most of the load and holds the connections of the others."""
    gateway = ready_gateway(limit=21)
    requests = crowd(gateway, 30)
    for _ in range(10):
        gateway.tick(60)
        gateway.open_all()
    held = len(connections_to(gateway, PRIMARY))
    assert_that(held > 4, Equals(True))
    gateway.tick(300)
    gateway.poll_answer([], [gateway.mark(10)], gateways=4, contended={PRIMARY: 0})
    for request in requests:
        item = gateway.work(request)
        if item is not None:
            gateway.reply(item)
            gateway.settle()
    assert_that(len(connections_to(gateway, PRIMARY)), Equals(4))


def test_a_share_follows_demand_while_connections_are_contended():
    """Pattern: one gateway of six has a third of the load of a contended primary."""
    gateway = ready_gateway(limit=21)
    crowd(gateway, 30)
    for _ in range(8):
        gateway.tick(60)
        gateway.open_all()
    wants = limits.wanted(gateway.state)[PRIMARY]
    gateway.tick(300)
    contended = {PRIMARY: 3 * wants}
    gateway.poll_answer([], [gateway.mark(10)], gateways=6, contended=contended)
    pool = gateway.state.pools[PRIMARY]
    assert_that(limits.share(gateway.state, pool), Equals(17 // 3))


def test_a_refused_gateway_asks_the_others_for_its_share():
    """Pattern: a gateway finds the primary full of its neighbours' connections."""
    gateway = ready_gateway(limit=21)
    for connection in connections_to(gateway, PRIMARY):
        gateway.lose(connection.number)
    gateway.tick(300)
    gateway.lose(gateway.opening.pop(), Fault.TOO_MANY_CONNECTIONS)
    gateway.tick(300)
    question = gateway.messages[-1].message
    assert_that(question.refused_by, Equals([PRIMARY]))


def test_reads_leave_a_replica_that_fails_part_of_them_and_come_back():
    """Pattern: a replica fails half of its statements while its health probe is good."""
    gateway = ready_gateway()
    gateway.session(1, "bounded")
    served = []
    for number in range(40):
        request = gateway.send(1, K.READ)
        while (item := gateway.work(request)) is not None:
            fails = item.upstream == REPLICA and number % 2
            served.append(item.upstream)
            gateway.reply(item, error=Error(Fault.FAILED, "") if fails else None)
            gateway.settle()
        gateway.open_all()
    assert_that(served[-10:].count(REPLICA) < 3, Equals(True))
    assert_that(FAR_REPLICA in served or PRIMARY in served, Equals(True))
    for _ in range(60):
        gateway.tick(1_000)
        gateway.poll_answer([], [gateway.mark(10)])
    request = gateway.send(1, K.READ)
    assert_that(gateway.work(request).upstream, Equals(REPLICA))


def test_reads_whose_answers_are_lost_are_sent_once_more():
    """Pattern: the primary runs statements and loses a fifth of its answers."""
    gateway = ready_gateway(connections=4)
    gateway.session(1, "strict")
    request = gateway.send(1, K.READ)
    lost = gateway.work(request)
    gateway.sent = [item for item in gateway.sent if item.connection != lost.connection]
    for _ in range(30):
        gateway.tick(20)
        gateway.open_all()
    again = gateway.work(request)
    assert_that(again.connection != lost.connection, Equals(True))
    gateway.reply(again, rows=("x",))
    assert_that([item.rows for item in gateway.answers], Equals([("x",)]))


def test_a_connection_that_owes_an_answer_is_given_up_soon_after_the_timeout():
    """Pattern: the same; silent connections must not take a gateway's share."""
    gateway = ready_gateway()
    gateway.session(1, "session")
    gateway.send(1, K.WRITE)
    held = [item.number for item in connections_to(gateway, PRIMARY)]
    gateway.settle()
    gateway.tick(1_000)
    assert_that(gateway.answers[-1].error.fault, Equals(Fault.TIMEOUT))
    gateway.tick(300)
    assert_that(gateway.closed, Equals(held))


def test_late_reads_are_repeated_within_a_budget():
    """Pattern: an overload makes every answer late; repeating all would double it."""
    gateway = ready_gateway(connections=6)
    gateway.state.retry_budget = 2.0
    crowd(gateway, 30, workspace="bounded")
    for _ in range(10):
        gateway.open_all()
        gateway.tick(60)
    repeated = [item for item in gateway.decisions if item.event == "placed_again"]
    assert_that(len(repeated), Equals(2))


def test_an_upstream_without_room_is_asked_less_and_less_often():
    """Pattern: 85 gateways find one primary's queue full, and each asks again and again."""
    gateway = ready_gateway()
    gateway.session(1, "strict")
    request = gateway.send(1, K.READ)
    asked = 0
    for _ in range(45):
        item = gateway.work(request)
        if item is not None:
            asked += 1
            gateway.reply(item, error=Error(Fault.BUSY, ""))
            gateway.settle()
        gateway.tick(20)
        gateway.settle()
    assert_that(asked, LessThan(15))
    while gateway.work(request) is None:
        gateway.tick(20)
        gateway.settle()
    gateway.reply(gateway.work(request))
    assert_that(gateway.state.pools[PRIMARY].consecutive_busy_count, Equals(0))


def served_a_second(simulation, span_ms):
    """Run for a while; return how many reads, writes and commits succeeded in a second."""
    before = sum(client.served for client in simulation.clients)
    simulation.run(span_ms)
    return (sum(client.served for client in simulation.clients) - before) * 1000 / span_ms


def test_goodput_holds_while_replicas_lag_and_returns_once_they_have_caught_up():
    """Pattern: every replica lags beyond the staleness, and the primary can't serve all alone.

    While it lasts the primary's slots stay busy with work that is answered; afterwards the replicas
    are used again, though clients and gateways have been trying again and again.
    """
    load = Load(300.0, 15.0, 4, 32, 60, Freshness.SESSION)
    simulation = Simulation(1, gateways=10, clients=100, load=load)
    simulation.run(4_000)
    before = served_a_second(simulation, 3_000)
    replicas = [item for item in simulation.database.members.values() if not item.is_leader]
    for member in replicas:
        member.lag_ms = 4_000.0
    simulation.run(2_000)
    alone = served_a_second(simulation, 3_000)
    for member in replicas:
        member.lag_ms = 20.0
    simulation.run(1_000)
    after = served_a_second(simulation, 3_000)
    capacity = load.slots * 1000 / load.work_ms
    assert_that(before, GreaterThan(1.2 * capacity))
    assert_that(alone, GreaterThan(0.8 * capacity))
    assert_that(after, GreaterThan(0.9 * before))
