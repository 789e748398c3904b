"""Customers' contracts."""

from typing import NamedTuple


class Contract(NamedTuple):
    """A contract in force; ``version`` counts the accepted changes to it."""

    customer: str
    version: int
    group: str
    max_staleness_ms: int
    connections: int
    surge_share: float
    acknowledge: str


def contract_fields(contract: Contract) -> dict[str, object]:
    """Return the fields of a contract that operators set, for a JSON response."""
    return {
        "group": contract.group,
        "max_staleness_ms": contract.max_staleness_ms,
        "connections": contract.connections,
        "surge_share": contract.surge_share,
        "acknowledge": contract.acknowledge,
    }
