"""Steps about the choice of an entry's subset of upstreams."""

from collections import Counter

from behave import given, then, when

from crocusvalve.membership import MembershipSystem, choose_subset
from crocusvalve.model import UpstreamRow
from features.core_builders import NOW, make_tables


class SubsetSubject:
    """Upstreams distributed evenly over domains and versions, and the subsets of the entries."""

    def __init__(self, n_upstreams, n_versions, n_domains, n_regions):
        self.n_domains, self.n_regions, self.n_versions = n_domains, n_regions, n_versions
        self.rows = [
            UpstreamRow(
                upstream_id=f"m/u{i}",
                domain=f"m/d{i % n_domains}",
                region=f"r{i % n_domains % n_regions}",
                agent="",
                kind="engine",
                serves=(f"m/x{i // n_domains % n_versions}@v",),
            )
            for i in range(n_upstreams)
        ]
        self.subsets = {}

    def choose(self, entry, n_per_domain, n_per_remote_region, rows=None):
        return choose_subset(
            f"entry-{entry}",
            self.rows if rows is None else rows,
            n_per_domain,
            region=f"r{entry % self.n_regions}",
            n_per_remote_region=n_per_remote_region,
        )

    def choose_all(self, n_entries, n_per_domain, n_per_remote_region):
        self.options = (n_per_domain, n_per_remote_region)
        self.subsets = {i: set(self.choose(i, *self.options)) for i in range(n_entries)}

    def count_groups(self, entry, is_local):
        """Count an entry's local upstreams by domain and version, or its remote ones by region."""
        local_region = f"r{entry % self.n_regions}"
        return Counter(
            (row.domain if is_local else row.region, row.serves)
            for row in self.rows
            if row.upstream_id in self.subsets[entry] and (row.region == local_region) == is_local
        )


@given("{n:d} upstreams of {v:d} versions in {d:d} failure domains of {r:d} regions")
def given_upstreams(context, n, v, d, r):
    context.subject = SubsetSubject(n, v, d, r)


@given(
    "{n:d} upstreams of {v:d} versions in {d:d} failure domains of {r:d} regions,"
    " the second version in the last region only"
)
def given_second_remote(context, n, v, d, r):
    context.subject = SubsetSubject(n, v, d, r)
    for row in context.subject.rows:
        if row.region == "r0":
            row.serves = ("m/x0@v",)


@given("a small document with {n:d} upstreams")
def given_small(context, n):
    context.tables = make_tables(n)


@when("{n:d} entries in all regions choose {k:d} upstreams per domain and {f:d} per remote region")
def when_choose(context, n, k, f):
    context.subject.choose_all(n, k, f)


@when("an entry of the first region chooses {k:d} upstreams per domain and {f:d} per remote region")
def when_one(context, k, f):
    context.subject.choose_all(1, k, f)


@then(
    "entries and upstreams form fewer than {n:d} pairs,"
    " with at most {x:g} times the mean number at any upstream"
)
def then_pairs(context, n, x):
    load = Counter(ref for subset in context.subject.subsets.values() for ref in subset)
    mean = load.total() / len(context.subject.rows)
    print(f"{load.total()} pairs, {mean:.1f} entries per upstream, at most {max(load.values())}")
    assert load.total() < n, load.total()
    assert max(load.values()) <= x * mean, max(load.values())


@then("each entry has {n:d} upstreams of each version in each domain of its region")
def then_local(context, n):
    for entry in context.subject.subsets:
        counts = context.subject.count_groups(entry, True)
        assert set(counts.values()) == {n}, counts
        assert len(counts) in (16, 24), len(counts)


@then("each entry has {n:d} upstreams of each version in each other region")
def then_remote(context, n):
    for entry in context.subject.subsets:
        counts = context.subject.count_groups(entry, False)
        assert set(counts.values()) == {n} and len(counts) == 32, counts


@then("every upstream is chosen by {n:d} entries or more")
def then_covered(context, n):
    load = Counter(ref for subset in context.subject.subsets.values() for ref in subset)
    assert min(load[row.upstream_id] for row in context.subject.rows) >= n, min(load.values())


@then("the loss of any of {n:d} upstreams changes at most one chosen upstream of each entry")
def then_upstream_loss(context, n):
    subject = context.subject
    for lost in subject.rows[:: len(subject.rows) // n][:n]:
        rows = [row for row in subject.rows if row is not lost]
        for entry in list(subject.subsets)[::40]:
            added = set(subject.choose(entry, *subject.options, rows)) - subject.subsets[entry]
            assert len(added) == (lost.upstream_id in subject.subsets[entry]), added


@then("the loss of an entry does not change the choices of the other entries")
def then_entry_loss(context):
    subject = context.subject
    again = {entry: set(subject.choose(entry, *subject.options)) for entry in (1, 7, 300)}
    assert all(subject.subsets[entry] == subset for entry, subset in again.items())


@then("it has {n:d} upstreams of the second version")
def then_n_of_second_version(context, n):
    subject = context.subject
    names = [row for row in subject.rows if row.upstream_id in subject.subsets[0]]
    assert sum(row.serves == ("m/x1@v",) for row in names) == n, len(names)


@then("the membership system keeps all of them as candidates")
def then_all(context):
    MembershipSystem("e1").run(context.tables, NOW)
    assert all(row.in_subset for row in context.tables.upstreams.values())
    assert len(context.tables.subset_by_version["d/m@v1"]) == len(context.tables.upstreams)
