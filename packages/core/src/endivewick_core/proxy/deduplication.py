"""Deduplication: the home runs each request id that it issued at most once.

A request id is valid only in the home epoch that issued it, and its record is kept until the id
expires. A home therefore has the full history of every id that it accepts, and a new home refuses
the ids of earlier epochs.
"""

import msgspec
import xxhash

from ..exceptions import (
    REQUEST_ID_EXPIRED,
    REQUEST_ID_INVALID,
    REQUEST_ID_REUSED,
    REQUEST_IN_PROGRESS,
    Failure,
)
from ..messages import ForwardedAnswer
from ..request_ids import (
    REQUEST_ID_LIFE_MS,
    REQUEST_IDS_PER_CALL,
    RequestId,
    decode_request_id,
    encode_request_id,
)
from . import answers
from .effects import ForwardAnswer
from .state import DeduplicationRecord, Home, ProxyState
from .work import Work

DUPLICATE_WINDOW_MS = 10_000


def issue(state: ProxyState, now_ms: int, home: Home, work: Work) -> ForwardAnswer:
    """Issue the request ids that a caller asked for."""
    count = work.statement if isinstance(work.statement, int) else 1
    request_ids: list[str] = []
    for _ in range(min(count, REQUEST_IDS_PER_CALL)):
        home.serial += 1
        request_id = RequestId(home.group, home.epoch, now_ms + REQUEST_ID_LIFE_MS, home.serial)
        request_ids.append(encode_request_id(state.settings.session_key, request_id))
    value = {"request_ids": request_ids, "life_ms": REQUEST_ID_LIFE_MS}
    return answers.value_answer(state, now_ms, home, work, value)


def check(
    state: ProxyState, now_ms: int, home: Home, work: Work
) -> Failure | answers.RepeatedAnswer | None:
    """Admit a new request id; return the recorded answer or a failure for one seen before."""
    if not work.request_id:
        return None
    request_id = decode_request_id(state.settings.session_key, work.request_id)
    if request_id is None or request_id.group != home.group:
        message = "no proxy issued this request id for this customer; get one from /v1/request-ids"
        return Failure(REQUEST_ID_INVALID, message)
    if request_id.home_epoch != home.epoch or now_ms >= request_id.expires_ms:
        message = (
            "the request id is no longer valid and this attempt was not run; if you sent it "
            "before, read the data to learn its outcome, then get a new request id"
        )
        return Failure(REQUEST_ID_EXPIRED, message)
    digest = _digest(work)
    record = home.deduplication.get(work.request_id)
    if record is None:
        home.deduplication[work.request_id] = DeduplicationRecord(
            digest, request_id.expires_ms, None
        )
        return None
    if record.digest != digest:
        return Failure(REQUEST_ID_REUSED, "this request id was used for another statement")
    if record.answer is None:
        message = "the first request with this id is still running; send it again later"
        return Failure(REQUEST_IN_PROGRESS, message, retry_after_ms=100)
    return answers.RepeatedAnswer(record.answer)


def record(home: Home, work: Work, answer: ForwardedAnswer) -> None:
    """Record the answer to a request id, to return it when the request is sent again."""
    known = home.deduplication.get(work.request_id)
    if known is not None:
        home.deduplication[work.request_id] = known._replace(answer=answer)


def forget(home: Home, work: Work) -> None:
    """Remove the record of a request that was not run, so that it may be sent again."""
    known = home.deduplication.get(work.request_id)
    if known is not None and known.answer is None:
        del home.deduplication[work.request_id]


def sweep(home: Home, now_ms: int) -> None:
    """Remove records of expired request ids, and of forwards past the duplicate window."""
    outdated = [
        key for key, at_ms in home.received_ms.items() if now_ms - at_ms >= DUPLICATE_WINDOW_MS
    ]
    for origin in outdated:
        del home.received_ms[origin]
    expired = [key for key, item in home.deduplication.items() if now_ms >= item.expires_ms]
    for key in expired:
        if home.deduplication[key].answer is not None:
            del home.deduplication[key]


def _digest(work: Work) -> bytes:
    content = msgspec.msgpack.encode((work.operation, work.customer, work.statement))
    return xxhash.xxh3_128_digest(content)
