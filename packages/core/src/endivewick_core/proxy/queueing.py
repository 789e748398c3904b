"""Fair queues: customers share by weight, and each customer's work stays in order.

Stride scheduling: every customer has a virtual time that grows by the inverse of its weight with
each piece of work, and the customer with the lowest virtual time goes first.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from .work import Work

MAX_CUSTOMERS_SCANNED = 32


@dataclass(slots=True)
class CustomerQueue:
    """One customer's waiting work."""

    virtual_time: float
    waiting: deque[Work] = field(default_factory=deque)


@dataclass(slots=True)
class FairQueue:
    """The waiting work of one class."""

    customers: dict[str, CustomerQueue] = field(default_factory=dict)
    virtual_time: float = 0.0
    size: int = 0

    def push(self, work: Work) -> None:
        """Add work behind what its customer waits for already."""
        queue = self.customers.get(work.customer)
        if queue is None:
            queue = self.customers[work.customer] = CustomerQueue(self.virtual_time)
        queue.waiting.append(work)
        self.size += 1

    def push_front(self, work: Work) -> None:
        """Put work back that could not run."""
        queue = self.customers.get(work.customer)
        if queue is None:
            queue = self.customers[work.customer] = CustomerQueue(self.virtual_time)
        queue.waiting.appendleft(work)
        self.size += 1

    def pop(self, fits: Callable[[Work], bool]) -> Work | None:
        """Take the first work that ``fits``, of the customers in their fair order."""
        if not self.size:
            return None
        if len(self.customers) == 1:
            order = list(self.customers)
        else:
            order = sorted(self.customers, key=self._virtual_time_of)[:MAX_CUSTOMERS_SCANNED]
        for customer in order:
            queue = self.customers[customer]
            work = queue.waiting[0]
            if not fits(work):
                continue
            queue.waiting.popleft()
            self.size -= 1
            self.virtual_time = max(self.virtual_time, queue.virtual_time)
            queue.virtual_time += 1.0 / work.weight
            if not queue.waiting:
                self._remove_idle(customer, queue)
            return work
        return None

    def count_for(self, customer: str) -> int:
        """Return how much of a customer's work waits."""
        queue = self.customers.get(customer)
        return len(queue.waiting) if queue else 0

    def remove_if(self, matches: Callable[[Work], bool]) -> list[Work]:
        """Take out all work for which ``matches`` holds."""
        removed: list[Work] = []
        for customer in list(self.customers):
            queue = self.customers[customer]
            taken = [work for work in queue.waiting if matches(work)]
            if not taken:
                continue
            removed += taken
            queue.waiting = deque(work for work in queue.waiting if not matches(work))
            self.size -= len(taken)
            if not queue.waiting:
                self._remove_idle(customer, queue)
        return removed

    def __iter__(self) -> Iterator[Work]:
        """Iterate over all waiting work."""
        for queue in self.customers.values():
            yield from queue.waiting

    def _virtual_time_of(self, customer: str) -> float:
        return self.customers[customer].virtual_time

    def _remove_idle(self, customer: str, queue: CustomerQueue) -> None:
        """Forget an idle customer, whose next work starts at the queue's virtual time."""
        self.virtual_time = max(self.virtual_time, queue.virtual_time - 1.0)
        del self.customers[customer]
