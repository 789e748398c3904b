"""The commands for upstreams: start, stop and list."""

from .changes import send_change, show_change
from .client import Target, request_leader
from .exceptions import REFUSED, CommandFailed
from .render import print_json, print_table

UPSTREAM_COLUMNS = (
    "name",
    "group",
    "address",
    "data_centre",
    "slots",
    "connection_cap",
    "wanted",
    "version",
)


def set_wanted(
    target: Target, name: str, wanted: str, change_id: str, wait: bool, as_json: bool
) -> None:
    """Start or stop an upstream; a stopped upstream gets no new work."""
    upstreams = request_leader(target, "GET", "/v1/upstreams")["upstreams"]
    known = [row for row in upstreams if row["name"] == name]
    if not known:
        names = ", ".join(sorted(row["name"] for row in upstreams)) or "none yet"
        message = f"no upstream {name} has registered"
        raise CommandFailed(REFUSED, message, f"known upstreams: {names}")
    content = {"replaces_version": known[0]["version"], "wanted": wanted}
    answer = send_change(target, f"/v1/upstreams/{name}", content, change_id, wait)
    show_change(f"{name} {wanted}", answer, as_json)


def list_all(target: Target, as_json: bool) -> None:
    """List the upstreams that have registered."""
    answer = request_leader(target, "GET", "/v1/upstreams")
    if as_json:
        print_json(answer)
        return
    print_table(answer["upstreams"], UPSTREAM_COLUMNS)
