"""Validation of customers' contracts.

Operators write a contract as a JSON object; ``check_contract`` reports all errors in it at once.
"""

from typing import Annotated, Literal, NotRequired

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

    ``group`` is the database group that holds the customer's data. ``max_staleness_ms`` limits the
    age of the data that a read returns, and ``connections`` the number of upstream connections that
    the customer uses at the same time. ``surge_share`` is the largest share of a group's queue that
    the customer's requests may take. ``acknowledge`` selects whether a write is acknowledged once
    the primary has it or only once a replica has it too.
    """

    group: Name
    max_staleness_ms: Annotated[int, Field(ge=0, le=3_600_000)]
    connections: Annotated[int, Field(ge=1, le=10_000)]
    surge_share: Annotated[float, Field(gt=0, le=1)]
    acknowledge: NotRequired[Literal["primary", "replica"]]


_adapter: TypeAdapter[ContractText] = TypeAdapter(ContractText)
_name_adapter: TypeAdapter[str] = TypeAdapter(Name)


def error_lines(error: ValidationError) -> list[str]:
    """Return one line per validation error, each with the path of the setting."""
    lines = []
    for fault in error.errors(include_url=False):
        path = ".".join(str(part) for part in fault["loc"]) or "(whole)"
        lines.append(f"{path}: {fault['msg']}")
    return lines


def check_contract(text: object) -> Result[ContractText, Failure]:
    """Validate a contract; return it, or one failure that lists every error."""
    try:
        return Success(_adapter.validate_python(text))
    except ValidationError as error:
        faults = error_lines(error)
        message = "the contract is invalid; correct all errors in details.faults and send it again"
        return Failed(Failure(CONTRACT_INVALID, message, details={"faults": faults}))


def is_name(text: object) -> bool:
    """Return whether ``text`` is a valid name for a customer, a group or an upstream."""
    try:
        _name_adapter.validate_python(text)
    except ValidationError:
        return False
    return True
