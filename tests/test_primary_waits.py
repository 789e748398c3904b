"""Failovers that wait for commits: what control tells, and what gateways refuse meanwhile.

Pattern (day of review/2 on ndmag-pool): a primary crashes after the only copy of its newest commits
has departed. Control waits for the primary, and all its clients would wait with it, one statement
timeout after the other.
"""

import pytest
from control_driver import ADDRESSES, SERVICE
from endivewick_core.control import events as ce
from endivewick_core.messages import (
    PrimaryLeaseAnswer,
    PrimaryLeaseQuestion,
    PrimaryWaitNote,
)
from endivewick_core.statements import Fault, StatementKind
from gateway_driver import PRIMARY, REPLICA, ready_gateway
from replicated_service import GATEWAYS
from test_promotions_keep_commits import (
    CRASH_LIMIT_MS,
    assert_serves_within,
    instances,
    lose_the_only_copy,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan, Not

K = StatementKind


def told_waits(service, asker=GATEWAYS[0]):
    """Return the waits in the answer to a gateway's poll, or to another control process."""
    answers = []
    follow = service._follow

    def record(effect):
        if effect.address == asker and isinstance(effect.message, PrimaryLeaseAnswer):
            answers.append(effect.message)
        return follow(effect)

    service._follow = record
    if asker in GATEWAYS:
        service._poll(asker)
    else:
        question = PrimaryLeaseQuestion(asker, 1)
        service.handle(ce.MessageReceived(service.now_ms, question))
    service._follow = follow
    return answers[-1].waits


# Guards against gateways that are not told of a failover which waits for commits.
def test_gateways_and_control_processes_are_told_of_a_wait_for_commits(service):
    primary, _, _ = instances(service)
    assert_that(told_waits(service), Equals([]))
    lose_the_only_copy(service)
    service.run_until(lambda: "commits_missing" in service.log_event_names, CRASH_LIMIT_MS)
    service.run(1_000)
    (wait,) = told_waits(service)
    assert_that(wait.service, Equals(SERVICE))
    assert_that(wait.waited_ms, GreaterThan(900))
    assert_that(wait.left_ms, LessThan(30_000))
    assert_that(told_waits(service, ADDRESSES[1]), Equals([wait]))
    service.come_back(primary)
    assert_serves_within(service, CRASH_LIMIT_MS)
    assert_that(told_waits(service), Equals([]))


# Guards against statements that are refused in a plain change of primary, which takes seconds.
def test_a_plain_change_of_primary_is_no_wait(service):
    primary, _, _ = instances(service)
    service.crash(primary)
    for _ in range(200):
        service.run(20)
        assert_that(told_waits(service), Equals([]))


# Guards against gateways of a control process that doesn't lead being told nothing, or for ever.
def test_a_control_process_passes_on_what_its_leader_told(service):
    service.make_follower(ADDRESSES[1])
    service.run(200)
    sequence = service.state.primary_leases.sequence
    answer = PrimaryLeaseAnswer(sequence, [], [PrimaryWaitNote(SERVICE, 2_000, 5_000)])
    service.handle(ce.MessageReceived(service.now_ms, answer))
    service.run(500)
    assert_that(told_waits(service), Equals([PrimaryWaitNote(SERVICE, 2_500, 4_500)]))
    service.run(1_000)
    assert_that(told_waits(service), Equals([]))


@pytest.fixture
def waiting_gateway():
    """Return a gateway whose primary has crashed, with leases that have ended."""
    gateway = ready_gateway()
    gateway.state.settings = gateway.state.settings._replace(commits_need_leases=True)
    gateway.grant_lease(left_ms=100)
    for number in [item.number for item in gateway.state.pools[PRIMARY].connections.values()]:
        gateway.break_connection(number)
    gateway.tick(300)
    return gateway


def faults(gateway):
    return [answer.error and answer.error.fault for answer in gateway.answers]


# Guards against statements that wait for their timeout although control knows of no primary.
def test_statements_that_need_the_primary_are_refused_during_a_wait(waiting_gateway):
    gateway = waiting_gateway
    for number in range(4):
        gateway.session(number, "strict")
    queued = [gateway.send(0, K.READ), gateway.send(1, K.WRITE)]
    assert_that(gateway.answers, Equals([]))
    gateway.tell_wait(waited_ms=3_000)
    assert_that(faults(gateway), Equals([Fault.BUSY] * 2))
    gateway.send(2, K.WRITE)
    gateway.send(3, K.READ)
    assert_that(faults(gateway), Equals([Fault.BUSY] * 4))
    for request in queued:
        assert_that(gateway.find_sent(request), Is(None))


# Guards against clients that return together, or long before the wait is over.
def test_refused_clients_return_spread_out(waiting_gateway):
    gateway = waiting_gateway
    gateway.tell_wait(waited_ms=4_000)
    for number in range(64):
        gateway.session(number, "strict")
        gateway.send(number, K.WRITE)
    returns_ms = [answer.error.retry_after_ms for answer in gateway.answers]
    assert_that(min(returns_ms), Equals(4_000))
    assert_that(max(returns_ms), LessThan(6_000))
    assert_that(len(set(returns_ms)), GreaterThan(10))


# Guards against reads that are refused although a replica is fresh enough for them.
def test_reads_that_a_replica_may_serve_go_on_during_a_wait(waiting_gateway):
    gateway = waiting_gateway
    gateway.tell_wait(waited_ms=3_000)
    gateway.session(1, "bounded")
    read = gateway.find_sent(gateway.send(1, K.READ))
    assert_that(read.upstream, Equals(REPLICA))
    assert_that(faults(gateway), Equals([]))


# Guards against a read that is refused, although the gateway reaches the primary: only control is
# cut off from it.
def test_reads_at_a_primary_that_answers_go_on_during_a_wait():
    gateway = ready_gateway()
    gateway.tell_wait(waited_ms=3_000)
    gateway.session(1, "strict")
    read = gateway.find_sent(gateway.send(1, K.READ))
    assert_that(read.upstream, Equals(PRIMARY))


# Guards against refusals that go on once a primary leads, or once control is silent.
def test_statements_wait_again_after_a_wait_has_ended(waiting_gateway):
    gateway = waiting_gateway
    gateway.tell_wait(waited_ms=3_000)
    gateway.tick(300)
    gateway.grant_lease()
    gateway.session(1, "strict")
    write = gateway.send(1, K.WRITE)
    gateway.tick(300)
    gateway.open_all()
    assert_that(gateway.find_sent(write), Not(Is(None)))


def test_statements_wait_again_where_control_has_been_silent(waiting_gateway):
    gateway = waiting_gateway
    gateway.tell_wait(waited_ms=3_000)
    gateway.tick(1_500)
    gateway.session(1, "strict")
    gateway.send(1, K.READ)
    assert_that(faults(gateway), Equals([]))
