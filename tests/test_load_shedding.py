"""Requests that can't be served in time, and what waits upstream; each test names its pattern.

Seen under overload: requests waited until their deadline and were refused then, and all clients
came back at the same moment.
"""

from endivewick_core.gateway import load_shedding
from endivewick_core.routes import Freshness
from endivewick_core.statements import Error, Fault, StatementKind
from gateway_driver import FAR_REPLICA, PRIMARY, REPLICA, configuration, ready_gateway, route
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

K = StatementKind
HOLD_MS = 200
NAMES = {"high": 0, "low": 3}


def loaded_gateway(gateways=17, hold_ms=HOLD_MS, coordinates=True, **changes):
    """Return a gateway whose share is 17 // ``gateways`` connections, occupied ``hold_ms`` each."""
    routes = {
        name: route(name, Freshness.PRIMARY, priority=priority, **changes)
        for name, priority in NAMES.items()
    }
    routes["bounded"] = route("bounded", Freshness.BOUNDED, **changes)
    gateway = ready_gateway(connections=0)
    gateway.state.configuration = configuration(2, routes=routes)
    gateway.state.settings = gateway.state.settings._replace(coordinates_connections=coordinates)
    gateway.tick(300)
    gateway.answer_poll([], [gateway.watermark(10)], gateways=gateways, demand={})
    for pool in gateway.state.pools.values():
        pool.opening.holds, pool.opening.hold_ms = 20, float(hold_ms)
    return gateway


def send_writes(gateway, count, workspace="low", first=0):
    requests = []
    for number in range(first, first + count):
        gateway.session(number, workspace)
        requests.append(gateway.send(number, K.WRITE))
    return requests


def at_primary(gateway):
    """Return the clients' statements that the primary has not answered."""
    return [
        item for item in gateway.sent if item.upstream == PRIMARY and item.statement.request_id[1:]
    ]


def failures(gateway):
    return [item for item in gateway.log_events if item.event == "failed"]


def serve(coordinates, hold_ms):
    """Serve 30 writes, one each ``hold_ms``; return those served, and the waits of the others."""
    gateway = loaded_gateway(hold_ms=hold_ms, coordinates=coordinates)
    gateway.tick()
    gateway.open_all()
    gateway.state.control.contended = {PRIMARY: 0}  # one connection also without coordination
    send_writes(gateway, 30)
    waited_ms = 0
    for _ in range(1_200 // 10):
        gateway.tick(10)
        waited_ms += 10
        if waited_ms % hold_ms == 0 and at_primary(gateway):
            gateway.answer_own_statements()
            gateway.reply(at_primary(gateway)[0])
            gateway.answer_own_statements()
    served = {item.session for item in gateway.answers if item.error is None}
    waits = [item.inputs["waited_ms"] for item in failures(gateway)]
    return served, waits


def test_a_request_behind_a_long_queue_is_refused_at_once_and_no_other():
    """Pattern: thirty writes at once for one connection.

    All that are served in time without load shedding are served with it.
    """
    for hold_ms in (50, 100, 200):
        served, waits = serve(True, hold_ms)
        assert_that(served, Equals(serve(False, hold_ms)[0]))
        immediate = [item for item in waits if item == 0]
        assert_that(len(immediate) > 0, Equals(2 * 1_000 // hold_ms < 29))


def test_a_refusal_says_that_nothing_ran_and_spreads_the_clients():
    """Pattern: all clients that were refused together come back at the same moment."""
    gateway = loaded_gateway()
    send_writes(gateway, 40)
    refused = [item.error for item in gateway.answers]
    assert_that({item.fault for item in refused}, Equals({Fault.BUSY}))
    assert_that(refused[0].text, Contains("wait before it for 1 connections"))
    assert_that(len({item.retry_after_ms for item in refused}), GreaterThan(4))
    assert_that(gateway.sent, Equals([]))
    events = [item for item in gateway.log_events if item.event == "request_shed"]
    assert_that(len(events), Equals(len(refused)))
    assert_that({item.outcome for item in events}, Equals({"not run"}))


def test_a_request_that_timed_out_in_the_queue_spreads_the_clients_too():
    """Pattern: the primary can't be reached, and all queued requests time out together."""
    gateway = loaded_gateway(hold_ms=1)
    send_writes(gateway, 20)
    for _ in range(60):
        gateway.tick(20)
    assert_that(len({item.error.retry_after_ms for item in gateway.answers}), GreaterThan(4))


def test_a_waiting_request_that_others_overtook_is_refused_before_its_deadline():
    """Pattern: requests of the highest priority arrive behind waiting ones of a low priority."""
    gateway = loaded_gateway()
    low = send_writes(gateway, 5)
    assert_that(gateway.answers, Equals([]))
    send_writes(gateway, 9, "high", first=100)
    gateway.tick(100)
    refused = [item.request_id for item in failures(gateway)]
    assert_that(set(refused) <= set(low), Equals(True))
    assert_that(len(refused), GreaterThan(2))


def test_nothing_is_refused_while_the_times_are_unknown():
    """Pattern: a gateway has just started, and a burst arrives."""
    gateway = loaded_gateway(hold_ms=5_000)
    for pool in gateway.state.pools.values():
        pool.opening.holds = load_shedding.MIN_HOLDS - 1
    send_writes(gateway, 40)
    gateway.tick(100)
    assert_that(gateway.answers, Equals([]))


def test_the_time_for_which_requests_occupy_connections_is_measured():
    """Pattern: transactions whose clients pause occupy connections for long."""
    gateway = loaded_gateway()
    gateway.tick()
    gateway.open_all()
    pool = gateway.state.pools[PRIMARY]
    pool.opening.holds, pool.opening.hold_ms = 0, 0.0
    gateway.session(1, "low")
    for _ in range(12):
        gateway.send(1, K.WRITE)
        gateway.tick(70)
        gateway.answer_own_statements()
        gateway.reply(at_primary(gateway)[0])
        gateway.answer_own_statements()
    assert_that((pool.opening.holds, round(pool.opening.hold_ms)), Equals((12, 70)))


def test_reads_count_the_connections_to_all_upstreams():
    """Pattern: many reads wait, and three upstreams can serve them."""
    gateway = loaded_gateway()
    waiting = 0
    for number in range(40):
        gateway.session(number, "bounded")
        gateway.send(number, K.READ)
        waiting += not gateway.answers
    # Of three connections, each takes a read for 100 ms at least: 30 rounds of three and more.
    assert_that(waiting, GreaterThan(30))
    assert_that(waiting, LessThan(40))


def test_a_commit_is_not_refused_for_the_queue():
    """Pattern: under overload an open transaction, whose connection others wait for, commits."""
    gateway = loaded_gateway()
    send_writes(gateway, 11)
    session = gateway.state.sessions[0]
    request = session.current
    queue = gateway.state.queues["orders"]
    late = request.__class__(0, request.statement, request.route, 0, gateway.now_ms + 1, 999)
    arguments = (gateway.state, gateway.now_ms, session, late, queue.primary, 300)
    assert_that(load_shedding.refusal(*arguments) is not None, Equals(True))
    session.connection = 1
    assert_that(load_shedding.refusal(*arguments), Equals(None))


def test_a_request_of_a_high_priority_displaces_one_of_a_low_from_a_full_queue():
    """Pattern: a batch of low priority fills the queue of the gateway."""
    gateway = loaded_gateway(hold_ms=1)
    gateway.state.settings = gateway.state.settings._replace(queue_limit=20)
    low = send_writes(gateway, 20)
    high = send_writes(gateway, 1, "high", first=100)
    assert_that([item.request_id for item in failures(gateway)], Equals([low[-1]]))
    more = send_writes(gateway, 1, "low", first=200)
    assert_that([item.request_id for item in failures(gateway)], Equals([low[-1], *more]))
    gateway.open_all()
    assert_that(gateway.find_sent(high[0]) is not None, Equals(True))


# What waits at an upstream.


def busy_gateway():
    """Return a gateway, one of three, with five connections to each upstream of three slots."""
    gateway = loaded_gateway(gateways=3, timeout_ms=60_000)
    send_writes(gateway, 8)
    for _ in range(8):
        gateway.tick(20)
        gateway.open_all()
    return gateway


def test_requests_wait_in_the_gateway_once_the_upstream_has_enough():
    """Pattern: more requests than slots; the upstream's queue has no order."""
    gateway = busy_gateway()
    assert_that(len(at_primary(gateway)), Equals(1 + 3))
    high = send_writes(gateway, 1, "high", first=100)[0]
    gateway.reply(at_primary(gateway)[0])
    gateway.answer_own_statements()
    assert_that(len(at_primary(gateway)), Equals(1 + 3))
    assert_that(gateway.find_sent(high) is not None, Equals(True))


def test_an_upstream_that_refuses_for_lack_of_capacity_gets_its_share_of_slots_only():
    """Pattern: gateways together send more than an upstream's slots and queue take."""
    gateway = busy_gateway()
    gateway.state.pools[PRIMARY].consecutive_busy_count = 5
    for _ in range(4):
        gateway.reply(at_primary(gateway)[0], error=Error(Fault.BUSY, ""))
        gateway.answer_own_statements()
    for _ in range(10):
        gateway.tick(20)
    assert_that(len(at_primary(gateway)), Equals(1))


def test_reads_go_to_another_upstream_once_the_nearest_has_enough():
    """Pattern: a burst of reads while the nearest replica is full."""
    gateway = busy_gateway()
    for pool in gateway.state.pools.values():
        pool.latency_ms = 500.0
    gateway.state.pools[REPLICA].latency_ms = 1.0
    requests = []
    for number in range(200, 206):
        gateway.session(number, "bounded")
        requests.append(gateway.send(number, K.READ))
        for _ in range(2):
            gateway.tick(10)
            gateway.open_all()
    upstreams = [gateway.find_sent(item).upstream for item in requests]
    assert_that(upstreams[:4], Equals([REPLICA] * 4))
    assert_that(set(upstreams[4:]) <= {FAR_REPLICA, PRIMARY}, Equals(True))


def test_lost_answers_do_not_count_as_running_statements():
    """Pattern: the primary runs all statements but loses part of its answers."""
    gateway = busy_gateway()
    lost = at_primary(gateway)[:3]
    for _ in range(10):
        gateway.tick(30)
    for _ in range(2):
        answered = next(item for item in at_primary(gateway) if item not in lost)
        gateway.reply(answered)
        gateway.answer_own_statements()
    assert_that(len([item for item in at_primary(gateway) if item not in lost]), GreaterThan(1))


def test_a_statement_of_an_open_transaction_does_not_wait_for_the_bound():
    """Pattern: under overload a transaction keeps its connection and locks until it goes on."""
    gateway = loaded_gateway(gateways=3, timeout_ms=60_000)
    gateway.session(50, "low")
    gateway.send(50, K.BEGIN)
    first = gateway.send(50, K.WRITE)
    for _ in range(8):
        gateway.tick(20)
        gateway.open_all()
    gateway.reply(gateway.find_sent(first))
    send_writes(gateway, 8)
    for _ in range(8):
        gateway.tick(20)
        gateway.open_all()
    assert_that(len(at_primary(gateway)), Equals(1 + 3))
    second = gateway.send(50, K.WRITE)
    assert_that(gateway.find_sent(second) is not None, Equals(True))


def test_a_waiting_request_is_sent_when_a_transaction_statement_is_answered():
    """Pattern: as above; the answer leaves the connection in use, but frees a slot."""
    gateway = loaded_gateway(gateways=3, timeout_ms=60_000)
    gateway.session(50, "low")
    gateway.send(50, K.BEGIN)
    first = gateway.send(50, K.WRITE)
    for _ in range(4):
        gateway.tick(20)
        gateway.open_all()
    requests = send_writes(gateway, 5)
    for _ in range(8):
        gateway.tick(20)
        gateway.open_all()
    waiting = [item for item in requests if gateway.find_sent(item) is None]
    assert_that(len(waiting), Equals(2))
    gateway.reply(gateway.find_sent(first))
    waiting = [item for item in requests if gateway.find_sent(item) is None]
    assert_that(len(waiting), Equals(1))


def test_nothing_is_bound_or_refused_where_it_is_not_coordinated():
    """Pattern: a deployment whose settings don't call for it."""
    gateway = loaded_gateway(gateways=3, coordinates=False)
    send_writes(gateway, 40)
    for _ in range(8):
        gateway.tick(110)
        gateway.open_all()
    assert_that(gateway.answers, Equals([]))
    assert_that(len(at_primary(gateway)), GreaterThan(1 + 3))
