"""The order in which queued requests of tenants are served."""

import pytest
from endivewick_core.gateway import fair_queue
from endivewick_core.gateway.state import (
    GatewaySettings,
    GatewayState,
    Request,
    ServiceQueue,
    Session,
)
from endivewick_core.routes import Freshness, Tenant
from endivewick_core.statements import Statement, StatementKind
from gateway_driver import CONTROL, REGIONS, configuration, route
from testtools.assertions import assert_that
from testtools.matchers import Equals

TENANTS = {
    "urgent": Tenant("urgent", 0, None, 0.0),
    "hot": Tenant("hot", 1, None, 0.0),
    "alice": Tenant("alice", 1, None, 0.0),
    "bob": Tenant("bob", 1, None, 0.0),
}
READ = Statement(StatementKind.READ, "r", "read a")


class Queue:
    """The queue of one service, with requests of a route of the primary."""

    def __init__(self, tenants=TENANTS, limit=500):
        settings = GatewaySettings("g", "b", "dc-a", REGIONS, [CONTROL], queue_limit=limit)
        self.state = GatewayState(settings, configuration(tenants=tenants))
        self.queue = self.state.queues["orders"] = ServiceQueue()
        self.session = Session(1, "strict")

    def request(self, tenant, priority=1):
        self.state.next_serial += 1
        strict = route("strict", Freshness.PRIMARY, priority=priority)
        request = Request(1, READ, strict, 0, 1_000, self.state.next_serial)
        request.tenant = tenant
        return request

    def add(self, *tenants, priority=1):
        for tenant in tenants:
            self.put(self.request(tenant, priority))

    def put(self, request):
        fair_queue.add(self.state, self.queue, self.session, request)
        self.state.queued += 1

    def order(self):
        return [item.tenant for item in sorted(self.queue.primary)]

    def take(self, is_served=True):
        item = min(self.queue.primary)
        self.queue.primary.remove(item)
        fair_queue.note_removed(item, is_served)
        return item.request


@pytest.fixture
def queue():
    return Queue()


def test_a_hot_tenant_waits_behind_its_own_requests(queue):
    queue.add("hot", "hot", "hot", "hot", "alice", "bob", "alice")
    expected = ["hot", "alice", "bob", "hot", "alice", "hot", "hot"]
    assert_that(queue.order(), Equals(expected))


def test_a_tenant_that_begins_to_wait_is_not_behind_the_backlog_of_another(queue):
    queue.add(*["hot"] * 10)
    for _ in range(4):
        queue.take()
    queue.add("alice")
    assert_that(queue.order().index("alice"), Equals(0))


def test_a_tenant_with_one_request_at_a_time_does_not_starve_others(queue):
    """Each of its requests would otherwise take the turn of the one before."""
    queue.add("bob", "bob", "bob", "alice")
    served = []
    for _ in range(6):
        tenant = queue.take().tenant
        served.append(tenant)
        if tenant == "alice":
            queue.add("alice")
    assert_that(served, Equals(["bob", "alice", "bob", "alice", "bob", "alice"]))


def test_priorities_go_before_turns(queue):
    queue.add("hot", "hot", "alice")
    queue.add("urgent", "urgent")
    queue.add("bob", priority=0)
    expected = ["bob", "urgent", "urgent", "hot", "alice", "hot"]
    assert_that(queue.order(), Equals(expected))


def test_public_sessions_go_last(queue):
    queue.add("public", "hot", "hot")
    assert_that(queue.order(), Equals(["hot", "hot", "public"]))


def test_a_request_that_is_queued_again_keeps_its_turn(queue):
    """An upstream that refused it must not cost it its place."""
    queue.add("alice", "alice", "alice", "bob")
    again = queue.take()
    queue.put(again)
    assert_that(min(queue.queue.primary).request, Equals(again))


def test_turns_of_requests_that_were_not_served_are_free_again(queue):
    """After its requests timed out a tenant would otherwise wait for as many turns."""
    queue.add(*["hot"] * 10, "alice", "alice", "alice")
    for item in [one for one in queue.queue.primary if one.tenant == "hot"]:
        queue.queue.primary.remove(item)
        fair_queue.note_removed(item)
    queue.add("hot")
    assert_that(queue.order(), Equals(["alice", "alice", "hot", "alice"]))


def test_one_tenant_leaves_space_in_the_queue_for_others():
    queue = Queue(limit=20)
    while fair_queue.has_space(queue.state, queue.session, queue.request("hot")):
        queue.add("hot")
    assert_that(queue.state.queued, Equals(10))
    space = fair_queue.has_space(queue.state, queue.session, queue.request("alice"))
    assert_that(space, Equals(True))


def test_without_tenants_the_order_is_by_priority_and_age():
    queue = Queue(tenants=None, limit=4)
    old = queue.request("")
    queue.add("", "")
    queue.put(old)
    queue.add("", priority=0)
    serials = [item.serial for item in sorted(queue.queue.primary)]
    assert_that(serials, Equals([5, 2, 3, 4]))
    space = fair_queue.has_space(queue.state, queue.session, queue.request(""))
    assert_that(space, Equals(False))
