"""Prints output as tables or as JSON."""

import json
from typing import Any


def print_json(value: object) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2, sort_keys=True))


def print_table(rows: list[dict[str, Any]], columns: tuple[str, ...]) -> None:
    """Print rows as a table with a header of column names."""
    if not rows:
        print("(none)")
        return
    cells = [[_text(row.get(column)) for column in columns] for row in rows]
    widths = [
        max(len(column), *(len(line[index]) for line in cells))
        for index, column in enumerate(columns)
    ]
    for line in [list(columns), *cells]:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(padded).rstrip())


def _text(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
