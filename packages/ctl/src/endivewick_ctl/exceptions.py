"""The exit codes of endivewickctl, and the exception that carries one."""

REFUSED = 1
USAGE = 2
CONFLICT = 3
UNREACHABLE = 4
NOT_IN_FORCE = 5

CONFLICT_ERRORS = ("change_conflict", "change_id_reused")


class CommandFailed(Exception):
    """A command failed; ``advice`` says what the operator can do next."""

    def __init__(self, exit_code: int, message: str, advice: str) -> None:
        """Store the exit code and the texts to print."""
        super().__init__(message)
        self.exit_code = exit_code
        self.message = message
        self.advice = advice
