"""Steps about the experiments."""

import json
import tempfile
from pathlib import Path

from behave import given, then

from crocusvalve.base import RolloutState
from crocusvalve.bench import BenchTable, run_bench
from crocusvalve.bench._cluster import Cluster
from crocusvalve.bench._cost import CostTrial
from crocusvalve.bench._deployments import DELTA, SFAX
from crocusvalve.bench._domain import count_late_placements, run_domain_case
from crocusvalve.bench._exposure import ExposureTrial
from crocusvalve.bench._report import format_table, write_tables
from crocusvalve.bench._slopes import measure_upstreams


class BenchSubject:
    """Runs one trial of an experiment."""

    @staticmethod
    def run_trial(name, seed):
        if name == "exposure":
            return ExposureTrial(DELTA, "sequential", 0.5, seed).run()
        if name == "cost":
            return CostTrial(DELTA, "quality", "live", seed).run(2300)
        cluster = Cluster(SFAX, seed=seed)
        cluster.run_until(5.0)
        return cluster.outcomes


@then('"{name}" gives the same figures twice with seed {seed:d}')
def then_same(context, name, seed):
    context.figures = BenchSubject.run_trial(name, seed)
    assert BenchSubject.run_trial(name, seed) == context.figures


@then('"{name}" gives other figures with seed {seed:d}')
def then_other(context, name, seed):
    assert BenchSubject.run_trial(name, seed) != context.figures


@given('roll-outs of a version with half of its answers bad on "delta" for {n:d} seeds')
def given_rollouts(context, n):
    context.trials = [ExposureTrial(DELTA, "sequential", 0.5, seed) for seed in range(n)]
    context.runs = [trial.run() for trial in context.trials]


@then("each is withdrawn, with at most {n:d} of its answers given")
def then_bounded(context, n):
    for run in context.runs:
        assert run.state is RolloutState.WITHDRAWN
        assert run.n_exposed <= n, run


@then("no answer of it starts after the withdrawal is in force")
def then_none_after(context):
    for trial in context.trials:
        before = trial.n_exposed
        trial.loop.run_until(trial.loop.now + 300.0)
        assert trial.n_exposed == before


@given("a small table of results")
def given_table(context):
    context.results = BenchTable(
        name="small",
        seed=1,
        columns=("size", "p99 s"),
        rows=[("delta", 1.25), ("sfax", 12.0)],
        plot_y="p99 s",
        plot_group=("size",),
    )


@then("it is written as JSON and as PNG and printed with aligned columns")
def then_written(context):
    with tempfile.TemporaryDirectory() as tmp:
        paths = write_tables([context.results], Path(tmp))
        assert json.loads(paths[0].read_text())["rows"] == [["delta", 1.25], ["sfax", 12.0]]
        assert paths[1].read_bytes().startswith(b"\x89PNG")
    assert format_table(context.results) == "size   p99 s\ndelta  1.25\nsfax   12"


@then('running "{name}" for "{sizes}" fails with "{message}"')
def then_fails(context, name, sizes, message):
    try:
        run_bench(name, sizes=tuple(sizes.split(",")))
    except ValueError as exc:
        assert message in str(exc), exc
    else:
        raise AssertionError("no error")


@given('{end_s:g} s of "{size}" whose domain leaves at 60 s, entries and agents "{variant}"')
def given_domain(context, end_s, size, variant):
    context.cluster = run_domain_case(size, variant, 3, end_s=end_s)


@then("every request that ended was answered: {answered}")
def then_answered(context, answered):
    codes = [outcome.code for outcome in context.cluster.outcomes if outcome.code]
    assert len(context.cluster.outcomes) > 5000
    assert (not codes) == (answered == "yes"), codes


@then("attempts sent to the domain past the bound: {late}")
def then_late(context, late):
    n_late = count_late_placements(context.cluster)
    assert (n_late == 0) == (late == "none"), n_late


@then("the placement of a request looks at no more upstreams at {large:d} than at {small:d}")
def then_subset(context, large, small):
    found = {}

    def add(what, size, unit, value):
        found[what, size, unit] = value

    for size in (small, large):
        measure_upstreams(size, add)
    for what in ("candidates in the subset", "upstreams in the subset"):
        assert 0 < found[what, large, "rows"] <= found[what, small, "rows"]
    delta = "delta of one change"
    assert found[delta, large, "bytes"] == found[delta, small, "bytes"] < 1000
