"""The control log in memory, without the compacted prefix, which a snapshot covers."""

from dataclasses import dataclass, field

from ..messages import LogEntry


@dataclass(slots=True)
class Log:
    """The entries after ``start_index``; ``start_term`` is the term of the entry at that index."""

    start_index: int = 0
    start_term: int = 0
    entries: list[LogEntry] = field(default_factory=list)

    @property
    def last_index(self) -> int:
        """The index of the last entry; if there is none, that of the compacted prefix."""
        return self.start_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry; if there is none, that of the compacted prefix."""
        return self.entries[-1].term if self.entries else self.start_term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, or None if the log doesn't hold it."""
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
        """Remove the entries from ``from_index`` on."""
        del self.entries[from_index - self.start_index - 1 :]

    def compact(self, up_to: int) -> None:
        """Remove the entries up to ``up_to``, which a snapshot covers."""
        term = self.term_at(up_to)
        if term is None or up_to <= self.start_index:
            return
        del self.entries[: up_to - self.start_index]
        self.start_index = up_to
        self.start_term = term
