"""The in-memory image of the control log, whose prefix a snapshot has replaced."""

from dataclasses import dataclass, field

from ..messages import LogEntry


@dataclass(slots=True)
class Log:
    """Entries after ``start_index``; the entry there had ``start_term``."""

    start_index: int = 0
    start_term: int = 0
    entries: list[LogEntry] = field(default_factory=list)

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot."""
        return self.start_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the snapshot."""
        return self.entries[-1].term if self.entries else self.start_term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, or None where the log doesn't hold it."""
        if index == self.start_index:
            return self.start_term
        if index < self.start_index or index > self.last_index:
            return None
        return self.entries[index - self.start_index - 1].term

    def slice(self, after: int, limit: int) -> list[LogEntry]:
        """Return up to ``limit`` entries that follow index ``after``."""
        first = after - self.start_index
        return self.entries[first : first + limit]

    def entry(self, index: int) -> LogEntry:
        """Return the entry at ``index``."""
        return self.entries[index - self.start_index - 1]

    def truncate(self, from_index: int) -> None:
        """Drop the entries from ``from_index`` on."""
        del self.entries[from_index - self.start_index - 1 :]

    def compact(self, up_to: int) -> None:
        """Drop the entries up to ``up_to``, which a snapshot holds."""
        term = self.term_at(up_to)
        if term is None or up_to <= self.start_index:
            return
        del self.entries[: up_to - self.start_index]
        self.start_index = up_to
        self.start_term = term
