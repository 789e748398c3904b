"""Request ids, by which a home runs a request at most once.

A group's home issues the ids, and each carries the home epoch in which it is valid. A later home
has no record of the requests of earlier epochs and therefore refuses their ids. An id is base64url
of 16 bytes of HMAC-SHA256 over the rest, followed by the msgpack of ``RequestId``.
"""

import base64
import binascii
import hashlib
import hmac
from typing import NamedTuple

import msgspec

DIGEST_BYTES = 16
REQUEST_ID_LIMIT_BYTES = 512
REQUEST_ID_LIFE_MS = 120_000
REQUEST_IDS_PER_CALL = 1_000


class RequestId(NamedTuple):
    """The authenticated content of a request id.

    ``expires_ms`` is a time on the monotonic clock of the home that issued the id.
    """

    group: str
    home_epoch: int
    expires_ms: int
    serial: int


_decoder = msgspec.msgpack.Decoder(RequestId)


def _digest(key: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, b"request-id" + payload, hashlib.sha256)[:DIGEST_BYTES]


def encode_request_id(key: bytes, request_id: RequestId) -> str:
    """Encode and authenticate ``request_id`` as text."""
    payload = msgspec.msgpack.encode(request_id)
    return base64.urlsafe_b64encode(_digest(key, payload) + payload).decode()


def decode_request_id(key: bytes, text: str) -> RequestId | None:
    """Decode a request id; return None if it wasn't issued with ``key``."""
    if len(text) > REQUEST_ID_LIMIT_BYTES:
        return None
    try:
        raw = base64.b64decode(text, altchars=b"-_", validate=True)
        if not hmac.compare_digest(raw[:DIGEST_BYTES], _digest(key, raw[DIGEST_BYTES:])):
            return None
        return _decoder.decode(raw[DIGEST_BYTES:])
    except (binascii.Error, ValueError, msgspec.MsgspecError):
        return None
