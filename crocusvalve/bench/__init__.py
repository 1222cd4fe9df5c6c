"""Experiments on the policies with simulated services, most of them in virtual time."""

from crocusvalve.bench._report import BenchTable
from crocusvalve.bench.cli import EXPERIMENTS, run_bench

__all__ = ["EXPERIMENTS", "BenchTable", "run_bench"]
