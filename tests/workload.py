"""Simulated callers and operators, which record their requests and the responses."""

from functools import partial
from itertools import count
from typing import Any

from driver import GROUP, Driver
from endivewick_bench.checkers import Record
from endivewick_core.control.events import BootstrapRequest, PutContractRequest
from endivewick_core.proxy.events import CallerRequest

CONTRACT = {
    "group": GROUP,
    "max_staleness_ms": 1_000,
    "connections": 10,
    "surge_share": 0.5,
    "acknowledge": "primary",
}
CUSTOMER = "farms"
DEADLINE_MS = 2_000
THINK_MS = 40
OPERATOR_RETRY_MS = 300


class Session:
    """One caller, which writes and reads its own keys through any proxy."""

    def __init__(self, driver: Driver, name: str, proxies: list[str]) -> None:
        self.driver = driver
        self.name = name
        self.proxies = proxies
        self.random = driver.random
        self.token = ""
        self.renewals = 0
        self.values = count(1)
        self.attempts = count(1)
        self.stopped = False
        driver.after(self.random.randrange(THINK_MS) + 1, self.next)

    def next(self) -> None:
        if self.stopped:
            return
        choice = self.random.random()
        if choice < 0.40:
            self.send("read")
        elif choice < 0.65:
            self.send("write", value=next(self.values))
        elif choice < 0.80:
            self.once()
        else:
            self.transaction()

    def pause(self, _: Any = None) -> None:
        self.driver.after(self.random.randrange(THINK_MS) + 1, self.next)

    def key(self) -> str:
        return f"{self.name}.{self.renewals}"

    def send(self, operation: str, then: Any = None, **options: Any) -> None:
        """Send one attempt, record it and its answer, then call ``then`` or pause."""
        driver = self.driver
        proxy = self.random.choice(self.proxies)
        label = options.get("label") or self.name
        tag = f"{label}/{next(self.attempts)}"
        key = options.get("key") or self.key()
        op = "get" if operation == "read" else "set"
        statement = {"op": op, "key": key, "value": options.get("value", 0)}
        statement["tag"] = options.get("statement_tag") or tag
        statement |= options.get("extra", {})
        transaction = options.get("transaction", "")
        ask = CallerRequest(
            operation,
            CUSTOMER,
            statement if operation in ("read", "write") else None,
            options.get("work_class", "short"),
            options.get("request_id", ""),
            transaction,
            DEADLINE_MS,
            self.token,
            1,
        )
        shared: dict[str, Any] = {
            "tag": tag,
            "session": f"{self.name}.{self.renewals}",
            "operation": operation,
            "group": GROUP,
        }
        driver.record(
            "invoke",
            proxy,
            key=key,
            value=statement["value"],
            request_id=options.get("request_id", ""),
            transaction=label if transaction else "",
            **shared,
        )

        def answered(effect: Any) -> None:
            self.take(proxy, shared, effect)
            (then or self.pause)(effect)

        driver.ask(proxy, ask, answered)

    def take(self, proxy: str, shared: dict[str, Any], effect: Any) -> None:
        """Record an answer and keep its token."""
        if effect is None:
            self.driver.record("answer", proxy, outcome="cut", **shared)
            return
        failure = effect.failure
        body = effect.body
        value = body.get("value")
        echoed = value if isinstance(value, dict) else {}
        process = self.driver.processes[proxy]
        self.driver.record(
            "answer",
            proxy,
            outcome=failure.type.name if failure else "ok",
            ran=failure.type.ran if failure else "run",
            value=echoed.get("value"),
            key=echoed.get("key", ""),
            upstream=body.get("upstream", ""),
            term=body.get("term", 0),
            position=body.get("position", 0),
            revision=process.state.replicated_state.revision,
            **shared,
        )
        if failure is not None and failure.type.name == "session_lost":
            self.token = ""
            self.renewals += 1
        elif effect.token:
            self.token = effect.token

    def once(self) -> None:
        """Send a write under a request id, and send it again until it succeeds or 4 times."""
        value = next(self.values)
        key = f"once.{self.name}.{value}"

        def issued(effect: Any) -> None:
            if effect is None or effect.failure is not None:
                self.pause()
                return
            number = next(self.attempts)
            self.attempts = count(number)
            options = {
                "request_id": effect.body["value"]["request_ids"][0],
                "key": key,
                "value": value,
                "statement_tag": f"{self.name}/{number}",
            }
            self.attempt_once(options, 1)

        self.send("issue_ids", issued)

    def attempt_once(self, options: dict[str, Any], attempt: int) -> None:
        def answered(effect: Any) -> None:
            final = effect is not None and effect.failure is None
            if final or attempt >= 4:
                self.pause()
                return
            self.driver.after(100, partial(self.attempt_once, options, attempt + 1))

        self.send("write", answered, **options)

    def transaction(self) -> None:
        """Begin a transaction, write twice in it and commit, each step through any proxy."""
        label = f"{self.name}.t{next(self.attempts)}"
        key = f"tx.{self.name}"

        def begun(effect: Any) -> None:
            if effect is None or effect.failure is not None:
                self.pause()
                return
            identity = effect.body["value"]["transaction"]
            self.in_transaction(identity, label, key, 2)

        self.send("begin", begun)

    def commit(self, identity: str, label: str, key: str) -> None:
        def committed(effect: Any) -> None:
            refused = effect is not None and effect.failure is not None
            if refused and effect.failure.type.name == "draining":
                self.driver.after(THINK_MS, partial(self.commit, identity, label, key))
            else:
                self.pause()

        self.send("commit", committed, transaction=identity, label=label, key=key)

    def in_transaction(self, identity: str, label: str, key: str, left: int) -> None:
        if not left:
            self.commit(identity, label, key)
            return

        def written(effect: Any) -> None:
            if effect is not None and effect.failure is None:
                self.in_transaction(identity, label, key, left - 1)
            elif effect is not None and effect.failure.type.name == "draining":
                self.driver.after(
                    THINK_MS, partial(self.in_transaction, identity, label, key, left)
                )
            else:
                self.pause()

        value = next(self.values)
        self.send("write", written, transaction=identity, label=label, key=key, value=value)


class Operator:
    """An operator who changes one contract repeatedly, and sends again after lost answers."""

    def __init__(self, driver: Driver, customer: str, name: str = "operator") -> None:
        self.driver = driver
        self.customer = customer
        self.name = name
        self.version = 0
        self.accepted: list[tuple[str, int, int]] = []
        self.serial = count(1)
        self.stopped = False

    def change(self) -> None:
        """Put the next version under a new change id."""
        if self.stopped:
            return
        change_id = f"{self.name}-{next(self.serial)}"
        self.send(change_id, self.version)

    def send(self, change_id: str, version: int) -> None:
        driver = self.driver
        controls = sorted(driver.control_settings.members)
        target = driver.leader() or driver.random.choice(controls)
        contract = {**CONTRACT, "connections": 10 + version % 5}
        request = PutContractRequest(change_id, self.customer, version, contract)

        def answered(effect: Any) -> None:
            if effect is None or effect.status in (503, 504):
                driver.after(OPERATOR_RETRY_MS, lambda: self.send(change_id, version))
                return
            if effect.status == 200:
                self.version = effect.body["version"]
                revision = effect.body["revision"]
                self.accepted.append((change_id, self.version, revision))
                driver.record("configuration_accepted", target, revision=revision)
            else:
                details = effect.body.get("details") or {}
                self.version = details.get("version", self.version)
            driver.after(100, self.change)

        driver.operate(target, request, answered)


def ready_driver(seed: int, **options: Any) -> Driver:
    """Return a driver whose control cluster is formed and whose group has an active primary."""
    driver = Driver(seed, **options)
    done: list[Any] = []

    def bootstrap() -> None:
        if not done:
            driver.operate(
                "c0",
                BootstrapRequest(),
                lambda effect: done.append(effect) if effect and effect.status == 200 else None,
            )
            driver.after(100, bootstrap)

    driver.after(700, bootstrap)
    size = len(driver.control_settings.members)

    def formed() -> bool:
        leader = driver.leader()
        return leader is not None and len(driver.processes[leader].state.membership.voters) == size

    assert driver.run_until(formed)
    operator = Operator(driver, CUSTOMER)
    operator.change()
    assert driver.run_until(lambda: bool(operator.accepted))
    operator.stopped = True
    assert driver.run_until(lambda: home_of(driver) is not None)
    assert driver.run_until(lambda: all_serve(driver))
    return driver


def all_serve(driver: Driver) -> bool:
    """Tell whether every proxy knows the contract and the home."""
    for process in driver.processes.values():
        if process.disk is not None or not process.alive:
            continue
        replicated_state = process.state.replicated_state
        if CUSTOMER not in replicated_state.contracts or not replicated_state.groups[GROUP].home:
            return False
    return True


def home_of(driver: Driver) -> str | None:
    """Return the proxy that holds the group and has an active primary."""
    for process in driver.processes.values():
        if process.disk is None and process.alive:
            home = process.state.homes.get(GROUP)
            if home is not None and home.phase == "active":
                return process.name
    return None


def answers_of(history: list[Record], outcome: str) -> int:
    """Count the answers with an outcome."""
    return sum(1 for item in history if item.kind == "answer" and item.outcome == outcome)
