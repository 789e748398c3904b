"""The failures that endivewick reports, each with a type, an HTTP status and whether work ran.

A failure is a value, never a bare string. ``FailureType.ran`` tells the caller what happened to the
request: ``not_run`` means that no part of it reached an upstream, ``outcome_unknown`` that it may
have run, and ``run`` that it ran on an upstream and failed there.
"""

from typing import Literal, NamedTuple

Ran = Literal["not_run", "outcome_unknown", "run"]


class FailureType(NamedTuple):
    """A documented type of failure: its name in responses, HTTP status and ``ran``."""

    name: str
    status: int
    ran: Ran


class Failure(NamedTuple):
    """The failure of one request, as reported to its caller."""

    type: FailureType
    message: str
    retry_after_ms: int = 0
    details: dict[str, object] | None = None


MALFORMED_REQUEST = FailureType("malformed_request", 400, "not_run")
REQUEST_TOO_LARGE = FailureType("request_too_large", 413, "not_run")
SLOW_REQUEST = FailureType("slow_request", 408, "not_run")
UNKNOWN_PATH = FailureType("unknown_path", 404, "not_run")
METHOD_NOT_ALLOWED = FailureType("method_not_allowed", 405, "not_run")
UNKNOWN_CUSTOMER = FailureType("unknown_customer", 404, "not_run")
TOKEN_INVALID = FailureType("token_invalid", 400, "not_run")
SESSION_LOST = FailureType("session_lost", 409, "not_run")
CONFIGURATION_STALE = FailureType("configuration_stale", 503, "not_run")
DRAINING = FailureType("draining", 503, "not_run")
NO_HOME = FailureType("no_home", 503, "not_run")
NOT_HOME = FailureType("not_home", 503, "not_run")
OVERLOADED = FailureType("overloaded", 503, "not_run")
DEADLINE_EXCEEDED = FailureType("deadline_exceeded", 504, "not_run")
OUTCOME_UNKNOWN = FailureType("outcome_unknown", 504, "outcome_unknown")
READ_FAILED = FailureType("read_failed", 502, "outcome_unknown")
REQUEST_ID_INVALID = FailureType("request_id_invalid", 400, "not_run")
REQUEST_ID_EXPIRED = FailureType("request_id_expired", 409, "not_run")
REQUEST_ID_REUSED = FailureType("request_id_reused", 409, "not_run")
REQUEST_IN_PROGRESS = FailureType("request_in_progress", 409, "not_run")
TRANSACTION_UNKNOWN = FailureType("transaction_unknown", 409, "not_run")
TRANSACTION_LOST = FailureType("transaction_lost", 409, "not_run")
TRANSACTION_BUSY = FailureType("transaction_busy", 409, "not_run")
UPSTREAM_ERROR = FailureType("upstream_error", 422, "run")

CONTRACT_INVALID = FailureType("contract_invalid", 400, "not_run")
CHANGE_CONFLICT = FailureType("change_conflict", 409, "not_run")
CHANGE_ID_REUSED = FailureType("change_id_reused", 409, "not_run")
UNKNOWN_UPSTREAM = FailureType("unknown_upstream", 404, "not_run")
NOT_LEADER = FailureType("not_leader", 503, "not_run")
NO_QUORUM = FailureType("no_quorum", 503, "not_run")
CHANGE_UNKNOWN = FailureType("change_outcome_unknown", 504, "outcome_unknown")
NO_ANSWER = FailureType("no_answer", 504, "outcome_unknown")
CONFIGURATION_INVALID = FailureType("configuration_invalid", 400, "not_run")
REPORT_INVALID = FailureType("report_invalid", 400, "not_run")
UNAUTHORIZED = FailureType("unauthorized", 401, "not_run")
BOOTSTRAP_REFUSED = FailureType("bootstrap_refused", 409, "not_run")

CALLER_FAILURES = (
    MALFORMED_REQUEST,
    REQUEST_TOO_LARGE,
    SLOW_REQUEST,
    UNKNOWN_PATH,
    METHOD_NOT_ALLOWED,
    UNKNOWN_CUSTOMER,
    TOKEN_INVALID,
    SESSION_LOST,
    CONFIGURATION_STALE,
    DRAINING,
    NO_HOME,
    NOT_HOME,
    OVERLOADED,
    DEADLINE_EXCEEDED,
    OUTCOME_UNKNOWN,
    READ_FAILED,
    REQUEST_ID_INVALID,
    REQUEST_ID_EXPIRED,
    REQUEST_ID_REUSED,
    REQUEST_IN_PROGRESS,
    TRANSACTION_UNKNOWN,
    TRANSACTION_LOST,
    TRANSACTION_BUSY,
    UPSTREAM_ERROR,
)
OPERATOR_FAILURES = (
    CONTRACT_INVALID,
    CHANGE_CONFLICT,
    CHANGE_ID_REUSED,
    UNKNOWN_UPSTREAM,
    NOT_LEADER,
    NO_QUORUM,
    CHANGE_UNKNOWN,
    BOOTSTRAP_REFUSED,
    NO_ANSWER,
    CONFIGURATION_INVALID,
    REPORT_INVALID,
    UNAUTHORIZED,
)
FAILURES_BY_NAME = {failure.name: failure for failure in CALLER_FAILURES + OPERATOR_FAILURES}


def failure_body(failure: Failure) -> dict[str, object]:
    """Return the JSON response body for ``failure``."""
    body: dict[str, object] = {
        "error": failure.type.name,
        "ran": failure.type.ran,
        "message": failure.message,
    }
    if failure.retry_after_ms:
        body["retry_after_ms"] = failure.retry_after_ms
    if failure.details:
        body["details"] = failure.details
    return body
