"""Hundreds of changes, then a restart of every process: the configuration and the time it took."""

from typing import Any

import trio
from absl import app, flags
from endivewick_node.clock import now_ms

from . import cluster as cl
from .output import refuse_words, show_result

_CHANGES = flags.DEFINE_integer("changes", 500, "How many changes.", upper_bound=10_000)
_OUT = flags.DEFINE_string("out", "", "A file for the result as JSON.")

CUSTOMER = "restarted"
CONTRACT = {"group": "main", "max_staleness_ms": 2_000, "connections": 8, "surge_share": 0.5}


async def measure(changes: int) -> dict[str, Any]:
    """Make the changes, kill every endivewickd process, start all, and wait for each proxy."""
    async with cl.running(cl.SMALL) as cluster:
        began_ms = now_ms()
        for version in range(changes):
            contract = {**CONTRACT, "connections": 1 + version % 50}
            await cl.put_contract(cluster, CUSTOMER, contract, f"change-{version}", version)
        changed_ms = now_ms() - began_ms
        before = await cl.call_leader(cluster, "GET", f"/v1/contracts/{CUSTOMER}")
        for name in cluster.settings:
            cluster.processes[name].kill()
        began_ms = now_ms()
        for name in cluster.settings:
            cluster.processes[name].start()
        after = await cl.call_leader(cluster, "GET", f"/v1/contracts/{CUSTOMER}")
        leader_ms = now_ms() - began_ms
        revisions = await _wait_revisions(cluster, before.body["revision"])
        confirmed_ms = now_ms() - began_ms
        await cl.wait_serving(cluster, CUSTOMER)
        same = [before.body[key] == after.body[key] for key in ("version", "contract")]
        return {
            "changes": changes,
            "changes_ms": changed_ms,
            "same_configuration": all(same) and before.body["version"] == changes,
            "proxies_at_revision": min(revisions) >= before.body["revision"],
            "leader_ms": leader_ms,
            "confirmed_everywhere_ms": confirmed_ms,
            "serving_ms": now_ms() - began_ms,
        }


async def _wait_revisions(cluster: cl.Cluster, revision: int) -> list[int]:
    with trio.fail_after(cl.READY_TIMEOUT_S):
        while True:
            replies = [
                await cl.call(address, "GET", "/v1/status")
                for address in cluster.proxy_addresses.values()
            ]
            revisions = [reply.body["revision"] if reply else 0 for reply in replies]
            if min(revisions) >= revision:
                return revisions
            await trio.sleep(cl.POLL_S)


def main(arguments: list[str]) -> None:
    """Run the restart as a command."""
    refuse_words(arguments)
    show_result(trio.run(measure, _CHANGES.value), _OUT.value)


if __name__ == "__main__":
    app.run(main)
