"""Leases on primaries, for platforms that don't fence a former primary.

Such a primary accepts transactions and answers reads after another upstream was promoted. A lease
states that no other upstream of a service becomes the primary until the lease ends. The leader of
control grants leases, and orders no promotion before those that it granted have ended. The time of
a lease counts from before it was requested, on the clock of the process that requested it.
"""

from typing import NamedTuple

from .messages import PrimaryLeaseNote


class PrimaryLease(NamedTuple):
    """A promise that no other upstream becomes the primary before ``valid_until_ms``."""

    upstream: str
    valid_until_ms: int


PrimaryLeases = dict[str, PrimaryLease]  # by service


def covers(leases: PrimaryLeases, service: str, upstream: str, at_ms: int) -> bool:
    """Return whether an upstream is the only primary of a service until ``at_ms``."""
    lease = leases.get(service)
    return lease is not None and lease.upstream == upstream and at_ms < lease.valid_until_ms


def renew(leases: PrimaryLeases, requested_ms: int, notes: list[PrimaryLeaseNote]) -> None:
    """Store the leases in the answer to a request that was sent at ``requested_ms``."""
    for note in notes:
        lease = PrimaryLease(note.upstream, requested_ms + note.left_ms)
        known = leases.get(note.service)
        if known is None or known.valid_until_ms < lease.valid_until_ms:
            leases[note.service] = lease


def to_notes(leases: PrimaryLeases, now_ms: int) -> list[PrimaryLeaseNote]:
    """Return the leases that have not ended, as they are sent to another process."""
    return [
        PrimaryLeaseNote(service, lease.upstream, lease.valid_until_ms - now_ms)
        for service, lease in leases.items()
        if lease.valid_until_ms > now_ms
    ]
