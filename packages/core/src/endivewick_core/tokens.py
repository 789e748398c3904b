"""Session tokens: the log positions that a caller's session has seen, authenticated and opaque.

A token maps each group to the highest position that the session has written or read. Proxies keep
no session state, so a session can continue at any proxy. A token is base64url of 16 bytes of
HMAC-SHA256 over the rest, followed by the msgpack of ``{group: [term, index]}``.
"""

import base64
import binascii
import hashlib
import hmac
from functools import lru_cache
from typing import NamedTuple

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from .exceptions import TOKEN_INVALID, Failure
from .positions import Position

DIGEST_BYTES = 16
TOKEN_LIMIT_BYTES = 4096
TOKENS_CACHED = 8_192


class SessionToken(NamedTuple):
    """The positions of one session, by group."""

    positions: dict[str, Position]


EMPTY = SessionToken({})
_decoder = msgspec.msgpack.Decoder(dict[str, Position])
_encode = msgspec.msgpack.encode


def _digest(key: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, payload, hashlib.sha256)[:DIGEST_BYTES]


def encode_token(key: bytes, token: SessionToken) -> str:
    """Encode ``token`` as text and authenticate it with the cluster's session key."""
    payload = _encode(token.positions)
    return base64.urlsafe_b64encode(_digest(key, payload) + payload).decode()


@lru_cache(maxsize=TOKENS_CACHED)
def decode_token(key: bytes, text: str) -> Result[SessionToken, Failure]:
    """Decode the token in ``text``; an empty text is the empty token.

    Results are cached, since sessions send the same token repeatedly.
    """
    if not text:
        return Success(EMPTY)
    if len(text) > TOKEN_LIMIT_BYTES:
        return Failed(Failure(TOKEN_INVALID, f"the token exceeds {TOKEN_LIMIT_BYTES} bytes"))
    try:
        raw = base64.b64decode(text, altchars=b"-_", validate=True)
        if not hmac.compare_digest(raw[:DIGEST_BYTES], _digest(key, raw[DIGEST_BYTES:])):
            raise ValueError
        return Success(SessionToken(_decoder.decode(raw[DIGEST_BYTES:])))
    except (binascii.Error, ValueError, msgspec.MsgspecError):
        return Failed(
            Failure(
                TOKEN_INVALID,
                "the session token is invalid; send the last token received unchanged, or no token",
            )
        )


def advance(token: SessionToken, group: str, position: Position) -> SessionToken:
    """Return ``token`` with the higher of its position of ``group`` and ``position``."""
    current = token.positions.get(group)
    if current is not None and current >= position:
        return token
    return SessionToken({**token.positions, group: position})
