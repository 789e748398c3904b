"""The failures of endivewickctl, each with its exit code."""

REFUSED = 1
USAGE = 2
CONFLICT = 3
UNREACHABLE = 4
NOT_IN_FORCE = 5

CONFLICTS = ("change_conflict", "change_id_reused")


class CommandFailed(Exception):
    """A command that did not do its work; ``advice`` says what to do next."""

    def __init__(self, exit_code: int, message: str, advice: str) -> None:
        """Keep what to print and how to exit."""
        super().__init__(message)
        self.exit_code = exit_code
        self.message = message
        self.advice = advice
