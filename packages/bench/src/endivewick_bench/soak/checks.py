"""The soak's checks, one per promise of the system.

A check is a function that takes each event as it is recorded and returns the violations it shows.
It keeps only the state it needs, so that a soak is checked while it runs. All times are of one
clock.
"""

from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from endivewick_core.routes import Freshness
from endivewick_core.statements import Fault

from .history import (
    Answered,
    Committed,
    ConfigurationAcknowledged,
    ConfigurationRead,
    Disturbed,
    EndedByItself,
    Event,
    Invoked,
    Joined,
    Leaving,
    Ordered,
    Promoted,
    Ran,
    StopPlanned,
)

FAULT_EXCUSE_MS = 5_000  # the platform's time until an ended fault excuses no more violations
LEAVING_LIMIT_MS = 7_000  # the platform's limit for work at an upstream that is being removed
IN_FORCE_LIMIT_MS = 4_000  # the platform's limit until a configuration is in force
LOSS_SLACK_MS = 200  # the platform's limit for a request in transit when its session is closed
PLANNED_STOP_MS = 7_000  # the platform's time for a planned stop plus one second


class Violation(NamedTuple):
    """A broken promise and the event that shows it."""

    promise: str
    text: str
    event: Event


Check = Callable[[Event], list[Violation]]


@dataclass(slots=True)
class RealTimeContext:
    """The state that checks of real-time limits share: requests by id, time of the last fault."""

    invoked: dict[str, Invoked] = field(default_factory=dict)
    disturbed_ms: float = float("-inf")

    def update(self, event: Event) -> None:
        """Update the state from an event."""
        if isinstance(event, Disturbed):
            self.disturbed_ms = event.at_ms
        if isinstance(event, Invoked):
            self.invoked[event.request_id] = event

    def is_undisturbed(self, at_ms: float, limit_ms: float = 0.0) -> bool:
        """Return whether no recent disturbance excuses a limit that was exceeded at a time."""
        return at_ms - self.disturbed_ms >= FAULT_EXCUSE_MS + limit_ms


def check_text() -> Check:
    """Upstreams run only what clients sent, unchanged."""
    sent: dict[str, str] = {}

    def check(event: Event) -> list[Violation]:
        if isinstance(event, Invoked):
            sent[event.request_id] = event.text
        if not isinstance(event, Ran) or sent.get(event.request_id) == event.text:
            return []
        text = f"{event.request_id}: sent {sent.get(event.request_id)!r}, ran {event.text!r}"
        return [Violation("text", text, event)]

    return check


def check_answers() -> Check:
    """A successful answer has the proof and the rows of an upstream that ran the request."""
    ran: dict[str, set[tuple[str, tuple[str, ...]]]] = {}

    def check(event: Event) -> list[Violation]:
        if isinstance(event, Ran):
            ran.setdefault(event.request_id, set()).add((event.proof, event.rows))
        if not isinstance(event, Answered) or event.outcome != "ok":
            return []
        if (event.proof, event.rows) in ran.get(event.request_id, set()):
            return []
        text = f"{event.request_id}: {event.proof!r} {event.rows} is no upstream's answer"
        return [Violation("answers", text, event)]

    return check


def check_transactions() -> Check:
    """A transaction's statements run in one upstream transaction, which runs no others."""
    ran_in: dict[str, tuple[str, int, int]] = {}
    answered_in: dict[str, tuple[str, int, int]] = {}
    owner_of: dict[tuple[str, int, int], str] = {}
    invoked: dict[str, Invoked] = {}

    def check(event: Event) -> list[Violation]:
        if isinstance(event, Invoked):
            invoked[event.request_id] = event
        if isinstance(event, Answered) and event.outcome == "ok" and event.request_id in ran_in:
            transaction = invoked[event.request_id].transaction
            if transaction:
                answered_in.setdefault(transaction, ran_in[event.request_id])
        if not isinstance(event, Ran) or event.request_id not in invoked:
            return []
        request = invoked[event.request_id]
        found: list[Violation] = []
        if event.values != request.values:
            text = f"{event.request_id}: ran with {event.values}, not {request.values}"
            found.append(Violation("transactions", text, event))
        location = (event.upstream, event.connection, event.transaction)
        ran_in[event.request_id] = location
        owner = request.transaction or event.request_id
        if event.transaction and owner_of.setdefault(location, owner) != owner:
            text = f"{event.request_id} of {owner} ran in the transaction of {owner_of[location]}"
            found.append(Violation("transactions", text, event))
        known = answered_in.get(request.transaction, location)
        if known != location:
            text = f"{request.transaction} went from {known} to {location}"
            found.append(Violation("transactions", text, event))
        return found

    return check


def check_once() -> Check:
    """A write is committed at most once, and never if the client was told that it was not kept."""
    refused: set[str] = set()
    committed: dict[str, tuple[str, int]] = {}

    def check(event: Event) -> list[Violation]:
        if isinstance(event, Answered) and event.promises_nothing_kept:
            refused.add(event.request_id)
            if event.request_id not in committed:
                return []
            text = f"{event.request_id} was committed and then refused as not kept"
            return [Violation("not_kept", text, event)]
        if isinstance(event, Promoted):
            for request_id, (service, _) in list(committed.items()):
                if service == event.service and request_id not in event.log:
                    del committed[request_id]
        if not isinstance(event, Committed):
            return []
        found: list[Violation] = []
        for request_id in event.request_ids:
            if request_id in committed:
                text = f"{request_id} was committed twice"
                found.append(Violation("once", text, event))
            if request_id in refused:
                text = f"{request_id} was committed after it was refused as not kept"
                found.append(Violation("not_kept", text, event))
            committed[request_id] = (event.service, event.number)
        return found

    return check


@dataclass(slots=True)
class AcknowledgedCommits:
    """The acknowledged commits of a service or session: their times and newest log entries."""

    at_ms: list[float] = field(default_factory=list)
    newest: list[int] = field(default_factory=list)

    def add(self, at_ms: float, number: int) -> None:
        """Record an acknowledgement."""
        self.at_ms.append(at_ms)
        self.newest.append(max(number, self.newest[-1] if self.newest else 0))

    def before(self, at_ms: float) -> int:
        """Return the newest entry that was acknowledged before a time."""
        index = bisect_left(self.at_ms, at_ms)
        return self.newest[index - 1] if index else 0


def check_freshness() -> Check:
    """A read sees every commit that its route's freshness requires."""
    invoked: dict[str, Invoked] = {}
    number_of: dict[str, int] = {}
    by_service: dict[str, AcknowledgedCommits] = {}
    by_session: dict[str, AcknowledgedCommits] = {}

    def check(event: Event) -> list[Violation]:
        if isinstance(event, Invoked):
            invoked[event.request_id] = event
        if isinstance(event, Committed):
            for request_id in event.request_ids:
                number_of[request_id] = event.number
        if isinstance(event, Answered) and event.outcome == "ok" and event.request_id in number_of:
            request, number = invoked[event.request_id], number_of[event.request_id]
            by_service.setdefault(request.service, AcknowledgedCommits()).add(event.at_ms, number)
            by_session.setdefault(request.session, AcknowledgedCommits()).add(event.at_ms, number)
        if not isinstance(event, Ran) or event.kind != "read" or event.request_id not in invoked:
            return []
        request = invoked[event.request_id]
        limit_ms = request.began_ms
        if request.freshness is not Freshness.PRIMARY:
            limit_ms -= request.staleness_ms
        required = by_service.setdefault(request.service, AcknowledgedCommits()).before(limit_ms)
        if request.freshness is Freshness.SESSION and request.session in by_session:
            required = max(required, by_session[request.session].before(request.began_ms))
        if event.applied >= required:
            return []
        text = f"{event.request_id} read a log of {event.applied} entries, {required} were required"
        return [Violation("freshness", text, event)]

    return check


def check_lost() -> Check:
    """A promoted upstream has every acknowledged commit."""
    service_of: dict[str, str] = {}
    acknowledged: dict[str, set[str]] = {}

    def check(event: Event) -> list[Violation]:
        if isinstance(event, Committed):
            service_of.update(dict.fromkeys(event.request_ids, event.service))
        if isinstance(event, Answered) and event.outcome == "ok":
            service = service_of.get(event.request_id)
            if service is not None:
                acknowledged.setdefault(service, set()).add(event.request_id)
        if not isinstance(event, Promoted):
            return []
        missing = acknowledged.get(event.service, set()) - event.log
        if not missing:
            return []
        text = f"{event.upstream} leads term {event.term} without {sorted(missing)[:5]}"
        return [Violation("lost", text, event)]

    return check


def check_tokens() -> Check:
    """No two lease holders send failover orders with the same token."""
    holder_of: dict[tuple[str, int], str] = {}

    def check(event: Event) -> list[Violation]:
        if not isinstance(event, Ordered):
            return []
        known = holder_of.setdefault((event.service, event.token), event.holder)
        if known == event.holder:
            return []
        text = f"{event.holder} and {known} ordered with token {event.token}"
        return [Violation("tokens", text, event)]

    return check


def check_leaving() -> Check:
    """An upstream whose removal was acknowledged runs no request sent after the time limit."""
    leaving_ms: dict[str, float] = {}
    context = RealTimeContext()

    def check(event: Event) -> list[Violation]:
        context.update(event)
        if isinstance(event, Joined):
            leaving_ms.pop(event.upstream, None)
        if isinstance(event, Leaving):
            leaving_ms.setdefault(event.upstream, event.at_ms)
        if not isinstance(event, Ran) or event.upstream not in leaving_ms:
            return []
        request = context.invoked.get(event.request_id)
        if request is None or not context.is_undisturbed(event.at_ms, LEAVING_LIMIT_MS):
            return []
        late_ms = request.began_ms - leaving_ms[event.upstream]
        if late_ms <= LEAVING_LIMIT_MS:
            return []
        text = f"{event.request_id} ran at {event.upstream} {late_ms:.0f} ms after it left"
        return [Violation("leaving", text, event)]

    return check


def _newest_configuration(
    acknowledged: list[ConfigurationAcknowledged], at_ms: float
) -> ConfigurationAcknowledged | None:
    """Return the newest configuration that was acknowledged before a time."""
    known = [item for item in acknowledged if item.at_ms < at_ms]
    return max(known, key=lambda item: item.version, default=None)


def check_configuration() -> Check:
    """Acknowledged configurations are valid, and later reads return no older version."""
    acknowledged: list[ConfigurationAcknowledged] = []

    def check(event: Event) -> list[Violation]:
        if isinstance(event, ConfigurationAcknowledged):
            acknowledged.append(event)
            if event.is_valid:
                return []
            text = f"version {event.version} is invalid and was acknowledged"
            return [Violation("configuration", text, event)]
        if not isinstance(event, ConfigurationRead):
            return []
        newest = _newest_configuration(acknowledged, event.asked_ms)
        if newest is None or event.version >= newest.version:
            return []
        text = f"read version {event.version} after {newest.version} was acknowledged"
        return [Violation("configuration", text, event)]

    return check


def check_in_force() -> Check:
    """Acknowledged configurations are in force within the time limit.

    The check relies on the soak never reusing the name of a removed workspace.
    """
    acknowledged: list[ConfigurationAcknowledged] = []
    context = RealTimeContext()

    def check(event: Event) -> list[Violation]:
        context.update(event)
        if isinstance(event, ConfigurationAcknowledged):
            acknowledged.append(event)
        is_served = isinstance(event, Ran)
        is_refused = isinstance(event, Answered) and event.outcome == Fault.UNKNOWN_WORKSPACE
        if not isinstance(event, Ran | Answered) or not (is_served or is_refused):
            return []
        request = context.invoked.get(event.request_id)
        if request is None or not context.is_undisturbed(event.at_ms, IN_FORCE_LIMIT_MS):
            return []
        newest = _newest_configuration(acknowledged, request.began_ms - IN_FORCE_LIMIT_MS)
        if newest is None or (request.workspace in newest.workspaces) == is_served:
            return []
        containing = [item for item in acknowledged if request.workspace in item.workspaces]
        if is_served and not any(item.version < newest.version for item in containing):
            return []
        if is_refused and len(containing) < len(acknowledged):
            return []
        text = f"{event.request_id} for {request.workspace} has an outcome before {newest.version}"
        return [Violation("in_force", text, event)]

    return check


def check_planned_stop() -> Check:
    """A planned stop of a gateway, without a recent fault, cuts off no request that it accepted.

    A request in transit when the gateway closed its session between operations doesn't count,
    unless it ran or its connection stayed open for longer than LOSS_SLACK_MS.
    """
    ran: set[str] = set()
    stopped: list[StopPlanned] = []
    context = RealTimeContext()

    def check(event: Event) -> list[Violation]:
        context.update(event)
        if isinstance(event, StopPlanned):
            stopped.append(event)
        if isinstance(event, Ran):
            ran.add(event.request_id)
        if not isinstance(event, Answered) or event.outcome != "cut":
            return []
        request = context.invoked[event.request_id]
        if not context.is_undisturbed(event.at_ms):
            return []
        if event.request_id not in ran and event.at_ms - request.at_ms <= LOSS_SLACK_MS:
            return []
        for stop in stopped:
            if stop.gateway == request.gateway and 0 <= event.at_ms - stop.at_ms <= PLANNED_STOP_MS:
                text = f"{event.request_id} was cut by the planned stop of {stop.gateway}"
                return [Violation("planned_stop", text, event)]
        return []

    return check


def check_processes() -> Check:
    """No process ends that the soak has not stopped."""

    def check(event: Event) -> list[Violation]:
        if not isinstance(event, EndedByItself):
            return []
        text = f"{event.process} ended with code {event.code}"
        return [Violation("processes", text, event)]

    return check


CHECKS: dict[str, Callable[[], Check]] = {
    "text": check_text,
    "answers": check_answers,
    "transactions": check_transactions,
    "once": check_once,
    "freshness": check_freshness,
    "lost": check_lost,
    "tokens": check_tokens,
    "leaving": check_leaving,
    "configuration": check_configuration,
    "in_force": check_in_force,
    "planned_stop": check_planned_stop,
    "processes": check_processes,
}
# Their limits are seconds of real time, which a busy machine may exceed without any fault.
TIMED_CHECKS = frozenset({"leaving", "in_force", "planned_stop"})


@dataclass(slots=True)
class Recorder:
    """The history of a run and the violations found; ``names`` selects the checks."""

    names: frozenset[str] = frozenset(CHECKS)
    events: list[Event] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    checks: list[Check] = field(init=False)

    def __post_init__(self) -> None:
        """Create the checks."""
        self.checks = [make() for name, make in CHECKS.items() if name in self.names]

    def add(self, event: Event) -> None:
        """Record an event and check it at once."""
        self.events.append(event)
        for check in self.checks:
            self.violations += check(event)
