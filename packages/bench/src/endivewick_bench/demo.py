"""The demo: the whole system on loopback, one session through it, each answer checked.

``ONCE=1`` in the environment ends the demo by itself, with exit code 0 only if each answer was
right; otherwise the system runs on until it is interrupted.
"""

import os
import sys
from typing import Any

import trio

from . import cluster as cl
from .cluster import Cluster
from .http_client import Reply

CONTRACT = {
    "group": "main",
    "max_staleness_ms": 2_000,
    "connections": 8,
    "surge_share": 0.5,
}
CUSTOMER = "delta-farms"
STEP_TIMEOUT_S = 20.0


class StepFailed(Exception):
    """An answer of the demo was not the right one."""


def show(step: str, reply: Reply | None) -> dict[str, Any]:
    """Print a step with what its answer says."""
    if reply is None:
        raise StepFailed(f"{step}: no answer")
    body = reply.body
    seen = [f"{key}={body[key]}" for key in ("upstream", "role", "term", "position") if key in body]
    value = f"value={_value(body)}" if "value" in body else f"{body}"
    print(f"  {step:<58} {reply.status} {' '.join(seen)} {value}", flush=True)
    return body


def _value(body: dict[str, Any]) -> Any:
    """Return the value of a key from the stand-in's answer."""
    return body["value"]["value"] if isinstance(body.get("value"), dict) else None


def expect(step: str, holds: bool) -> None:
    """Fail the demo where a step's answer is wrong."""
    if not holds:
        raise StepFailed(f"{step}: wrong answer")


async def statement(
    cluster: Cluster, proxy: str, token: str, kind: str, **statement: Any
) -> Reply | None:
    """Send one statement through a proxy."""
    body = {"customer": CUSTOMER, "kind": kind, "statement": statement}
    return await cl.call(cluster.proxy_addresses[proxy], "POST", "/v1/statements", body, token)


async def session(cluster: Cluster) -> None:
    """Write through one proxy, read through others, and see a change of primary."""
    reply = await statement(cluster, "proxy-1", "", "write", op="set", key="anchor", value="sound")
    body = show("write through proxy-1", reply)
    expect("write", reply is not None and reply.status == 200 and body["role"] == "primary")
    assert reply is not None
    token = reply.token
    reply = await statement(cluster, "proxy-4", token, "read", op="get", key="anchor")
    body = show("read its own write through proxy-4, at once", reply)
    expect("read", _value(body) == "sound")
    await until_replica_serves(cluster, token)
    await switch_primary(cluster, token)


async def until_replica_serves(cluster: Cluster, token: str) -> None:
    """Read until a replica has caught up with the session."""
    with trio.fail_after(STEP_TIMEOUT_S):
        while True:
            reply = await statement(cluster, "proxy-6", token, "read", op="get", key="anchor")
            if reply is not None and reply.body.get("role") == "replica":
                break
            await trio.sleep(cl.POLL_S)
    body = show("read it through proxy-6, from a replica", reply)
    expect("replica read", _value(body) == "sound")


async def switch_primary(cluster: Cluster, token: str) -> None:
    """Kill the primary and write again, in a newer term."""
    cluster.processes["main-1"].kill()
    print("  (kills the primary main-1)", flush=True)
    with trio.fail_after(STEP_TIMEOUT_S):
        while True:
            reply = await statement(
                cluster, "proxy-2", token, "write", op="set", key="anchor", value="replaced"
            )
            if reply is not None and reply.status == 200:
                break
            await trio.sleep(cl.POLL_S)
    body = show("write through proxy-2, by the new primary", reply)
    expect("write after failover", body["term"] > 1)
    assert reply is not None
    reply = await statement(cluster, "proxy-5", reply.token, "read", op="get", key="anchor")
    body = show("read it through proxy-5", reply)
    expect("read after failover", _value(body) == "replaced")


async def demo(once: bool) -> None:
    """Run the demo."""
    async with cl.running(cl.SMALL) as cluster:
        print(f"system of {len(cluster.settings)} endivewickd processes runs", flush=True)
        reply = await cl.put_contract(cluster, CUSTOMER, CONTRACT, "demo-1")
        body = show(f"operator puts the contract of {CUSTOMER}", reply)
        expect("contract", reply.status == 200 and body["version"] == 1)
        await cl.wait_serving(cluster, CUSTOMER)
        await session(cluster)
        print("every answer was right", flush=True)
        if once:
            return
        print("the system runs on; interrupt to end it")
        for name, address in cluster.proxy_addresses.items():
            print(f"  {name}: {address}")
        await trio.sleep_forever()


def main() -> None:
    """Run the demo as a command."""
    try:
        trio.run(demo, os.environ.get("ONCE") == "1")
    except* StepFailed as group:
        print(f"the demo failed: {group.exceptions[0]}", file=sys.stderr)
        sys.exit(1)
    except* KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    main()
