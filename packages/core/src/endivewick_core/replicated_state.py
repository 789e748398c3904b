"""The replicated configuration: contracts, upstreams, groups and their homes.

Control members and proxies apply the same committed commands in the same order, so at the same
revision they all hold the same state. ``apply_command`` is deterministic: it reads no clock and
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
    AnsweredUpstream,
    AssignHomes,
    BeginFailover,
    EndFailover,
    Promote,
    PutConfiguration,
    PutContract,
    RecordAnswered,
    RegisterUpstream,
    ReleaseHome,
    SetUpstream,
)
from .contracts import Contract
from .positions import FORKS_KEPT, Fork
from .token_buckets import TokenLimit

CHANGE_RECORDS_KEPT = 50_000


class Upstream(NamedTuple):
    """An upstream of a group; ``version`` counts the changes that operators made to it."""

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

    ``home`` is the proxy that serves the group, empty while there is none. ``home_boot`` is the
    start of its process, and ``home_epoch`` increases with each new home.
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
    """The outcome of a command.

    ``failure`` is the name of a failure type, empty if the command succeeded, and ``version`` the
    version in force afterwards.
    """

    failure: str
    version: int
    revision: int


class ChangeRecord(NamedTuple):
    """The first outcome of a change id, with a digest of the change's content."""

    digest: str
    result: ChangeResult


class FailoverRecord(NamedTuple):
    """The newest change of primary of a service; ``is_open`` until its holder ends it.

    ``address`` is that of the primary, where its log stays if it restarts under another name. It
    is empty in records that were written before it was stored. ``leadership`` is the token of the
    last failover that ended with another primary than the one before.
    """

    token: int
    holder: str
    is_open: bool
    primary: str
    address: str = ""
    leadership: int = 0


class StoredConfiguration(NamedTuple):
    """The operator's configuration in force; ``document`` is compressed.

    ``limits`` are those of the tenants that have one, by name.
    """

    version: int
    services: list[str]
    document: bytes
    limits: dict[str, TokenLimit] = {}


@dataclass(slots=True)
class ReplicatedState:
    """The replicated configuration at one revision of the control log.

    ``members`` lists the upstreams of each group and is derived from ``upstreams``.

    ``answered`` lists the upstreams of each service that have ever answered control, and
    ``answered_upstreams`` describes them by name.

    Control members keep ``changes``, the records of operators' changes. Proxies don't: they receive
    an empty command in place of a refused one, so they reach the same configuration without them.
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
    answered: dict[str, list[str]] = field(default_factory=dict)
    answered_upstreams: dict[str, AnsweredUpstream] = field(default_factory=dict)


class _StoredState(NamedTuple):
    revision: int
    contracts: dict[str, Contract]
    upstreams: dict[str, Upstream]
    groups: dict[str, Group]
    changes: dict[str, ChangeRecord]
    configuration: StoredConfiguration = StoredConfiguration(0, [], b"")
    failovers: dict[str, FailoverRecord] = {}
    answered: dict[str, list[str]] = {}
    answered_upstreams: dict[str, AnsweredUpstream] = {}


_stored_decoder = msgspec.msgpack.Decoder(_StoredState)


def encode_replicated_state(replicated_state: ReplicatedState, with_changes: bool) -> bytes:
    """Encode a snapshot; proxies get one without the change records."""
    changes = replicated_state.changes if with_changes else {}
    stored = _StoredState(
        replicated_state.revision,
        replicated_state.contracts,
        replicated_state.upstreams,
        replicated_state.groups,
        changes,
        replicated_state.configuration,
        replicated_state.failovers,
        replicated_state.answered,
        replicated_state.answered_upstreams,
    )
    return msgspec.msgpack.encode(stored)


def decode_replicated_state(data: bytes) -> ReplicatedState:
    """Decode the replicated state in a snapshot."""
    stored = _stored_decoder.decode(data)
    replicated_state = ReplicatedState(stored.revision, changes=stored.changes)
    replicated_state.configuration = stored.configuration
    replicated_state.failovers = dict(stored.failovers)
    replicated_state.answered = dict(stored.answered)
    replicated_state.answered_upstreams = dict(stored.answered_upstreams)
    for contract in stored.contracts.values():
        interned_contract = Contract(*map(_interned, contract))
        replicated_state.contracts[interned_contract.customer] = interned_contract
    for upstream in stored.upstreams.values():
        interned_upstream = Upstream(*map(_interned, upstream))
        replicated_state.upstreams[interned_upstream.name] = interned_upstream
        replicated_state.members.setdefault(interned_upstream.group, []).append(
            interned_upstream.name
        )
    for group in stored.groups.values():
        interned_group = Group(*map(_interned, group))
        replicated_state.groups[interned_group.name] = interned_group
    return replicated_state


def _interned(value: Any) -> Any:
    """Intern a string, since many records hold the same ones, such as a group's name."""
    return sys.intern(value) if isinstance(value, str) else value


def decode_configuration(data: bytes) -> ReplicatedState:
    """Decode the replicated state in a snapshot for a proxy, which keeps no change records."""
    replicated_state = decode_replicated_state(data)
    replicated_state.keeps_changes = False
    return replicated_state


def content_digest(command: PutContract | SetUpstream) -> str:
    """Return a digest of a change's content, without the version that it replaces.

    A resend of a change may name the version that the first attempt created.
    """
    return xxhash.xxh3_128_hexdigest(encode(command._replace(replaces_version=0)))


def apply_command(replicated_state: ReplicatedState, index: int, command: Any) -> ChangeResult:
    """Apply a committed command; ``index`` is its log index and becomes the revision."""
    replicated_state.revision = index
    handler = _HANDLERS.get(type(command))
    if handler is None:
        return ChangeResult("", 0, index)
    return handler(replicated_state, index, command)


def affected_groups(replicated_state: ReplicatedState, command: Any) -> list[str]:
    """Return the groups whose home has to react to an applied command."""
    if isinstance(command, RegisterUpstream | AdoptPrimary | Promote | ReleaseHome):
        return [command.group]
    if isinstance(command, AssignHomes):
        return [name for name, _ in command.groups]
    if isinstance(command, SetUpstream) and command.upstream in replicated_state.upstreams:
        return [replicated_state.upstreams[command.upstream].group]
    return []


def _apply_once(
    replicated_state: ReplicatedState,
    index: int,
    command: PutContract | SetUpstream,
    change: Callable[[], ChangeResult],
) -> ChangeResult:
    """Apply ``change``, or return the first result if its change id has been applied already."""
    if not replicated_state.keeps_changes:
        return change()
    digest = content_digest(command)
    record = replicated_state.changes.get(command.change_id)
    if record is not None and record.digest != digest:
        return ChangeResult("change_id_reused", record.result.version, index)
    if record is not None:
        return record.result
    result = change()
    replicated_state.changes[command.change_id] = ChangeRecord(digest, result)
    if len(replicated_state.changes) > CHANGE_RECORDS_KEPT:
        del replicated_state.changes[next(iter(replicated_state.changes))]
    return result


def _put_contract(
    replicated_state: ReplicatedState, index: int, command: PutContract
) -> ChangeResult:
    def change() -> ChangeResult:
        current = replicated_state.contracts.get(command.customer)
        version = current.version if current else 0
        if command.replaces_version != version:
            return ChangeResult("change_conflict", version, index)
        replicated_state.contracts[command.customer] = Contract(
            command.customer,
            version + 1,
            command.group,
            command.max_staleness_ms,
            command.connections,
            command.surge_share,
            command.acknowledge,
        )
        _ensure_group(replicated_state, command.group)
        return ChangeResult("", version + 1, index)

    return _apply_once(replicated_state, index, command, change)


def _set_upstream(
    replicated_state: ReplicatedState, index: int, command: SetUpstream
) -> ChangeResult:
    def change() -> ChangeResult:
        current = replicated_state.upstreams.get(command.upstream)
        if current is None:
            return ChangeResult("unknown_upstream", 0, index)
        if command.replaces_version != current.version:
            return ChangeResult("change_conflict", current.version, index)
        replicated_state.upstreams[current.name] = current._replace(
            wanted=command.wanted, version=current.version + 1
        )
        return ChangeResult("", current.version + 1, index)

    return _apply_once(replicated_state, index, command, change)


def _register(
    replicated_state: ReplicatedState, index: int, command: RegisterUpstream
) -> ChangeResult:
    current = replicated_state.upstreams.get(command.upstream)
    wanted, version = (current.wanted, current.version) if current else ("started", 0)
    if current is not None and current.group != command.group:
        replicated_state.members[current.group].remove(current.name)
    if current is None or current.group != command.group:
        replicated_state.members.setdefault(command.group, []).append(command.upstream)
    replicated_state.upstreams[command.upstream] = Upstream(
        *command, wanted=wanted, version=version
    )
    _ensure_group(replicated_state, command.group)
    return ChangeResult("", 0, index)


def _adopt_primary(
    replicated_state: ReplicatedState, index: int, command: AdoptPrimary
) -> ChangeResult:
    group = replicated_state.groups.get(command.group)
    if group is None or group.home_epoch != command.home_epoch or group.primary:
        return ChangeResult("change_conflict", 0, index)
    replicated_state.groups[group.name] = group._replace(
        primary=command.upstream, term=command.term
    )
    return ChangeResult("", 0, index)


def _promote(replicated_state: ReplicatedState, index: int, command: Promote) -> ChangeResult:
    group = replicated_state.groups.get(command.group)
    if group is None or group.home_epoch != command.home_epoch or command.term <= group.term:
        return ChangeResult("change_conflict", 0, index)
    forks = [*group.forks, Fork(command.term, command.start_index)][-FORKS_KEPT:]
    replicated_state.groups[group.name] = group._replace(
        term=command.term, primary=command.upstream, forks=forks
    )
    return ChangeResult("", 0, index)


def _assign_homes(
    replicated_state: ReplicatedState, index: int, command: AssignHomes
) -> ChangeResult:
    for name, home_epoch in command.groups:
        group = replicated_state.groups.get(name)
        if group is None or home_epoch <= group.home_epoch:
            continue
        replicated_state.groups[name] = group._replace(
            home=command.proxy,
            home_boot=command.boot,
            home_address=command.address,
            home_epoch=home_epoch,
        )
    return ChangeResult("", 0, index)


def _release_home(
    replicated_state: ReplicatedState, index: int, command: ReleaseHome
) -> ChangeResult:
    group = replicated_state.groups.get(command.group)
    if group is None or group.home_epoch != command.home_epoch:
        return ChangeResult("change_conflict", 0, index)
    replicated_state.groups[group.name] = group._replace(home="", home_boot="", home_address="")
    return ChangeResult("", 0, index)


def _put_configuration(
    replicated_state: ReplicatedState, index: int, command: PutConfiguration
) -> ChangeResult:
    """Put the highest version in force; an older or equal one is ignored without a failure."""
    if command.version > replicated_state.configuration.version:
        replicated_state.configuration = StoredConfiguration(*command)
    return ChangeResult("", replicated_state.configuration.version, index)


def _begin_failover(
    replicated_state: ReplicatedState, index: int, command: BeginFailover
) -> ChangeResult:
    current = replicated_state.failovers.get(command.service)
    replicated_state.failovers[command.service] = FailoverRecord(
        index,
        command.holder,
        True,
        current.primary if current else "",
        current.address if current else "",
        current.leadership if current else 0,
    )
    return ChangeResult("", 0, index)


def _end_failover(
    replicated_state: ReplicatedState, index: int, command: EndFailover
) -> ChangeResult:
    current = replicated_state.failovers.get(command.service)
    if current is None or current.token != command.token:
        return ChangeResult("change_conflict", 0, index)
    is_kept = command.primary == current.primary
    replicated_state.failovers[command.service] = current._replace(
        is_open=False,
        primary=command.primary,
        address=command.address,
        leadership=current.leadership if is_kept else command.token,
    )
    return ChangeResult("", 0, index)


def _ensure_group(replicated_state: ReplicatedState, name: str) -> None:
    if name not in replicated_state.groups:
        replicated_state.groups[name] = Group(name, 0, "", [], "", "", "", 0)


def _record_answered(
    replicated_state: ReplicatedState, index: int, command: RecordAnswered
) -> ChangeResult:
    answered, described = replicated_state.answered, replicated_state.answered_upstreams
    dropped: set[str] = set()
    for service, names in command.services.items():
        dropped.update(answered.get(service, ()))
        answered[service] = names
    for service in list(answered):
        if service not in replicated_state.configuration.services:
            dropped.update(answered.pop(service))
    for name in dropped:
        described.pop(name, None)
    for upstream in command.upstreams:
        described[upstream.upstream] = upstream
    return ChangeResult("", 0, index)


_HANDLERS: dict[type, Callable[[ReplicatedState, int, Any], ChangeResult]] = {
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
    RecordAnswered: _record_answered,
}
