"""Configuration documents: what the operator sent, kept byte for byte and compressed.

Documents of hundreds of routes shrink to a fifth, which is what the log, the snapshots and the
links to gateways then carry.
"""

import zlib


def compress(document: bytes) -> bytes:
    """Return the compressed form of a document."""
    return zlib.compress(document, 6)


def expand(compressed: bytes) -> bytes:
    """Return the document of a compressed form."""
    return zlib.decompress(compressed)
