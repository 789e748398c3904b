"""Plots of the results under docs/measures, drawn from the JSON that the measures wrote."""

import json
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from absl import app, flags  # noqa: E402
from matplotlib import pyplot  # noqa: E402

from .output import refuse_words  # noqa: E402

_FOLDER = flags.DEFINE_string("folder", "docs/measures", "Where the results are.")

SITES = ("nile", "lakeshore")
PARTS = ("detection", "revocation", "spreading", "promotion", "resumption")


def plot_soak(
    answers: list[tuple[float, bool]], faults: list[tuple[float, str]], path: Path
) -> None:
    """Draw the answers a second, good and bad, and when each fault struck.

    ``answers`` are times in ms with whether the answer was a success, ``faults`` times with names.
    """
    first_ms = answers[0][0]
    seconds = int((answers[-1][0] - first_ms) // 1000) + 1
    figure, axes = pyplot.subplots(figsize=(10, 5))
    for is_good, label in ((True, "served"), (False, "refused, cut or unknown")):
        counts = [0] * seconds
        for at_ms, good in answers:
            if good is is_good:
                counts[int((at_ms - first_ms) // 1000)] += 1
        axes.step(range(seconds), counts, where="post", label=label)
    for at_ms, name in faults:
        axes.axvline((at_ms - first_ms) / 1000, color="0.85", zorder=0)
        place = ((at_ms - first_ms) / 1000, 1.0)
        axes.annotate(
            name, place, xycoords=("data", "axes fraction"), rotation=90, va="top", fontsize=5
        )
    axes.set_xlabel("seconds")
    axes.set_ylabel("answers a second")
    axes.legend(fontsize="small", loc="lower left")
    _save(figure, path)


def plot_crest(result: dict[str, Any], path: Path) -> None:
    """Draw goodput over the load, with and without admission control."""
    figure, axes = pyplot.subplots(figsize=(6, 4))
    for name, label in (
        ("with_limits", "admission control"),
        ("baseline_no_admission", "baseline: none"),
    ):
        levels = result["crest"][name]["levels"]
        loads = [int(level) for level in levels]
        axes.plot(loads, [row["goodput_per_second"] for row in levels.values()], "o-", label=label)
    axes.set_xlabel("load (times saturation)")
    axes.set_ylabel("good answers a second")
    axes.set_ylim(bottom=0)
    axes.set_title(f"Service at the crest, {result['site']}")
    axes.legend()
    _save(figure, path)


def plot_gap(result: dict[str, Any], path: Path) -> None:
    """Draw the parts of the failover gap."""
    figure, axes = pyplot.subplots(figsize=(6, 3))
    for how in ("kill", "isolation"):
        left = 0.0
        for number, part in enumerate(PARTS):
            width = result["gap"][how]["parts_median_ms"][part]
            label = part if how == "kill" else None
            axes.barh(how, width, left=left, color=f"C{number}", label=label)
            left += width
    axes.set_xlabel("milliseconds (median of each part)")
    axes.set_title(f"Failover gap, {result['site']}")
    axes.legend(fontsize="small")
    _save(figure, path)


def plot_blocking(result: dict[str, Any], path: Path) -> None:
    """Draw the p99 of short work without and beside long reports."""
    figure, axes = pyplot.subplots(figsize=(6, 3))
    names = list(result["blocking"])
    for offset, load, label in (
        (-0.2, "short_only", "short work alone"),
        (0.2, "with_long", "beside long reports"),
    ):
        values = [result["blocking"][name][load]["p99_ms"] for name in names]
        axes.bar([place + offset for place in range(len(names))], values, 0.4, label=label)
    axes.set_xticks(range(len(names)), [name.replace("_", " ") for name in names])
    axes.set_yscale("log")
    axes.set_ylabel("p99 of short work, ms (log)")
    axes.set_title(f"Waiting behind long work, {result['site']}")
    axes.legend()
    _save(figure, path)


def plot_replicas(result: dict[str, Any], path: Path) -> None:
    """Draw the share of reads that replicas served."""
    figure, axes = pyplot.subplots(figsize=(5, 3))
    names = list(result["replicas"])
    axes.bar(names, [100 * result["replicas"][name]["share"] for name in names])
    axes.set_ylabel("reads by replicas, %")
    axes.set_ylim(0, 100)
    axes.set_title(f"Replica reads beside a lagging replica, {result['site']}")
    _save(figure, path)


def _save(figure: Any, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


PLOTS = {
    "crest": plot_crest,
    "gap": plot_gap,
    "blocking": plot_blocking,
    "replicas": plot_replicas,
}


def main(arguments: list[str]) -> None:
    """Draw every plot whose result is there."""
    refuse_words(arguments)
    folder = Path(_FOLDER.value)
    for site in SITES:
        path = folder / f"{site}.json"
        if not path.exists():
            continue
        result = json.loads(path.read_text())
        for name, plot in PLOTS.items():
            if name in result:
                plot(result, folder / f"{site}-{name}.png")


if __name__ == "__main__":
    app.run(main)
