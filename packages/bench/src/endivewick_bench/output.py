"""The end of each command of this package: its result as JSON, printed and kept."""

import json
import sys
from pathlib import Path
from typing import Any


def refuse_words(arguments: list[str]) -> None:
    """End the command where it was given words besides its flags."""
    if len(arguments) > 1:
        sys.exit(f"{Path(arguments[0]).stem} takes flags only; see --help")


def show_result(result: dict[str, Any], path: str) -> None:
    """Print a result, and write it to ``path`` unless that is empty."""
    text = json.dumps(result, indent=2)
    print(text)
    if path:
        Path(path).write_text(text + "\n")
