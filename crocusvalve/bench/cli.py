"""Runs experiments by name, for the command line."""

from collections.abc import Callable
from pathlib import Path

from crocusvalve.bench._cost import run_cost
from crocusvalve.bench._deployments import DEPLOYMENTS
from crocusvalve.bench._domain import run_domain
from crocusvalve.bench._exposure import run_exposure
from crocusvalve.bench._latency import run_latency
from crocusvalve.bench._overhead import run_overhead
from crocusvalve.bench._report import BenchTable, format_table, write_tables
from crocusvalve.bench._slopes import run_slopes

__all__ = ["EXPERIMENTS", "run_bench"]

Experiment = Callable[[int, tuple[str, ...]], list[BenchTable]]

EXPERIMENTS: dict[str, Experiment] = {
    "exposure": run_exposure,
    "domain": run_domain,
    "latency": run_latency,
    "cost": run_cost,
    "slopes": run_slopes,
    "overhead": run_overhead,
}


def run_bench(
    name: str, *, seed: int = 1, out: str = "out", sizes: tuple[str, ...] = tuple(DEPLOYMENTS)
) -> list[BenchTable]:
    """Run an experiment, print its tables and write them as JSON and PNG.

    Parameters
    ----------
    name : str
        One of ``EXPERIMENTS``, or ``all``.
    seed : int
        Seed of all randomness.
    out : str
        Directory for the JSON and PNG files.
    sizes : tuple of str
        Deployments to simulate: ``delta``, ``sfax`` or both.

    Returns
    -------
    list of BenchTable
        Tables of all experiments that ran.

    Raises
    ------
    ValueError
        If an experiment or deployment is unknown, or ``sizes`` is empty.
    """
    if name != "all" and name not in EXPERIMENTS:
        raise ValueError(f"name must be one of {[*EXPERIMENTS, 'all']}, got {name!r}")
    unknown = [size for size in sizes if size not in DEPLOYMENTS]
    if unknown or not sizes:
        raise ValueError(f"sizes must be among {list(DEPLOYMENTS)}, got {list(sizes)!r}")
    names = list(EXPERIMENTS) if name == "all" else [name]
    tables: list[BenchTable] = []
    for experiment in names:
        results = EXPERIMENTS[experiment](seed, sizes)
        paths = write_tables(results, Path(out))
        for table in results:
            print(f"\n{table.name} (seed {seed})\n{format_table(table)}")
        print("written: " + ", ".join(str(path) for path in paths))
        tables += results
    return tables
