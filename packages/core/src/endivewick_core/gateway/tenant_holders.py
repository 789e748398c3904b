"""Connection holders by tenant: which holder of a data centre runs a tenant's statements.

Each tenant has one holder per service, so that its connections are not spread over all holders. It
is chosen by rendezvous hashing with bounded load: a holder whose tenants have a certain share of
all rate limits takes no more. Gateways with the same configuration and the same list of neighbours
choose alike without messages. A holder forwards the statements of other holders' tenants, too.
"""

import xxhash

from . import holders
from .state import GatewayState, TenantHolders

LOAD_BOUND = 1.25  # of the mean load of a holder; bounds how much it may have in excess
# The load of a tenant without a rate limit, in operations a second; the limit of small tenants.
DEFAULT_LOAD = 5.0


def holder(state: GatewayState, now_ms: int, service: str, tenant: str) -> str:
    """Return the gateway that runs a tenant's statements, or an empty text if this one does.

    It is the first candidate that isn't backed off, or the first one if all are.
    """
    if not tenant or not holders.are_needed(state, service):
        return holders.holder(state, now_ms, service)
    candidates = candidates_for(state, service, tenant)
    backoff_until_ms = state.control.backoff_until_ms
    available = [item for item in candidates if now_ms >= backoff_until_ms.get(item, 0)]
    address = (available or candidates)[0]
    return "" if address == state.settings.address else address


def candidates_for(state: GatewayState, service: str, tenant: str) -> list[str]:
    """Return a tenant's holder, the service's other holders and the next gateway after them."""
    addresses = holders.holder_addresses(state, service)
    chosen = _chosen_holders(state, service, addresses).get(tenant, "")
    ranked = rank(service, tenant, addresses)
    if chosen:
        ranked.remove(chosen)
        ranked.insert(0, chosen)
    return ranked + holders.rank_gateways(state, service)[len(addresses) : len(addresses) + 1]


def rank(service: str, tenant: str, addresses: tuple[str, ...]) -> list[str]:
    """Return holders in the order in which a tenant prefers them."""
    return sorted(
        addresses,
        key=lambda address: xxhash.xxh3_64_intdigest(f"{service} {tenant} {address}".encode()),
    )


def choose(service: str, loads: dict[str, float], addresses: tuple[str, ...]) -> dict[str, str]:
    """Return the holder of each tenant; ``loads`` are the tenants' operations a second.

    The largest tenants choose first. A tenant takes the first holder of its preference that stays
    within the bound, or the one with the least load if there is none.
    """
    bound = LOAD_BOUND * sum(loads.values()) / len(addresses)
    taken = dict.fromkeys(addresses, 0.0)
    chosen: dict[str, str] = {}
    for tenant in sorted(loads, key=lambda name: (-loads[name], name)):
        preferred = rank(service, tenant, addresses)
        fitting = [item for item in preferred if taken[item] + loads[tenant] <= bound]
        address = fitting[0] if fitting else min(preferred, key=taken.__getitem__)
        taken[address] += loads[tenant]
        chosen[tenant] = address
    return chosen


def _chosen_holders(
    state: GatewayState, service: str, addresses: tuple[str, ...]
) -> dict[str, str]:
    """Return the holders of the configured tenants; they are kept until their inputs change."""
    version = state.configuration.version
    known = state.control.tenant_holders.get(service)
    if known is not None and known.version == version and known.addresses == addresses:
        return known.by_tenant
    tenants = state.configuration.tenants or {}
    loads = {
        name: tenant.rate_per_s if tenant.rate_per_s is not None else DEFAULT_LOAD
        for name, tenant in tenants.items()
    }
    chosen = choose(service, loads, addresses)
    state.control.tenant_holders[service] = TenantHolders(version, addresses, chosen)
    return chosen
