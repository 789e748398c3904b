"""The replicated configuration: contracts, upstreams, groups and their homes.

Control members and proxies apply the same committed commands in the same order, so they all hold
the same machine at the same revision. ``apply_command`` is deterministic: it reads no clock and
draws no random number.
"""

import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec
import xxhash

from .codec import encode
from .commands import (
    AdoptPrimary,
    AssignHomes,
    BeginFailover,
    EndFailover,
    Promote,
    PutConfiguration,
    PutContract,
    RegisterUpstream,
    ReleaseHome,
    SetUpstream,
)
from .contracts import Contract
from .positions import FORKS_KEPT, Fork

CHANGE_RECORDS_KEPT = 50_000


class Upstream(NamedTuple):
    """An upstream of a group; ``version`` counts operators' changes."""

    name: str
    group: str
    address: str
    data_centre: str
    slots: int
    connection_cap: int
    state: str
    wanted: str
    version: int


class Group(NamedTuple):
    """A database group: its primary and term, its forks and its home.

    ``home`` is empty while no proxy holds the group; ``home_epoch`` counts its holders.
    """

    name: str
    term: int
    primary: str
    forks: list[Fork]
    home: str
    home_boot: str
    home_address: str
    home_epoch: int


class ChangeResult(NamedTuple):
    """The outcome of a command: a failure type's name or empty, and the version then in force."""

    failure: str
    version: int
    revision: int


class ChangeRecord(NamedTuple):
    """The first outcome of a change id, and a digest of the change's content."""

    digest: str
    result: ChangeResult


class FailoverRecord(NamedTuple):
    """The newest change of primary of a service; ``is_open`` until its holder ended it."""

    token: int
    holder: str
    is_open: bool
    primary: str


class StoredConfiguration(NamedTuple):
    """The operator's configuration in force, as a compressed document."""

    version: int
    services: list[str]
    document: bytes


@dataclass(slots=True)
class Machine:
    """The configuration at one revision of the control log.

    ``members`` lists the upstreams of each group; it follows from ``upstreams``.

    Control members keep the records of changes. Proxies don't: they get a refused command as an
    empty one, so they need no records to reach the same configuration.
    """

    revision: int = 0
    contracts: dict[str, Contract] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    groups: dict[str, Group] = field(default_factory=dict)
    changes: dict[str, ChangeRecord] = field(default_factory=dict)
    keeps_changes: bool = True
    members: dict[str, list[str]] = field(default_factory=dict)
    configuration: StoredConfiguration = StoredConfiguration(0, [], b"")
    failovers: dict[str, FailoverRecord] = field(default_factory=dict)


class _Stored(NamedTuple):
    revision: int
    contracts: dict[str, Contract]
    upstreams: dict[str, Upstream]
    groups: dict[str, Group]
    changes: dict[str, ChangeRecord]
    configuration: StoredConfiguration = StoredConfiguration(0, [], b"")
    failovers: dict[str, FailoverRecord] = {}


_stored_decoder = msgspec.msgpack.Decoder(_Stored)


def encode_machine(machine: Machine, with_changes: bool) -> bytes:
    """Return a snapshot; proxies get it without the change records."""
    changes = machine.changes if with_changes else {}
    stored = _Stored(
        machine.revision,
        machine.contracts,
        machine.upstreams,
        machine.groups,
        changes,
        machine.configuration,
        machine.failovers,
    )
    return msgspec.msgpack.encode(stored)


def decode_machine(data: bytes) -> Machine:
    """Return the machine of a snapshot."""
    stored = _stored_decoder.decode(data)
    machine = Machine(stored.revision, changes=stored.changes)
    machine.configuration = stored.configuration
    machine.failovers = dict(stored.failovers)
    for contract in stored.contracts.values():
        shared_contract = Contract(*map(_shared, contract))
        machine.contracts[shared_contract.customer] = shared_contract
    for upstream in stored.upstreams.values():
        shared_upstream = Upstream(*map(_shared, upstream))
        machine.upstreams[shared_upstream.name] = shared_upstream
        machine.members.setdefault(shared_upstream.group, []).append(shared_upstream.name)
    for group in stored.groups.values():
        shared_group = Group(*map(_shared, group))
        machine.groups[shared_group.name] = shared_group
    return machine


def _shared(value: Any) -> Any:
    """Return the one copy of a text that many records hold, such as a group's name."""
    return sys.intern(value) if isinstance(value, str) else value


def decode_configuration(data: bytes) -> Machine:
    """Return the machine of a snapshot for a proxy, which keeps no change records."""
    machine = decode_machine(data)
    machine.keeps_changes = False
    return machine


def content_digest(command: PutContract | SetUpstream) -> str:
    """Return a digest of a change's content.

    The version that it replaces is left out: a resend may name the version that the first attempt
    made.
    """
    return xxhash.xxh3_128_hexdigest(encode(command._replace(replaces_version=0)))


def apply_command(machine: Machine, index: int, command: Any) -> ChangeResult:
    """Apply a committed command; ``index`` becomes the machine's revision."""
    machine.revision = index
    handler = _HANDLERS.get(type(command))
    if handler is None:
        return ChangeResult("", 0, index)
    return handler(machine, index, command)


def touched_groups(machine: Machine, command: Any) -> list[str]:
    """Return the groups whose home must look at an applied command."""
    if isinstance(command, RegisterUpstream | AdoptPrimary | Promote | ReleaseHome):
        return [command.group]
    if isinstance(command, AssignHomes):
        return [name for name, _ in command.groups]
    if isinstance(command, SetUpstream) and command.upstream in machine.upstreams:
        return [machine.upstreams[command.upstream].group]
    return []


def _once(
    machine: Machine,
    index: int,
    command: PutContract | SetUpstream,
    change: Callable[[], ChangeResult],
) -> ChangeResult:
    """Run ``change`` unless its change id was seen; then return the first result."""
    if not machine.keeps_changes:
        return change()
    digest = content_digest(command)
    record = machine.changes.get(command.change_id)
    if record is not None and record.digest != digest:
        return ChangeResult("change_id_reused", record.result.version, index)
    if record is not None:
        return record.result
    result = change()
    machine.changes[command.change_id] = ChangeRecord(digest, result)
    if len(machine.changes) > CHANGE_RECORDS_KEPT:
        del machine.changes[next(iter(machine.changes))]
    return result


def _put_contract(machine: Machine, index: int, command: PutContract) -> ChangeResult:
    def change() -> ChangeResult:
        known = machine.contracts.get(command.customer)
        version = known.version if known else 0
        if command.replaces_version != version:
            return ChangeResult("change_conflict", version, index)
        machine.contracts[command.customer] = Contract(
            command.customer,
            version + 1,
            command.group,
            command.max_staleness_ms,
            command.connections,
            command.surge_share,
            command.acknowledge,
        )
        _ensure_group(machine, command.group)
        return ChangeResult("", version + 1, index)

    return _once(machine, index, command, change)


def _set_upstream(machine: Machine, index: int, command: SetUpstream) -> ChangeResult:
    def change() -> ChangeResult:
        known = machine.upstreams.get(command.upstream)
        if known is None:
            return ChangeResult("unknown_upstream", 0, index)
        if command.replaces_version != known.version:
            return ChangeResult("change_conflict", known.version, index)
        machine.upstreams[known.name] = known._replace(
            wanted=command.wanted, version=known.version + 1
        )
        return ChangeResult("", known.version + 1, index)

    return _once(machine, index, command, change)


def _register(machine: Machine, index: int, command: RegisterUpstream) -> ChangeResult:
    known = machine.upstreams.get(command.upstream)
    wanted, version = (known.wanted, known.version) if known else ("started", 0)
    if known is not None and known.group != command.group:
        machine.members[known.group].remove(known.name)
    if known is None or known.group != command.group:
        machine.members.setdefault(command.group, []).append(command.upstream)
    machine.upstreams[command.upstream] = Upstream(*command, wanted=wanted, version=version)
    _ensure_group(machine, command.group)
    return ChangeResult("", 0, index)


def _adopt_primary(machine: Machine, index: int, command: AdoptPrimary) -> ChangeResult:
    group = machine.groups.get(command.group)
    if group is None or group.home_epoch != command.home_epoch or group.primary:
        return ChangeResult("change_conflict", 0, index)
    machine.groups[group.name] = group._replace(primary=command.upstream, term=command.term)
    return ChangeResult("", 0, index)


def _promote(machine: Machine, index: int, command: Promote) -> ChangeResult:
    group = machine.groups.get(command.group)
    if group is None or group.home_epoch != command.home_epoch or command.term <= group.term:
        return ChangeResult("change_conflict", 0, index)
    forks = [*group.forks, Fork(command.term, command.start_index)][-FORKS_KEPT:]
    machine.groups[group.name] = group._replace(
        term=command.term, primary=command.upstream, forks=forks
    )
    return ChangeResult("", 0, index)


def _assign_homes(machine: Machine, index: int, command: AssignHomes) -> ChangeResult:
    for name, home_epoch in command.groups:
        group = machine.groups.get(name)
        if group is None or home_epoch <= group.home_epoch:
            continue
        machine.groups[name] = group._replace(
            home=command.proxy,
            home_boot=command.boot,
            home_address=command.address,
            home_epoch=home_epoch,
        )
    return ChangeResult("", 0, index)


def _release_home(machine: Machine, index: int, command: ReleaseHome) -> ChangeResult:
    group = machine.groups.get(command.group)
    if group is None or group.home_epoch != command.home_epoch:
        return ChangeResult("change_conflict", 0, index)
    machine.groups[group.name] = group._replace(home="", home_boot="", home_address="")
    return ChangeResult("", 0, index)


def _put_configuration(machine: Machine, index: int, command: PutConfiguration) -> ChangeResult:
    """Keep the highest version; an older or equal one changes nothing and is no failure."""
    if command.version > machine.configuration.version:
        machine.configuration = StoredConfiguration(*command)
    return ChangeResult("", machine.configuration.version, index)


def _begin_failover(machine: Machine, index: int, command: BeginFailover) -> ChangeResult:
    known = machine.failovers.get(command.service)
    primary = known.primary if known else ""
    machine.failovers[command.service] = FailoverRecord(index, command.holder, True, primary)
    return ChangeResult("", 0, index)


def _end_failover(machine: Machine, index: int, command: EndFailover) -> ChangeResult:
    known = machine.failovers.get(command.service)
    if known is None or known.token != command.token:
        return ChangeResult("change_conflict", 0, index)
    machine.failovers[command.service] = known._replace(is_open=False, primary=command.primary)
    return ChangeResult("", 0, index)


def _ensure_group(machine: Machine, name: str) -> None:
    if name not in machine.groups:
        machine.groups[name] = Group(name, 0, "", [], "", "", "", 0)


_HANDLERS: dict[type, Callable[[Machine, int, Any], ChangeResult]] = {
    PutContract: _put_contract,
    SetUpstream: _set_upstream,
    RegisterUpstream: _register,
    AdoptPrimary: _adopt_primary,
    Promote: _promote,
    AssignHomes: _assign_homes,
    ReleaseHome: _release_home,
    PutConfiguration: _put_configuration,
    BeginFailover: _begin_failover,
    EndFailover: _end_failover,
}
