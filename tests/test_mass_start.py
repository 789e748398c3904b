"""Pattern: all processes end at once and start together; clients wait for the slowest step.

Seen on the closing faults of tsegaye-lunch: gateways polled a control process that was not up for
700 ms, and a report that one control process received before it was connected to the others
reached them a second later.
"""

import subprocess
import sys
from pathlib import Path

import pytest
from control_driver import ADDRESSES, leading_control, peer
from endivewick_core.control import events as ce
from endivewick_core.control.state import Role
from endivewick_core.gateway import events as ev
from endivewick_core.gateway.state import GatewaySettings, GatewayState
from endivewick_core.messages import DirectoryQuestion, DirectoryShare, VoteRequest
from endivewick_core.replicated_state import StoredConfiguration
from gateway_driver import REGIONS, Gateway, configuration, ready_gateway, report
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan

ROOT = Path(__file__).parent.parent
SEEDS = ["10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"]


def polls(gateway):
    return [item for item in gateway.messages if isinstance(item.message, DirectoryQuestion)]


def fail_delivery(gateway):
    """Let the newest poll find its control process unconnected."""
    poll = polls(gateway)[-1]
    gateway.handle(ev.MessageUndelivered(gateway.now_ms, poll.address, poll.message))


def test_a_gateway_that_starts_tries_every_control_process_that_may_be_up():
    settings = GatewaySettings("10.0.0.9:7000", "b", "dc-a", REGIONS, SEEDS)
    gateway = Gateway(GatewayState(settings))
    gateway.tick()
    started_ms = gateway.now_ms
    for _ in range(3):
        fail_delivery(gateway)
        gateway.tick(30)
    assert_that({item.address for item in polls(gateway)}, Equals(set(SEEDS)))
    assert_that(gateway.now_ms - started_ms, LessThan(200))


def test_a_gateway_leaves_a_control_process_that_is_not_connected_before_its_timeout():
    gateway = ready_gateway()
    gateway.tick(300)
    gateway.answer_poll(controls=[peer(ADDRESSES[0]), peer(ADDRESSES[1])])
    gateway.tick(300)
    before = polls(gateway)[-1].address
    fail_delivery(gateway)
    gateway.tick(100)
    assert_that(polls(gateway)[-1].address, Equals(before))
    fail_delivery(gateway)
    gateway.tick(20)
    assert_that(polls(gateway)[-1].address == before, Equals(False))


def test_a_gateway_polls_often_until_it_knows_each_primary():
    settings = GatewaySettings("10.0.0.9:7000", "b", "dc-a", REGIONS, SEEDS)
    gateway = Gateway(GatewayState(settings))
    gateway.tick()
    gateway.handle(ev.ConfigurationReceived(gateway.now_ms, configuration()))
    gateway.messages[-1] = gateway.messages[-1]._replace(address="10.0.0.1:7000")
    gateway.answer_poll([report("u-replica")])
    before = len(polls(gateway))
    for _ in range(10):
        gateway.tick(50)
    assert_that(len(polls(gateway)) - before >= 4, Equals(True))


def test_a_control_process_that_starts_is_sent_the_recent_reports_at_once():
    control = leading_control()
    control.run(3_000)
    control.deaf = {ADDRESSES[1]}
    control.run(3_000)
    control.shares.clear()
    share = DirectoryShare(peer(ADDRESSES[1]), 0, [], [], 0, [], {})
    control.handle(ce.MessageReceived(control.now_ms, share))
    address, answer = control.shares[-1]
    assert_that(address, Equals(ADDRESSES[1]))
    assert_that([item.report.upstream for item in answer.reports], Contains("u-primary"))
    control.shares.clear()
    control.handle(ce.MessageReceived(control.now_ms, share))
    assert_that(control.shares, Equals([]))


def test_a_pre_vote_that_failed_is_repeated_soon():
    """The other voters lost contact to the leader some milliseconds later, or aren't connected.

    Seen on trouble-1 of tsegaye-lunch: 1,760 ms from a leader's freeze to the next leader, and
    1,420 ms from the start of all processes to the first.
    """
    control = leading_control()
    state = control.state
    state.role, state.leader_state, state.leader = Role.FOLLOWER, None, ""
    state.election_due_ms = control.now_ms
    control.replies.clear()
    control.run(state.settings.election_timeout_ms)
    requests = [item.message for item in control.replies if isinstance(item.message, VoteRequest)]
    pre_votes = [item for item in requests if item.pre_vote]
    assert_that(len(pre_votes) >= 2 * 2, Equals(True))


def test_a_control_process_connects_to_upstreams_before_it_knows_the_configuration():
    """After a restart it learns the configuration only with the next leader."""
    control = leading_control()
    control.state.replicated_state.configuration = StoredConfiguration(0, [], b"")
    for name in list(control.upstreams):
        control.break_connections(name)
    control.run(600)
    assert_that(set(control.connections.values()), Equals(set(control.upstreams)))


@pytest.mark.parametrize("role", ["gateway_role", "control_role"])
def test_a_start_loads_no_library_that_its_role_does_not_need(role):
    """Importing pydantic and statsd took a third of a control process's start."""
    code = (
        f"import sys; sys.path.insert(0, {str(ROOT / 'platform')!r}); "
        f"import endivewick_platform.{role}; "
        "print([name for name in ('pydantic', 'statsd') if name in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert_that(done.stdout.strip(), Equals("[]"))
