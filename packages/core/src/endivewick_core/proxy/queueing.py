"""Weighted fair queues: customers share by weight, and each customer's work stays in order.

The queue uses stride scheduling: each piece of work advances its customer's virtual time by the
inverse of its weight, and the customer with the lowest virtual time goes first.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from .work import Work

MAX_CUSTOMERS_SCANNED = 32


@dataclass(slots=True)
class CustomerQueue:
    """One customer's queued work."""

    virtual_time: float
    waiting: deque[Work] = field(default_factory=deque)


@dataclass(slots=True)
class FairQueue:
    """The queued work of one class."""

    customers: dict[str, CustomerQueue] = field(default_factory=dict)
    virtual_time: float = 0.0
    size: int = 0

    def push(self, work: Work) -> None:
        """Add work at the end of its customer's queue."""
        queue = self.customers.get(work.customer)
        if queue is None:
            queue = self.customers[work.customer] = CustomerQueue(self.virtual_time)
        queue.waiting.append(work)
        self.size += 1

    def push_front(self, work: Work) -> None:
        """Put work back at the front of its customer's queue, to run it again."""
        queue = self.customers.get(work.customer)
        if queue is None:
            queue = self.customers[work.customer] = CustomerQueue(self.virtual_time)
        queue.waiting.appendleft(work)
        self.size += 1

    def pop(self, fits: Callable[[Work], bool]) -> Work | None:
        """Remove and return the first work for which ``fits`` holds, customers in fair order.

        Only the first work of each customer is considered, for ``MAX_CUSTOMERS_SCANNED`` customers.
        """
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
        """Return the length of a customer's queue."""
        queue = self.customers.get(customer)
        return len(queue.waiting) if queue else 0

    def remove_if(self, matches: Callable[[Work], bool]) -> list[Work]:
        """Remove and return all work for which ``matches`` holds."""
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
        """Iterate over all queued work."""
        for queue in self.customers.values():
            yield from queue.waiting

    def _virtual_time_of(self, customer: str) -> float:
        return self.customers[customer].virtual_time

    def _remove_idle(self, customer: str, queue: CustomerQueue) -> None:
        """Remove a customer without work; its next work starts at the queue's virtual time."""
        self.virtual_time = max(self.virtual_time, queue.virtual_time - 1.0)
        del self.customers[customer]
