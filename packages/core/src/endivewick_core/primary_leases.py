"""Leases on primaries.

Gateways acknowledge commits only under a lease. Where the platform doesn't fence a former primary,
it accepts transactions and answers reads after another upstream was promoted, so that these need a
lease, too. A lease states that no other upstream of a service becomes the primary until the lease
ends. The leader of control grants leases, and orders no promotion before those that it granted have
ended. The time of a lease counts from before it was requested, on the clock of the process that
requested it.
"""

from typing import NamedTuple

from .messages import PrimaryLeaseNote


class PrimaryLease(NamedTuple):
    """A promise that no other upstream becomes the primary before ``valid_until_ms``.

    ``leadership`` differs between two times for which the same upstream leads.
    """

    upstream: str
    valid_until_ms: int
    leadership: int = 0


PrimaryLeases = dict[str, PrimaryLease]  # by service

# For the first lease on a new primary to arrive; less than two failovers take.
NEW_PRIMARY_LEASE_MS = 1_000


def covers(leases: PrimaryLeases, service: str, upstream: str, at_ms: int) -> bool:
    """Return whether an upstream is the only primary of a service until ``at_ms``."""
    lease = leases.get(service)
    return lease is not None and lease.upstream == upstream and at_ms < lease.valid_until_ms


def known_leadership(lease: PrimaryLease | None, upstream: str) -> int | None:
    """Return the leadership of the last lease, None unless it is on this upstream."""
    return lease.leadership if lease is not None and lease.upstream == upstream else None


def confirms(lease: PrimaryLease, leadership: int | None, waited_ms: int) -> bool:
    """Return whether a lease on a commit's upstream shows that the commit was not rolled back.

    The upstream may have been replaced and promoted again meanwhile. ``leadership`` is the one that
    was known when the commit succeeded, ``waited_ms`` ago.
    """
    if leadership is not None:
        return leadership == lease.leadership
    return waited_ms <= NEW_PRIMARY_LEASE_MS


def renew(leases: PrimaryLeases, requested_ms: int, notes: list[PrimaryLeaseNote]) -> None:
    """Store the leases in the answer to a request that was sent at ``requested_ms``."""
    for note in notes:
        lease = PrimaryLease(note.upstream, requested_ms + note.left_ms, note.leadership)
        known = leases.get(note.service)
        if known is None or known.valid_until_ms < lease.valid_until_ms:
            leases[note.service] = lease


def to_notes(leases: PrimaryLeases, now_ms: int) -> list[PrimaryLeaseNote]:
    """Return the leases that have not ended, as they are sent to another process."""
    return [
        PrimaryLeaseNote(service, lease.upstream, lease.valid_until_ms - now_ms, lease.leadership)
        for service, lease in leases.items()
        if lease.valid_until_ms > now_ms
    ]
