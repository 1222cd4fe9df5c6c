"""Experiments in virtual time over the policies and the stand-ins."""

from crocusvalve.bench._report import BenchTable
from crocusvalve.bench.cli import EXPERIMENTS, run_bench

__all__ = ["EXPERIMENTS", "BenchTable", "run_bench"]
