"""Steps of isolation.feature: simulation of one customer's overload in virtual time."""

import heapq
import random

from behave import given, then, when

from crocusvalve.config import CustomerConfig
from crocusvalve.limits import FairQueue, check_quota, make_customer_row
from features.core_builders import NOW, make_request

N_SLOTS = 64
MEAN_SERVICE_S = 0.5
DEADLINE_S = 30.0


class IsolationSubject:
    """Simulation of a queue before a pool of slots; arrivals and service times have one seed."""

    def __init__(self, n_customers, load, seed):
        self.n_customers = n_customers
        self.seed = seed
        self.quota = 0.0
        self.rate_per_s = load * N_SLOTS / MEAN_SERVICE_S / n_customers

    def make_arrivals(self, customer, factor, duration_s):
        """Sample a customer's arrivals, which don't depend on the load of the other customers."""
        rng = random.Random(f"{self.seed}-{customer}")
        time_s = 0.0
        while True:
            time_s += rng.expovariate(self.rate_per_s * factor)
            if time_s > duration_s:
                return
            yield time_s, customer, rng.expovariate(1 / MEAN_SERVICE_S)

    def run(self, factor, order, duration_s):
        """Return the sorted response times in seconds of all customers but the first."""
        customers = range(self.n_customers)
        factors = [factor if customer == 0 else 1.0 for customer in customers]
        arrivals = heapq.merge(*(self.make_arrivals(c, factors[c], duration_s) for c in customers))
        rate_per_s = self.quota * self.rate_per_s
        cfg = CustomerConfig(
            "k", (), (), rate_per_s=rate_per_s, burst=int(2 * rate_per_s), max_in_flight=10**6
        )
        rows = [make_customer_row(f"d/c{c}", cfg, NOW) for c in customers]
        queue, ends, times, service = FairQueue(max_per_member=10**6), [], [], {}
        for i, (time_s, customer, service_s) in enumerate(arrivals):
            while ends and ends[0] <= time_s:
                self.start_waiting(queue, ends, heapq.heappop(ends), times, service)
            name = f"c{customer}" if order == "fair" else "all"
            now = NOW + time_s
            if check_quota(rows[customer], cfg, now) is not None:
                continue
            req = make_request(f"{customer}-{i}", name, arrived_at=now, deadline=now + DEADLINE_S)
            service[req.request_id] = service_s
            queue.push(req, max_queue=10**6)
            if len(ends) < N_SLOTS:
                self.start_waiting(queue, ends, time_s, times, service)
        return sorted(times)

    def start_waiting(self, queue, ends, time_s, times, service):
        queue.pop_expired(NOW + time_s)
        req = queue.pop_ready(lambda req: True, NOW + time_s)
        if req is None:
            return
        end = time_s + service[req.request_id]
        heapq.heappush(ends, end)
        if not req.request_id.startswith("0-"):
            times.append(NOW + end - req.arrived_at)


@given("{n:d} customers at {load:g} of the capacity of 64 slots, from seed {seed:d}")
def given_customers(context, n, load, seed):
    context.subject = IsolationSubject(n, load, seed)


@given("a quota of {quota:g} times the load of each")
def given_quota_factor(context, quota):
    context.subject.quota = quota


@when("one customer sends five times its load for {duration:d} s")
def when_one_overloads(context, duration):
    context.duration_s = duration


@then("in {order} order the {quantiles} of the others' response times rise by {change} a tenth")
def then_change(context, order, quantiles, change):
    normal = context.subject.run(1.0, order, context.duration_s)
    overloaded = context.subject.run(5.0, order, context.duration_s)
    ratios = []
    for name in ("p50", "p95", "p99"):
        share = int(name[1:]) / 100
        before = normal[int(share * len(normal))]
        after = overloaded[int(share * len(overloaded))]
        print(f"{order} {name}: {before:.3f} s, overloaded {after:.3f} s")
        if name in quantiles:
            ratios.append(after / before)
    if change == "at most":
        assert max(ratios) <= 1.1, ratios
        assert len(overloaded) >= 0.99 * len(normal)
    else:
        assert max(ratios) > 1.1, ratios
