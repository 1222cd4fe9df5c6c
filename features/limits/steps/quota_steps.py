"""Steps of quota.feature."""

from behave import given, then, when

from crocusvalve.config import CustomerConfig
from crocusvalve.limits import check_quota, make_customer_row
from features.core_builders import NOW


class QuotaSubject:
    """One customer's quota and row, the current time and the results of its requests."""

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


@given("a quota of {rate:g} per second, a burst of {burst:d} and at most {n:d} in progress")
def given_quota(context, rate, burst, n):
    context.quota = QuotaSubject(rate, burst, n)


@when("{n:d} requests arrive at once")
def when_arrive(context, n):
    for _ in range(n):
        context.quota.arrive()


@when("a request is retried after the given time")
def when_retried(context):
    context.quota.now += context.quota.results[-1] + 1e-9
    context.quota.arrive()


@when("a request arrives while the clock is {delta:d} s behind")
def when_clock_behind(context, delta):
    context.quota.now -= delta
    context.quota.arrive()
    context.quota.now += delta


@then("{n:d} are admitted and the last may retry after {retry} s")
def then_admitted(context, n, retry):
    results = context.quota.results
    assert results.count(None) == n, results
    expected = None if retry == "none" else float(retry)
    assert results[-1] == expected, results[-1]


@then("that request is admitted")
def then_retry_admitted(context):
    assert context.quota.results[-1] is None


@then("the next request is refused")
def then_refused(context):
    assert context.quota.arrive() is not None
