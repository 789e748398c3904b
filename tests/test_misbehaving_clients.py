"""Clients that do not behave, against the real processes.

Each test checks that the process lives, that its peak resident memory and its open descriptors stay
within the limits of its settings, and that it answers one ordinary request afterwards. The crowds
and limits are those of the commit that added this file. They run one at a time:
``python -m pytest -n 0 -m alone``.
"""

import sys
from pathlib import Path

import pytest
import trio
import zmq
from testtools.assertions import assert_that
from testtools.matchers import Equals

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "platform"))

import misbehaving_crowd as mc  # noqa: E402

pytestmark = pytest.mark.alone

MEMORY_MB = 128  # three times what a process needs without load
MAX_FDS = 600
PROXY_MEMORY_MB = 200  # its settings have no limit; the smallest VM has so much
LARGE_BYTES = 900_000  # below the limit of a message, 1 MiB
MESSAGE_LIMIT_BYTES = 1_048_576
METRICS_PORT = 9464
MESSAGE_PORT = 7440
STARTUP = b"STARTUP session0 key\r\n"
LARGE = b"x" * LARGE_BYTES


def query(text, number=1):
    return b"QUERY r%d %s\r\n" % (number, text)


def on_platform(tmp_path, scenario):
    """Run a scenario on the platform's processes; expect that it reports no broken limit."""

    async def run():
        async with mc.running_platform(tmp_path, MEMORY_MB, MAX_FDS) as system:
            return await scenario(system)

    assert_that(trio.run(run), Equals([]))


def gateway_of(system):
    node = system.gateways["gateway-1"]
    return node.plan, mc.Watched(node.process, MEMORY_MB, MAX_FDS)


def controls_of(system):
    for node in system.controls.values():
        yield node.plan, mc.Watched(node.process, MEMORY_MB, MAX_FDS)


async def crowd_of_sessions(system, count, pieces):
    """Let sessions of a gateway send pieces and read nothing; then send one statement."""
    plan, watched = gateway_of(system)
    broken = await mc.run_crowd(watched, (plan.session_address, count, [STARTUP, *pieces]))
    if broken:
        return broken
    await mc.serve_one_statement(system)
    return watched.broken_limits()


def test_lines_that_never_end(tmp_path):
    """Each connection may hold a megabyte of an incomplete line, for ever."""

    async def scenario(system):
        return await crowd_of_sessions(system, 180, [b"QUERY r1 PUT key ", LARGE])

    on_platform(tmp_path, scenario)


def test_lines_that_never_end_and_exceed_the_limit(tmp_path):
    async def scenario(system):
        return await crowd_of_sessions(system, 20, [b"QUERY r1 PUT key ", *([LARGE] * 20)])

    on_platform(tmp_path, scenario)


def test_large_answers_that_nobody_reads(tmp_path):
    """The refusal repeats the name, so that each statement has an answer of the same size."""

    async def scenario(system):
        return await crowd_of_sessions(system, 60, [query(b"DEALLOC " + LARGE)] * 8)

    on_platform(tmp_path, scenario)


def test_large_statements_behind_one_without_an_answer(tmp_path):
    """A session may hold 32 statements of a megabyte while an upstream answers nothing."""

    async def scenario(system):
        upstreams = system.services[mc.SERVICE].upstreams.values()
        for upstream in upstreams:
            upstream.impairments.is_unresponsive = True
        plan, watched = gateway_of(system)
        pieces = [STARTUP, *([query(b"PUT key " + LARGE)] * 24)]
        broken = await mc.run_crowd(watched, (plan.session_address, 12, pieces))
        for upstream in upstreams:
            upstream.impairments.is_unresponsive = False
        if broken:
            return broken
        await mc.serve_one_statement(system)
        return watched.broken_limits()

    on_platform(tmp_path, scenario)


def test_large_prepared_statements(tmp_path):
    """One session may store 256 prepared statements of a megabyte."""
    pieces = [query(b"PREPARE p%d FETCH " % number + LARGE, number) for number in range(200)]

    async def scenario(system):
        return await crowd_of_sessions(system, 1, pieces)

    on_platform(tmp_path, scenario)


def test_prepared_statements_of_many_sessions(tmp_path):
    """Each session stores no more than one, of legal size."""

    async def scenario(system):
        return await crowd_of_sessions(system, 180, [query(b"PREPARE p FETCH " + LARGE)])

    on_platform(tmp_path, scenario)


def test_large_session_values(tmp_path):
    """One session may store 64 values of a megabyte."""
    pieces = [query(b"SET v%d " % number + LARGE, number) for number in range(60)]

    async def scenario(system):
        return await crowd_of_sessions(system, 4, pieces)

    on_platform(tmp_path, scenario)


def test_many_small_statements_that_nobody_reads_the_answers_of(tmp_path):
    async def scenario(system):
        return await crowd_of_sessions(system, 100, [query(b"ROLLBACK") * 2_000])

    on_platform(tmp_path, scenario)


def ports_of(system):
    """Return the addresses of the HTTP ports of a gateway and of a control process."""
    gateway, watched_gateway = gateway_of(system)
    control, watched_control = next(controls_of(system))
    return {
        "readiness": (gateway.readiness_address, "/readyz", watched_gateway),
        "metrics": (f"{gateway.ip}:{METRICS_PORT}", "/metrics", watched_gateway),
        "operators": (control.operator_address, "/config", watched_control),
        "control-metrics": (f"{control.ip}:{METRICS_PORT}", "/metrics", watched_control),
    }


HTTP_PORTS = ["readiness", "metrics", "operators", "control-metrics"]


def on_http_port(tmp_path, port, count, pieces):
    """Let a crowd send pieces to a port; then expect an answer to an ordinary request."""

    async def scenario(system):
        address, path, watched = ports_of(system)[port]
        broken = await mc.run_crowd(watched, (address, count, pieces))
        if broken:
            return broken
        await mc.get_until_served(address, path)
        await mc.serve_one_statement(system)
        return watched.broken_limits()

    on_platform(tmp_path, scenario)


@pytest.mark.parametrize("port", HTTP_PORTS)
def test_headers_that_never_end(tmp_path, port):
    pieces = [b"GET / HTTP/1.1\r\nx: ", *([LARGE] * 25)]
    on_http_port(tmp_path, port, 8, pieces)


@pytest.mark.parametrize("port", HTTP_PORTS)
def test_many_requests_in_one_piece(tmp_path, port):
    """Responses that call each other exceeded the depth of the stack and ended the process."""
    on_http_port(tmp_path, port, 4, [b"GET / HTTP/1.1\r\n\r\n" * 3_600])


@pytest.mark.parametrize("port", ["readiness", "operators"])
def test_bodies_that_stop_halfway(tmp_path, port):
    head = b"PUT /config HTTP/1.1\r\ncontent-length: 1000000\r\n\r\n"
    on_http_port(tmp_path, port, 180, [head, LARGE])


def test_configurations_that_nobody_reads(tmp_path):
    """The responses of one connection had no limit."""
    request = b"GET /config HTTP/1.1\r\nhost: x\r\n\r\n"

    async def scenario(system):
        body = system.wire.encode_configuration(system.configuration._replace(version=7))
        body["comment"] = "x" * LARGE_BYTES
        configuration = system.configuration._replace(version=7)
        assert await mc.put_configuration(system, configuration, body=body)
        for plan, watched in controls_of(system):
            broken = await mc.run_crowd(watched, (plan.operator_address, 10, [request * 30]))
            if broken:
                return broken
            await mc.get_until_served(plan.operator_address, "/config")
        await mc.serve_one_statement(system)
        return [item for _, watched in controls_of(system) for item in watched.broken_limits()]

    on_platform(tmp_path, scenario)


def test_a_flood_of_connections_to_a_gateway(tmp_path):
    """Only the port of the clients had a limit that the descriptors allow."""

    async def scenario(system):
        plan, watched = gateway_of(system)
        addresses = [
            plan.session_address,
            plan.readiness_address,
            f"{plan.ip}:{METRICS_PORT}",
            f"{plan.ip}:{MESSAGE_PORT}",
        ]
        broken = await mc.run_crowd(watched, *((address, 300, []) for address in addresses))
        if broken:
            return broken
        await mc.serve_one_statement(system)
        await mc.get_until_served(plan.readiness_address, "/readyz")
        return watched.broken_limits()

    on_platform(tmp_path, scenario)


def test_a_flood_of_connections_to_control(tmp_path):
    async def scenario(system):
        plan, watched = next(controls_of(system))
        addresses = [
            plan.operator_address,
            f"{plan.ip}:{METRICS_PORT}",
            f"{plan.ip}:{MESSAGE_PORT}",
        ]
        broken = await mc.run_crowd(watched, *((address, 700, []) for address in addresses))
        if broken:
            return broken
        await mc.get_until_served(plan.operator_address, "/config")
        await mc.serve_one_statement(system)
        return watched.broken_limits()

    on_platform(tmp_path, scenario)


def send_frame(address, size):
    """Send one frame of zeros to the port for messages between processes."""
    context = zmq.Context()
    try:
        dealer = context.socket(zmq.DEALER)
        dealer.setsockopt(zmq.LINGER, 3_000)
        dealer.connect(f"tcp://{address}")
        dealer.send_multipart((b"sender", bytes(size)))
        dealer.close()
    finally:
        context.term()


@pytest.mark.parametrize("role", ["gateway", "control"])
def test_a_message_between_processes_far_over_the_limit(tmp_path, role):
    async def scenario(system):
        plan, watched = gateway_of(system) if role == "gateway" else next(controls_of(system))
        await trio.to_thread.run_sync(send_frame, f"{plan.ip}:{MESSAGE_PORT}", 160_000_000)
        broken = watched.broken_limits()
        if broken:
            return broken
        await mc.serve_one_statement(system)
        return watched.broken_limits()

    on_platform(tmp_path, scenario)


def test_half_closed_connections(tmp_path):
    """The peer of a half-closed connection may stay for ever; its descriptor must not."""

    async def scenario(system):
        plan, watched = gateway_of(system)
        for _ in range(4):
            crowd = mc.Crowd()
            crowd.join(plan.session_address, 150, [STARTUP, query(b"FETCH key")])
            await trio.to_thread.run_sync(crowd.send, watched)
            crowd.half_close()
            await mc.serve_one_statement(system)
            crowd.close()
        return watched.broken_limits()

    on_platform(tmp_path, scenario)


def test_a_statement_of_the_largest_size_is_served_in_calm(tmp_path):
    """The limits must not refuse what is legal."""
    head, end = b"QUERY r1 PUT key1 ", b"\r\n"
    line = head + b"v" * (MESSAGE_LIMIT_BYTES - len(head)) + end

    async def scenario(system):
        plan, watched = gateway_of(system)
        answer = b""
        with trio.fail_after(mc.HANG_S):
            while b"DONE" not in answer:
                answer = await mc.exchange(plan.session_address, STARTUP + line, b"\r\nREADY I ")
        return watched.broken_limits()

    on_platform(tmp_path, scenario)


PROXY_CROWDS = {
    "headers": (8, [b"GET / HTTP/1.1\r\nx: ", *([LARGE] * 40)]),
    "pipelined": (4, [b"GET / HTTP/1.1\r\n\r\n" * 3_600]),
    "bodies": (
        300,
        [b"POST /v1/statements HTTP/1.1\r\ncontent-length: 1000000\r\n\r\n", LARGE],
    ),
}


@pytest.mark.parametrize("crowd", PROXY_CROWDS)
def test_a_crowd_at_the_proxy(crowd):
    async def run():
        async with mc.running_proxy() as cluster:
            address = cluster.proxy_addresses["proxy-1"]
            watched = mc.Watched(cluster.processes["proxy-1"], PROXY_MEMORY_MB, MAX_FDS)
            broken = await mc.run_crowd(watched, (address, *PROXY_CROWDS[crowd]))
            if broken:
                return broken
            await mc.get_until_served(address, "/v1/health")
            await mc.cl.wait_serving(cluster, mc.demo.CUSTOMER)
            return watched.broken_limits()

    assert_that(trio.run(run), Equals([]))
