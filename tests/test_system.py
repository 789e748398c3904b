"""The real processes: the demo's session, endivewickctl, planned stops, restarts, TLS and keys.

Nothing here asserts a time: limits only end a run that hangs.
"""

import json
import ssl
import subprocess
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import trio
import trustme
from endivewick_bench import cluster as cl
from endivewick_bench import demo
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

CTL = Path(sys.executable).parent / "endivewickctl"
LIMIT_S = 60.0
TLS_RUN = 7  # the number of its network


@asynccontextmanager
async def system(number, **options):
    """Run the small system on a loopback network that no other test or checkout uses."""
    async with cl.running(cl.SMALL, net=cl.default_net(number), **options) as cluster:
        yield cluster


async def ctl(cluster, *words):
    """Run endivewickctl; return its exit code and what it printed."""
    control = ",".join(cluster.operator_addresses.values())
    command = [str(CTL), f"--control={control}", *words]
    run = await trio.run_process(command, check=False, capture_stdout=True, capture_stderr=True)
    return run.returncode, run.stdout.decode() + run.stderr.decode()


def write(cluster, name, content):
    path = cluster.folder / name
    path.write_text("// a contract\n" + json.dumps(content))
    return str(path)


def test_session_through_the_whole_system():
    async def run():
        async with system(1) as cluster:
            await cl.put_contract(cluster, demo.CUSTOMER, demo.CONTRACT, "demo-1")
            await cl.wait_serving(cluster, demo.CUSTOMER)
            await demo.session(cluster)
            await refuses_bad_input(cluster)

    async def refuses_bad_input(cluster):
        address = cluster.proxy_addresses["proxy-3"]
        read = {"customer": demo.CUSTOMER, "kind": "read", "statement": {"op": "get", "key": "k"}}
        write = {**read, "kind": "write", "request_id": "my own id"}
        for body, token, error in (
            (read, "nonsense", "token_invalid"),
            ({**read, "customer": "nobody"}, None, "unknown_customer"),
            (write, None, "request_id_invalid"),
            ({**read, "transaction": "main:0:99"}, None, "transaction_lost"),
            ({**read, "transaction": "x"}, None, "transaction_unknown"),
            ({**read, "statement": {"op": "fail"}}, None, "upstream_error"),
        ):
            reply = await cl.call(address, "POST", "/v1/statements", body, token)
            assert_that((reply.body.get("error"), error), Equals((error, error)))
            reply = await cl.call(address, "POST", "/v1/statements", read)
            assert_that(reply.status, Equals(200))

    trio.run(run)


def test_endivewickctl():
    async def run():
        async with system(2) as cluster:
            good = write(cluster, "good.json", demo.CONTRACT)
            other = write(cluster, "other.json", {**demo.CONTRACT, "connections": 9})
            bad = write(cluster, "bad.json", {"group": 5})
            put = ("contract", "put", "farms")
            code, text = await ctl(cluster, *put, good, "--wait", "--change_id=one")
            assert_that((code, "in force at 6 proxies" in text), Equals((0, True)))
            code, text = await ctl(cluster, *put, good, "--change_id=one", "--json")
            assert_that((code, json.loads(text)["version"]), Equals((0, 1)))
            code, text = await ctl(cluster, *put, other, "--replaces=0")
            assert_that((code, '"connections": 8' in text), Equals((3, True)))
            code, text = await ctl(cluster, *put, other, "--change_id=one")
            assert_that((code, "change_id_reused" in text), Equals((3, True)))
            code, text = await ctl(cluster, *put, bad)
            assert_that((code, "max_staleness_ms: Field required" in text), Equals((1, True)))
            code, text = await ctl(cluster, "contract", "diff", "farms", other)
            assert_that((code, '+  "connections": 9' in text), Equals((0, True)))
            code, text = await ctl(cluster, "contract", "get", "nobody")
            assert_that((code, "unknown_customer" in text), Equals((1, True)))
            code, text = await ctl(cluster, "upstream", "stop", "none")
            assert_that(
                (code, "known upstreams: main-1, main-2, main-3" in text), Equals((1, True))
            )
            code, text = await ctl(cluster, "contract", "forget", "farms")
            assert_that(code, Equals(2))
            code, text = await ctl(cluster, "status")
            assert_that(text, Contains("proxy-6"))

    trio.run(run)


def test_ctl_without_any_control_process():
    run = subprocess.run(
        [CTL, "--control=127.0.0.1:9", "contract", "list"], capture_output=True, timeout=LIMIT_S
    )
    assert_that(run.returncode, Equals(4))


def test_stopped_upstream_gets_no_new_work_and_returns():
    async def run():
        async with system(3) as cluster:
            await cl.put_contract(cluster, demo.CUSTOMER, demo.CONTRACT, "stop-1")
            await cl.wait_serving(cluster, demo.CUSTOMER)
            code, _ = await ctl(cluster, "upstream", "stop", "main-1", "--wait")
            assert_that(code, Equals(0))
            reply = None
            with trio.fail_after(LIMIT_S):
                while reply is None or reply.body.get("upstream") in (None, "main-1"):
                    reply = await demo.statement(
                        cluster, "proxy-1", "", "write", op="set", key="k", value=1
                    )
            assert_that(reply.body["term"], Equals(2))
            code, _ = await ctl(cluster, "upstream", "start", "main-1", "--wait")
            assert_that(code, Equals(0))

    trio.run(run)


def test_planned_stop_of_every_proxy_in_turn_cuts_off_no_request():
    async def run():
        async with system(4, proxy={"balancer_grace_ms": 300}) as cluster:
            await cl.put_contract(cluster, demo.CUSTOMER, demo.CONTRACT, "drain-1")
            await cl.wait_serving(cluster, demo.CUSTOMER)
            failed = []
            async with trio.open_nursery() as nursery:
                for name in ("proxy-1", "proxy-2", "proxy-3"):
                    done = trio.Event()
                    others = [item for item in cluster.proxy_addresses if item > name]
                    for entry in others[:2]:
                        nursery.start_soon(write_until, cluster, entry, done, failed)
                    code, _ = await ctl(cluster, "drain", name)
                    assert_that(code, Equals(0))
                    code = await cluster.processes[name].wait(LIMIT_S)
                    done.set()
                    assert_that(code, Equals(0))
            assert_that(failed, Equals([]))

    async def write_until(cluster, entry, done, failed):
        serial = 0
        while not done.is_set():
            serial += 1
            reply = await demo.statement(
                cluster, entry, "", "write", op="set", key=entry, value=serial
            )
            if reply is None or reply.status != 200:
                failed.append(reply)

    trio.run(run)


def test_changes_survive_a_kill_of_every_process():
    async def run():
        async with system(5, control={"snapshot_entries": 20}) as cluster:
            for version in range(60):
                contract = {**demo.CONTRACT, "connections": 1 + version}
                reply = await cl.put_contract(cluster, "farms", contract, f"c-{version}", version)
                assert_that(reply.body.get("version"), Equals(version + 1), str(reply))
            for name in cluster.settings:
                cluster.processes[name].kill()
            for name in cluster.settings:
                cluster.processes[name].start()
            reply = await cl.call_leader(cluster, "GET", "/v1/contracts/farms")
            assert_that(reply.body["contract"]["connections"], Equals(60))
            reply = await cl.put_contract(cluster, "farms", demo.CONTRACT, "c-59", 59)
            assert_that(reply.body["error"], Equals("change_id_reused"))
            await cl.wait_serving(cluster, "farms")

    trio.run(run)


async def in_every_log(cluster, leader, voters):
    """Wait until the other members have a membership with so many voters.

    The leader says that a member votes when it proposes it. Until others have the change, two
    voters remain without it, and the loss of the leader leaves them waiting for its return:
    test_a_membership_that_only_the_leader_has_waits_for_its_return shows that.
    """
    for name, address in cluster.operator_addresses.items():
        while name != leader:
            reply = await cl.call(address, "GET", "/v1/status")
            if reply is not None and len(reply.body["voters"]) == voters:
                break
            await trio.sleep(cl.POLL_S)


def test_wiped_member_joins_under_a_new_identity():
    async def run():
        async with system(6) as cluster:
            await cl.put_contract(cluster, "farms", demo.CONTRACT, "w-1")
            status = await cl.leader_status(cluster)
            name = next(item for item in status["voters"] if item != status["leader"])
            cluster.processes[name].kill()
            for path in (cluster.folder / name).iterdir():
                path.unlink()
            cluster.processes[name].start()
            log = cluster.folder / f"{status['leader']}.log"
            with trio.fail_after(LIMIT_S):
                while log.read_text().count("has caught up and becomes a voter") < 3:
                    await trio.sleep(cl.POLL_S)
                await in_every_log(cluster, status["leader"], voters=3)
            cluster.processes[status["leader"]].kill()
            reply = await cl.call_leader(cluster, "GET", "/v1/contracts/farms")
            assert_that(reply.status, Equals(200))

    trio.run(run)


@pytest.fixture
def certificate(tmp_path):
    authority = trustme.CA()
    hosts = [f"{cl.default_net(TLS_RUN)}.{number}" for number in (1, 101, 102, 103)]
    issued = authority.issue_cert(*hosts)
    issued.private_key_pem.write_to_path(tmp_path / "key.pem")
    issued.cert_chain_pems[0].write_to_path(tmp_path / "certificate.pem")
    authority.cert_pem.write_to_path(tmp_path / "authority.pem")
    return tmp_path


async def without_tls(host):
    """Return what a process that wants TLS answers to a plain request."""
    plain = await trio.open_tcp_stream(host, 8000)
    try:
        await plain.send_all(b"GET /v1/health HTTP/1.1\r\n\r\n")
        return await plain.receive_some()
    except trio.BrokenResourceError:
        return b""


def test_tls_and_operator_key(certificate):
    """Operators and callers over TLS; without the key operators are refused."""
    key = "a long operator key"
    tls = {
        "certificate_file": str(certificate / "certificate.pem"),
        "key_file": str(certificate / "key.pem"),
    }

    async def run():
        folder = certificate / "run"
        folder.mkdir()
        net = cl.default_net(TLS_RUN)
        cluster = cl.create_cluster(cl.SMALL._replace(proxies=1), folder, net)
        for name, settings in cluster.settings.items():
            settings["tls"] = tls
            settings["operator_key"] = key
            cl.write_settings(cluster, name)
        (folder / "key").write_text(key + "\n")
        flags = (f"--ca_file={certificate / 'authority.pem'}", f"--key_file={folder / 'key'}")
        try:
            for name in cluster.settings:
                cluster.processes[name].start()
            with trio.fail_after(LIMIT_S):
                while (await ctl(cluster, *flags, "bootstrap"))[0] != 0:
                    await trio.sleep(cl.POLL_S)
            contract = write(cluster, "c.json", demo.CONTRACT)
            code, text = await ctl(cluster, *flags, "contract", "put", "farms", contract, "--wait")
            assert_that((code, text), Equals((0, text)))
            code, text = await ctl(cluster, flags[0], "contract", "list")
            assert_that((code, "unauthorized" in text), Equals((1, True)))
            code, text = await ctl(cluster, flags[0], "drain", "proxy-1")
            assert_that((code, "unauthorized" in text), Equals((1, True)))
            context = ssl.create_default_context(cafile=str(certificate / "authority.pem"))
            host = f"{net}.1"
            stream = await trio.open_ssl_over_tcp_stream(host, 8000, ssl_context=context)
            await stream.send_all(b"GET /v1/health HTTP/1.1\r\n\r\n")
            assert_that(await stream.receive_some(), Contains(b'"healthy":true'))
            assert_that(await without_tls(host), Equals(b""))
        finally:
            cl.stop_all(cluster)

    trio.run(run)
