"""Opening connections where all gateways together are coordinated; each test names its pattern.

Seen after all processes of 36 gateways lost power: they opened 7,002 connections where 636 fit,
3,716 were refused, and the handshakes took the upstreams' slots.
"""

import pytest
from control_driver import ADDRESSES, leading_control, peer
from endivewick_core.control import events as ce
from endivewick_core.gateway import events as ev
from endivewick_core.gateway import holders, limits
from endivewick_core.messages import (
    ConnectionDemand,
    DirectoryAnswer,
    DirectoryQuestion,
    DirectoryShare,
)
from endivewick_core.routes import Freshness
from endivewick_core.statements import Fault, StatementKind
from endivewick_core.upstream_links import ConnectionOpened
from gateway_driver import PRIMARY, REPLICA, configuration, ready_gateway, route
from gateway_simulation import Load
from opening_simulation import OpeningSimulation, total
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

K = StatementKind
LOAD = Load(800.0, 12.0, 5, 32, 53)  # 5 slots and 53 connections, as in the observed deployment
RECOVERY_MS = 12_000  # the platform's time limit for a system to serve again
HOLDING = {"min_connection_share": 2}


def coordinated_gateway(address="10.0.0.9:7000", **changes):
    """Return a started gateway that coordinates its connections, without any connection.

    Its statements don't time out during a test.
    """
    routes = {
        name: route(name, freshness, timeout_ms=60_000)
        for name, freshness in (("strict", Freshness.PRIMARY), ("bounded", Freshness.BOUNDED))
    }
    gateway = ready_gateway(connections=0, address=address, routes=routes, **changes)
    settings = gateway.state.settings._replace(coordinates_connections=True)
    gateway.state.settings = settings
    gateway.state.control.first_answer_ms = gateway.now_ms
    return gateway


def poll(gateway, **changes):
    """Let the gateway poll, and answer with the current watermark."""
    gateway.tick(300)
    gateway.answer_poll([], [gateway.watermark(10)], **changes)


def send_writes(gateway, count):
    for number in range(count):
        gateway.session(number, "strict")
        gateway.send(number, K.WRITE)


def connections_to(gateway, upstream=PRIMARY):
    return [item for item in gateway.state.connections.values() if item.upstream == upstream]


def run_ticks(gateway, count, passed_ms=100):
    for _ in range(count):
        gateway.tick(passed_ms)
        gateway.open_all()


@pytest.mark.parametrize("seed", [1, 2])
def test_after_a_power_failure_few_openings_are_refused_and_the_load_is_served_again(seed):
    """Pattern: all processes lose power; for 3 s upstreams count the dead connections too.

    Without coordination 36 gateways open about 1,560 connections to three upstreams, of which 1,280
    are refused, and serve half as much.
    """
    simulation = OpeningSimulation(seed, LOAD, settings=HOLDING)
    simulation.run(7_000)
    simulation.lose_power()
    lost_ms = simulation.now_ms
    simulation.run(8_000)
    openings = simulation.openings
    assert_that(total(openings.opened, lost_ms, 1e12), LessThan(450))
    assert_that(total(openings.refused, lost_ms, 1e12), LessThan(120))
    assert_that(total(openings.good, lost_ms + 3_000, lost_ms + 8_000), GreaterThan(5 * 350))
    assert_that(simulation.recorder.violations, Equals([]))


@pytest.mark.parametrize("settings", [{}, {"min_connection_share": 4}], ids=["own", "holders"])
@pytest.mark.parametrize("seed", range(5))
def test_promises_hold_under_random_faults_with_coordinated_connections(seed, settings):
    """Pattern: random faults that overlap, as in test_gateway_search, with few slots."""
    load = Load(40.0, 4.0, 5, 8, 21)
    simulation = OpeningSimulation(seed, load, gateways=6, clients=12, settings=settings)
    simulation.run(3_000)
    injected = []
    for _ in range(30):
        injected.append(simulation.inject_fault())
        simulation.run(simulation.random.uniform(20, 500))
    simulation.run(3_000)
    before = [client.served for client in simulation.clients]
    simulation.run(RECOVERY_MS)
    unserved = [
        client.name
        for client, known in zip(simulation.clients, before, strict=True)
        if client.served == known
    ]
    broken = [f"{item.promise}: {item.text}" for item in simulation.recorder.violations]
    assert_that((broken[:5], unserved), Equals(([], [])), f"faults: {injected}")


def test_connection_holders_serve_more_than_one_connection_for_each_gateway():
    """Pattern: 36 gateways, 53 connections; a transaction keeps a gateway's only connection."""
    served = []
    for settings in ({}, HOLDING):
        simulation = OpeningSimulation(3, LOAD, settings=settings)
        simulation.run(6_000)
        from_ms = simulation.now_ms
        simulation.run(6_000)
        served.append(total(simulation.openings.good, from_ms, simulation.now_ms))
    assert_that(served[1], GreaterThan(1.5 * served[0]))


def test_a_gateway_that_starts_first_leaves_the_connections_of_the_others():
    """Pattern: all gateways start together, and the first one hears of no other yet."""
    gateway = coordinated_gateway()
    send_writes(gateway, 30)
    for _ in range(10):
        poll(gateway, gateways=1)
        gateway.open_all()
    assert_that(len(connections_to(gateway)), Equals(1))
    poll(gateway, gateways=3, demand={})
    run_ticks(gateway, 5)
    assert_that(len(connections_to(gateway)), Equals(17 // 3))


def test_a_gateway_uses_its_equal_share_if_control_never_counts_the_gateways():
    """Pattern: control processes of a release that doesn't coordinate openings."""
    gateway = coordinated_gateway()
    send_writes(gateway, 30)
    for _ in range(20):
        poll(gateway, gateways=3)
        gateway.open_all()
    assert_that(len(connections_to(gateway)), Equals(17 // 3))


def test_gateways_of_a_data_centre_expect_as_many_in_the_others_until_control_has_counted():
    """Pattern: all gateways start together, so that each takes connections of its own at first."""
    gateway = coordinated_gateway(limit=21)
    neighbours = [f"10.0.0.{number}:7000" for number in (7, 8, 9, 10, 11, 12)]
    poll(gateway, gateways=6, neighbours=neighbours)
    assert_that(holders.are_needed(gateway.state, "orders"), Equals(True))
    poll(gateway, gateways=6, neighbours=neighbours, demand={})
    assert_that(holders.are_needed(gateway.state, "orders"), Equals(False))


def drawn_connections(unmet, gateways=10, claimed=10, own=30):
    """Return how many connections above their shares ``gateways`` gateways open in one draw."""
    drawn = []
    for number in range(gateways):
        gateway = coordinated_gateway(f"10.0.0.{number}:7000", limit=21)
        demand = {PRIMARY: ConnectionDemand(claimed, unmet)}
        poll(gateway, gateways=gateways, demand={})
        send_writes(gateway, own)
        gateway.open_all()
        poll(gateway, gateways=gateways, demand=demand)
        run_ticks(gateway, 10, 60)
        drawn.append(len(connections_to(gateway)) - 1)
    return drawn


def test_gateways_together_draw_no_more_connections_than_are_free():
    """Pattern: each of ten gateways has a burst of 30 writes, and 7 connections are free."""
    drawn = drawn_connections(unmet=10 * 29)
    assert_that(sum(drawn), LessThan(8))
    assert_that(sum(drawn), GreaterThan(0))


def test_one_gateway_with_all_of_the_load_gets_what_the_others_do_not_claim():
    """Pattern: one data centre has most of the load."""
    assert_that(drawn_connections(unmet=29, gateways=1, claimed=7)[0], GreaterThan(3))


def test_no_connection_above_the_share_is_opened_on_old_figures():
    """Pattern: control doesn't answer for some seconds."""
    gateway = coordinated_gateway()
    poll(gateway, gateways=3, demand={})
    send_writes(gateway, 30)
    poll(gateway, gateways=3, demand={PRIMARY: ConnectionDemand(5, 24)})
    assert_that(gateway.state.pools[PRIMARY].opening.extra, GreaterThan(0))
    gateway.tick(1_600)
    run_ticks(gateway, 20)
    assert_that(len(connections_to(gateway)), Equals(17 // 3))


def refusal_times(address, priority, count=8):
    """Return when a gateway opened again after each refusal for the connection limit."""
    gateway = coordinated_gateway(address)
    routes = {"strict": route("strict", Freshness.PRIMARY, priority=priority, timeout_ms=60_000)}
    gateway.state.configuration = configuration(2, routes=routes)
    poll(gateway, gateways=3, demand={})
    send_writes(gateway, 1)
    times = []
    while len(times) <= count:
        opened = [number for number in gateway.opening if gateway.upstream_of[number] == PRIMARY]
        for number in opened:
            gateway.opening.remove(number)
            times.append(gateway.now_ms)
            gateway.break_connection(number, Fault.TOO_MANY_CONNECTIONS)
        gateway.tick(10)
    return [after - before for before, after in zip(times, times[1:], strict=False)]


def test_refused_gateways_return_with_growing_delay_and_jitter():
    """Pattern: 36 gateways are refused at the same moment."""
    delays = [refusal_times(f"10.0.0.{number}:7000", 1) for number in range(6)]
    for item in delays:
        assert_that(item[0], LessThan(250))
        assert_that(min(item[2:]), GreaterThan(440))
        assert_that(max(item), LessThan(720))
    assert_that(len({item[3] // 20 for item in delays}), GreaterThan(3))


def test_gateways_with_requests_of_the_highest_priority_return_first():
    """Pattern: the first free connections are fewer than the gateways that wait for one."""
    urgent = [refusal_times(f"10.0.0.{number}:7000", 0) for number in range(4)]
    others = [refusal_times(f"10.0.0.{number}:7000", 2) for number in range(4)]
    assert_that(max(item[3] for item in urgent) < min(item[3] for item in others), Equals(True))


def test_one_connection_at_a_time_is_tried_after_a_refusal():
    """Pattern: an upstream is full, and a burst of requests waits for it."""
    gateway = coordinated_gateway()
    poll(gateway, gateways=3, demand={})
    send_writes(gateway, 10)
    for number in list(gateway.opening):
        gateway.opening.remove(number)
        gateway.break_connection(number, Fault.TOO_MANY_CONNECTIONS)
    gateway.tick(700)
    for _ in range(5):
        gateway.tick(20)
    assert_that(len([n for n in gateway.opening if gateway.upstream_of[n] == PRIMARY]), Equals(1))


def test_an_upstream_that_is_back_is_connected_to_within_half_a_second():
    """Pattern: all processes have restarted, and requests fail for seconds though all is well."""
    gateway = coordinated_gateway()
    poll(gateway, gateways=3, demand={})
    send_writes(gateway, 1)
    for _ in range(200):
        for number in list(gateway.opening):
            gateway.opening.remove(number)
            gateway.break_connection(number)
        gateway.tick(20)
    pool = gateway.state.pools[PRIMARY]
    assert_that(pool.connect_failures, GreaterThan(5))
    assert_that(pool.connect_backoff_until_ms - gateway.now_ms < 500, Equals(True))


def test_connections_that_no_request_waits_for_are_opened_later():
    """Pattern: 36 gateways start at once; the first connections belong to waiting requests."""
    first = []
    for number in range(6):
        gateway = coordinated_gateway(f"10.0.0.{number}:7000")
        poll(gateway, gateways=3, demand={})
        started_ms = gateway.now_ms
        while not connections_to(gateway, REPLICA):
            gateway.tick(20)
        first.append(gateway.now_ms - started_ms)
    assert_that(max(first) < 1_100, Equals(True))
    assert_that(max(first) - min(first), GreaterThan(300))


def test_a_gateway_without_any_connection_goes_on_trying_though_no_request_waits():
    """Pattern: all upstreams are full of dead connections as a gateway starts.

    Without a connection it isn't ready, and gets no requests that would make it try again.
    """
    gateway = coordinated_gateway()
    poll(gateway, gateways=3, demand={})
    tried = 0
    for _ in range(150):
        for number in list(gateway.opening):
            tried += 1
            gateway.opening.remove(number)
            gateway.break_connection(number, Fault.TOO_MANY_CONNECTIONS)
        gateway.tick(20)
    assert_that(tried, GreaterThan(9))
    assert_that(tried, LessThan(30))


def test_a_full_upstream_that_no_request_waits_for_is_tried_again_seldom():
    """Pattern: 36 gateways have connections, but none to one upstream, which is full."""
    gateway = coordinated_gateway()
    poll(gateway, gateways=3, demand={})
    tried = 0
    for _ in range(300):
        for number in list(gateway.opening):
            gateway.opening.remove(number)
            if gateway.upstream_of[number] != REPLICA:
                gateway.handle(ConnectionOpened(gateway.now_ms, number))
                gateway.answer_own_statements()
                continue
            tried += 1
            gateway.break_connection(number, Fault.TOO_MANY_CONNECTIONS)
        gateway.tick(20)
    assert_that(tried, GreaterThan(2))
    assert_that(tried, LessThan(7))


def test_a_control_process_that_has_just_started_does_not_enlarge_the_shares():
    """Pattern: a control process restarts, and has heard of one gateway only."""
    gateway = coordinated_gateway()
    poll(gateway, gateways=8, demand={})
    poll(gateway, gateways=1)
    share = limits.share(gateway.state, gateway.state.pools[PRIMARY])
    assert_that(share, Equals(17 // 8))
    poll(gateway, gateways=4, demand={})
    share = limits.share(gateway.state, gateway.state.pools[PRIMARY])
    assert_that(share, Equals(17 // 4))


def test_connections_above_the_share_stay_while_no_gateway_wants_them():
    """Pattern: a load that comes and goes every few seconds opens no connections each time.

    It is of transactions, whose clients pause.
    """
    gateway = coordinated_gateway(limit=21)
    demand = {PRIMARY: ConnectionDemand(4, 29)}
    poll(gateway, gateways=4, demand={})
    for number in range(30):
        gateway.session(number, "strict")
        gateway.send(number, K.BEGIN)
        gateway.send(number, K.WRITE)
    for _ in range(8):
        run_ticks(gateway, 5, 20)
        while gateway.sent:
            gateway.reply(gateway._first_on(gateway.sent[0].connection))
        poll(gateway, gateways=4, demand=demand)
    held = len(connections_to(gateway))
    share = limits.share(gateway.state, gateway.state.pools[PRIMARY])
    assert_that(held, GreaterThan(share))
    for number in range(30):
        gateway.handle(ev.SessionClosed(gateway.now_ms, number))
    gateway.answer_own_statements()
    for _ in range(12):
        poll(gateway, gateways=4, demand={})
    assert_that(len(connections_to(gateway)), Equals(held))
    for _ in range(12):
        poll(gateway, gateways=4, demand={PRIMARY: ConnectionDemand(17, 5)})
    assert_that(len(connections_to(gateway)), Equals(share))


def test_a_waiting_request_of_a_higher_priority_gets_the_first_connection():
    """Pattern: after a mass start more requests wait than there are connections."""
    gateway = coordinated_gateway()
    routes = {
        name: route(name, Freshness.PRIMARY, priority=priority)
        for name, priority in (("low", 3), ("high", 0))
    }
    gateway.state.configuration = configuration(2, routes=routes)
    poll(gateway, gateways=17, demand={})
    sent = {}
    for number, workspace in enumerate(["low", "low", "high"]):
        gateway.session(number, workspace)
        sent[workspace] = gateway.send(number, K.WRITE)
    gateway.open_all()
    assert_that(gateway.find_sent(sent["high"]) is not None, Equals(True))


def test_an_arriving_request_does_not_overtake_a_waiting_one_of_a_higher_priority():
    """Pattern: a busy upstream is tried again just as a request of a low priority arrives."""
    gateway = coordinated_gateway()
    routes = {
        name: route(name, Freshness.PRIMARY, priority=priority)
        for name, priority in (("low", 3), ("high", 0))
    }
    gateway.state.configuration = configuration(2, routes=routes)
    poll(gateway, gateways=17, demand={})
    run_ticks(gateway, 12)
    gateway.state.pools[PRIMARY].busy_backoff_until_ms = gateway.now_ms + 15
    gateway.session(1, "high")
    gateway.session(2, "low")
    high = gateway.send(1, K.WRITE)
    gateway.now_ms += 15
    low = gateway.send(2, K.WRITE)
    assert_that(gateway.find_sent(high) is not None, Equals(True))
    assert_that(gateway.find_sent(low), Equals(None))


def test_a_read_of_a_higher_priority_goes_before_writes():
    """Pattern: writes of a low priority and strict reads of a high one wait for the primary."""
    gateway = coordinated_gateway()
    routes = {
        "low": route("low", Freshness.PRIMARY, priority=3),
        "high": route("high", Freshness.BOUNDED, priority=0),
    }
    gateway.state.configuration = configuration(2, routes=routes)
    for upstream in (REPLICA, "u-far"):
        del gateway.state.pools[upstream]
    poll(gateway, gateways=17, demand={})
    gateway.session(1, "low")
    gateway.session(2, "high")
    low = gateway.send(1, K.WRITE)
    high = gateway.send(2, K.READ)
    gateway.open_all()
    assert_that(gateway.find_sent(high) is not None, Equals(True))
    assert_that(gateway.find_sent(low), Equals(None))


# Control.


def coordinated_control():
    control = leading_control()
    control.state.settings = control.state.settings._replace(coordinates_connections=True)
    return control


def ask(control, gateway, demand):
    """Poll as ``gateway``; return the answer."""
    question = DirectoryQuestion(gateway, "dc-a", 1, 1, "", 0, [], [], {}, False, {}, demand)
    control.handle(ce.MessageReceived(control.now_ms, question))
    answers = [item.message for item in control.replies if item.address == gateway]
    return [item for item in answers if isinstance(item, DirectoryAnswer)][-1]


def test_control_tells_no_demand_while_the_number_of_gateways_grows():
    """Pattern: the gateways of a deployment start one after the other within two seconds."""
    control = coordinated_control()
    answers = []
    for number in range(40):
        for known in range(min(number, 10) + 1):
            answers.append(ask(control, f"g{known}", {"u-primary": ConnectionDemand(1, 1)}))
        control.run(200)
        if number < 17:
            assert_that(answers[-1].demand, Equals(None))
    assert_that(answers[-1].demand, Equals({"u-primary": ConnectionDemand(11, 11)}))


def test_one_gateway_that_starts_later_gets_the_demand_at_once():
    """Pattern: one of many gateways restarts."""
    control = coordinated_control()
    for _ in range(20):
        for known in range(10):
            ask(control, f"g{known}", {"u-primary": ConnectionDemand(1, 1)})
        control.run(200)
    answer = ask(control, "late", {"u-primary": ConnectionDemand(1, 2)})
    assert_that(answer.demand, Equals({"u-primary": ConnectionDemand(11, 12)}))


def test_control_adds_the_demand_at_other_control_processes():
    """Pattern: the gateways of another data centre want connections too."""
    control = coordinated_control()
    for _ in range(20):
        demand = {"u-primary": ConnectionDemand(4, 3)}
        share = DirectoryShare(peer(ADDRESSES[1]), 0, [], [], 2, [], {}, {}, demand)
        control.run(200)
        control.handle(ce.MessageReceived(control.now_ms, share))
        answer = ask(control, "g1", {"u-primary": ConnectionDemand(1, 0)})
    assert_that(answer.demand, Equals({"u-primary": ConnectionDemand(5, 3)}))


def test_control_tells_the_others_soon_of_gateways_that_started():
    """Pattern: all processes start together, and each data centre hears of the others' gateways.

    With a share each second, gateways opened connections of their own before holders were chosen.
    """
    control = coordinated_control()
    control.run(1_000)
    ask(control, "g1", {})
    control.shares.clear()
    control.run(220)
    assert_that(max(share.gateways for _, share in control.shares), Equals(1))
    control.run(700)
    assert_that(len(control.shares), LessThan(7))


def test_nothing_is_told_where_openings_are_not_coordinated():
    """Pattern: a deployment whose settings don't call for it sends the messages as before."""
    control = leading_control()
    answer = ask(control, "g1", {"u-primary": ConnectionDemand(1, 1)})
    assert_that(answer.demand, Equals(None))
    assert_that(control.state.directory_state.demand, Equals({}))
    gateway = ready_gateway()
    poll(gateway)
    assert_that(gateway.messages[-1].message.demand, Equals({}))
