"""The contract of one customer, and its checks.

Operators write a contract as a JSON object; ``check_contract`` reports every fault in it at once.
"""

from typing import Annotated, Literal, NamedTuple, NotRequired

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError, with_config
from returns.result import Failure as Failed
from returns.result import Result, Success
from typing_extensions import TypedDict

from .exceptions import CONTRACT_INVALID, Failure

NAME_PATTERN = r"^[a-z0-9][a-z0-9.-]{0,62}$"
Name = Annotated[str, Field(pattern=NAME_PATTERN)]


@with_config(ConfigDict(extra="forbid", strict=True))
class ContractText(TypedDict):
    """A contract as an operator writes it.

    ``group`` names the database group that holds the customer's data, ``max_staleness_ms`` bounds
    the age of data in a read, ``connections`` bounds the upstream connections that the customer
    holds at one time, ``surge_share`` is the part of a group's queue that the customer may claim,
    and ``acknowledge`` says who must hold a write before it is acknowledged.
    """

    group: Name
    max_staleness_ms: Annotated[int, Field(ge=0, le=3_600_000)]
    connections: Annotated[int, Field(ge=1, le=10_000)]
    surge_share: Annotated[float, Field(gt=0, le=1)]
    acknowledge: NotRequired[Literal["primary", "replica"]]


class Contract(NamedTuple):
    """A contract in force; ``version`` counts the accepted changes of this customer."""

    customer: str
    version: int
    group: str
    max_staleness_ms: int
    connections: int
    surge_share: float
    acknowledge: str


_adapter: TypeAdapter[ContractText] = TypeAdapter(ContractText)
_name_adapter: TypeAdapter[str] = TypeAdapter(Name)


def fault_list(error: ValidationError) -> list[str]:
    """Return one line per fault, each with the path of the setting."""
    lines = []
    for fault in error.errors(include_url=False):
        path = ".".join(str(part) for part in fault["loc"]) or "(whole)"
        lines.append(f"{path}: {fault['msg']}")
    return lines


def check_contract(text: object) -> Result[ContractText, Failure]:
    """Return the checked contract, or one failure that lists every fault."""
    try:
        return Success(_adapter.validate_python(text))
    except ValidationError as error:
        faults = fault_list(error)
        message = "the contract has faults; correct each one and send it again"
        return Failed(Failure(CONTRACT_INVALID, message, details={"faults": faults}))


def is_name(text: object) -> bool:
    """Tell whether ``text`` can name a customer, a group or an upstream."""
    try:
        _name_adapter.validate_python(text)
    except ValidationError:
        return False
    return True


def contract_text(contract: Contract) -> dict[str, object]:
    """Return the part of a contract that operators write."""
    return {
        "group": contract.group,
        "max_staleness_ms": contract.max_staleness_ms,
        "connections": contract.connections,
        "surge_share": contract.surge_share,
        "acknowledge": contract.acknowledge,
    }
