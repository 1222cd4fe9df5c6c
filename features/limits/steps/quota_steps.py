"""Steps about the quota of a customer."""

from behave import given, then, when

from crocusvalve.config import CustomerConfig
from crocusvalve.limits import check_quota, make_customer_row
from features.core_builders import NOW


class QuotaSubject:
    """One customer, its row and the present time."""

    def __init__(self, rate, burst, max_in_flight):
        self.cfg = CustomerConfig(
            "k", (), (), rate_per_s=rate, burst=burst, max_in_flight=max_in_flight
        )
        self.row = make_customer_row("d/c", self.cfg, NOW)
        self.now = NOW
        self.results = []

    def arrive(self):
        retry_after_s = check_quota(self.row, self.cfg, self.now)
        self.row.in_flight += retry_after_s is None
        self.results.append(retry_after_s)
        return retry_after_s


@given("a quota of {rate:g} a second, a burst of {burst:d} and {n:d} under way at most")
def given_quota(context, rate, burst, n):
    context.quota = QuotaSubject(rate, burst, n)


@when("{n:d} requests arrive at once")
def when_arrive(context, n):
    for _ in range(n):
        context.quota.arrive()


@when("a request comes back when told")
def when_back(context):
    context.quota.now += context.quota.results[-1] + 1e-9
    context.quota.arrive()


@when("the time goes back by {n:d} s")
def when_time_back(context, n):
    context.quota.now -= n
    context.quota.arrive()
    context.quota.now += n


@then("{n:d} are admitted and the last is told to come back after {retry} s")
def then_admitted(context, n, retry):
    results = context.quota.results
    assert results.count(None) == n, results
    expected = None if retry == "none" else float(retry)
    assert results[-1] == expected, results[-1]


@then("that request is admitted")
def then_that(context):
    assert context.quota.results[-1] is None


@then("the next request is refused")
def then_refused(context):
    assert context.quota.arrive() is not None
