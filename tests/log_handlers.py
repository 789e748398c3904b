"""Takes down the log handlers that a test sets up."""

from contextlib import contextmanager

from loguru import logger


@contextmanager
def temporary_log_handlers():
    """Remove all log handlers at the end; the descriptor of one may be used again later."""
    try:
        yield logger
    finally:
        logger.remove()
