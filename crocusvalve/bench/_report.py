"""Tables, JSON files and plots of the experiments."""

import json
import sys
from pathlib import Path

from msgspec import Struct, field, to_builtins

__all__ = ["BenchTable", "Progress", "compute_percentile", "format_table", "write_tables"]


class BenchTable(Struct, kw_only=True):
    """Result of an experiment.

    Attributes
    ----------
    name : str
        Name of the experiment.
    seed : int
        Seed of all randomness.
    columns : tuple of str
        Names of the columns, with their units.
    rows : list
        Values by column.
    plot_x : str
        Column on the x axis; empty for bars of ``plot_y``.
    plot_y : str
        Column on the y axis.
    plot_group : tuple of str
        Columns whose values identify a curve or bar.
    """

    name: str
    seed: int
    columns: tuple[str, ...]
    rows: list[tuple] = field(default_factory=list)
    plot_x: str = ""
    plot_y: str = ""
    plot_group: tuple[str, ...] = ()

    def get_column(self, name: str) -> list:
        """Return all values of a column."""
        index = self.columns.index(name)
        return [row[index] for row in self.rows]


class Progress:
    """Prints the number of completed parts to standard error, if that is a terminal.

    Parameters
    ----------
    n_total : int
        Number of parts.
    """

    def __init__(self, n_total: int):
        self.n_total = n_total
        self.n_done = 0

    def advance(self, text: str) -> None:
        """Count a completed part, described by ``text``, and print the progress."""
        self.n_done += 1
        if sys.stderr.isatty():
            end = "\n" if self.n_done == self.n_total else ""
            print(f"\r[{self.n_done}/{self.n_total}] {text:<60}", end=end, file=sys.stderr)


def compute_percentile(values: list[float], fraction: float) -> float:
    """Return the percentile at ``fraction``, in [0, 1], by nearest rank; NaN without values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _format_cell(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)


def format_table(table: BenchTable) -> str:
    """Return a table as text with aligned columns."""
    lines = [table.columns, *[tuple(_format_cell(cell) for cell in row) for row in table.rows]]
    widths = [max(len(line[index]) for line in lines) for index in range(len(table.columns))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def write_tables(tables: list[BenchTable], out: Path) -> list[Path]:
    """Write each table as JSON, and as a PNG plot if it has ``plot_y``; return the paths."""
    out.mkdir(parents=True, exist_ok=True)
    paths = []
    for table in tables:
        path = out / f"{table.name}.json"
        path.write_text(json.dumps(to_builtins(table), indent=1, sort_keys=True) + "\n")
        paths.append(path)
        if table.plot_y:
            paths.append(_plot(table, out / f"{table.name}.png"))
    return paths


def _plot(table: BenchTable, path: Path) -> Path:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(10, 5))
    groups = list(zip(*(table.get_column(name) for name in table.plot_group), strict=True))
    labels = [" ".join(str(part) for part in group) for group in groups]
    values = table.get_column(table.plot_y)
    if table.plot_x:
        xs = table.get_column(table.plot_x)
        for label in dict.fromkeys(labels):
            points = [
                (x, y) for x, y, name in zip(xs, values, labels, strict=True) if name == label
            ]
            axes.plot(*zip(*points, strict=True), marker="o", label=label)
        axes.set_xlabel(table.plot_x)
        axes.legend(fontsize=7)
    else:
        axes.barh(labels, values)
        axes.invert_yaxis()
        axes.tick_params(axis="y", labelsize=7)
    axes.set_title(f"{table.name}, seed {table.seed}")
    (axes.set_ylabel if table.plot_x else axes.set_xlabel)(table.plot_y)
    figure.tight_layout()
    figure.savefig(path, metadata={"Software": None})
    pyplot.close(figure)
    return path
