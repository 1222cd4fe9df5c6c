"""Steps of the experiments' features."""

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
    """Runs a short trial of an experiment by name."""

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
def then_figures_are_equal(context, name, seed):
    context.figures = BenchSubject.run_trial(name, seed)
    assert BenchSubject.run_trial(name, seed) == context.figures


@then('"{name}" gives different figures with seed {seed:d}')
def then_figures_differ(context, name, seed):
    assert BenchSubject.run_trial(name, seed) != context.figures


@given('roll-outs of a version with half of its answers bad on "delta" for {n:d} seeds')
def given_rollouts(context, n):
    context.trials = [ExposureTrial(DELTA, "sequential", 0.5, seed) for seed in range(n)]
    context.runs = [trial.run() for trial in context.trials]


@then("each roll-out is withdrawn, with at most {n:d} answers by its version")
def then_exposure_is_bounded(context, n):
    for run in context.runs:
        assert run.state is RolloutState.WITHDRAWN
        assert run.n_exposed <= n, run


@then("no answer by that version starts after all entries have applied the withdrawal")
def then_no_further_answers(context):
    for trial in context.trials:
        before = trial.n_exposed
        trial.loop.run_until(trial.loop.now + 300.0)
        assert trial.n_exposed == before


@given("a table of two results")
def given_result_table(context):
    context.results = BenchTable(
        name="small",
        seed=1,
        columns=("size", "p99 s"),
        rows=[("delta", 1.25), ("sfax", 12.0)],
        plot_y="p99 s",
        plot_group=("size",),
    )


@then("the table is written as JSON and as PNG and formatted with aligned columns")
def then_table_is_written(context):
    with tempfile.TemporaryDirectory() as tmp:
        paths = write_tables([context.results], Path(tmp))
        assert json.loads(paths[0].read_text())["rows"] == [["delta", 1.25], ["sfax", 12.0]]
        assert paths[1].read_bytes().startswith(b"\x89PNG")
    assert format_table(context.results) == "size   p99 s\ndelta  1.25\nsfax   12"


@then('running "{name}" for "{sizes}" fails with "{message}"')
def then_run_fails(context, name, sizes, message):
    try:
        run_bench(name, sizes=tuple(sizes.split(",")))
    except ValueError as exc:
        assert message in str(exc), exc
    else:
        raise AssertionError("the experiment ran without a ValueError")


@given(
    'a run of {end_s:g} s of "{size}" with a domain taken out of service at 60 s '
    'and with routing and publication "{variant}"'
)
def given_domain_run(context, end_s, size, variant):
    context.cluster = run_domain_case(size, variant, 3, end_s=end_s)


@then("all requests that ended were answered: {answered}")
def then_answered(context, answered):
    codes = [outcome.code for outcome in context.cluster.outcomes if outcome.code]
    assert len(context.cluster.outcomes) > 5000
    assert (not codes) == (answered == "yes"), codes


@then("attempts sent to the domain after the bound: {late}")
def then_late_attempts(context, late):
    n_late = count_late_placements(context.cluster)
    assert (n_late == 0) == (late == "none"), n_late


@then(
    "placing a request considers no more upstreams at {large:d} upstreams than at {small:d}, "
    "and a configuration delta has the same size"
)
def then_placement_is_bounded(context, large, small):
    values = {}

    def add(quantity, size, unit, value):
        values[quantity, size, unit] = value

    for size in (small, large):
        measure_upstreams(size, add)
    for quantity in ("candidates in the subset", "upstreams in the subset"):
        assert 0 < values[quantity, large, "rows"] <= values[quantity, small, "rows"]
    delta = "delta of one change"
    assert values[delta, large, "bytes"] == values[delta, small, "bytes"] < 1000
