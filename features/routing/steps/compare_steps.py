"""Steps of choice.feature that compare the routers by simulation in virtual time."""

import heapq
import random
from itertools import count

from behave import given, then, when

from crocusvalve.membership._reports import REPORT_GAIN
from crocusvalve.model import UpstreamRow
from crocusvalve.routing import (
    find_in_flight_at,
    make_router,
    mark_full,
    record_attempt_end,
    record_attempt_start,
    update_service_time,
)
from features.core_builders import NOW, make_request

REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = 0.5
RETRY_DELAY_S = 0.01
MEAN_SERVICE_S = 0.5
SEEDS = (1, 2, 3)


class PoolSubject:
    """Simulation of entries, each with a router, and upstreams that slow down under load.

    ``events`` is a heap of ``(instant, number, method, arguments)``; the number breaks ties.
    """

    def __init__(self, router, n_entries, seed, *, n_upstreams=12, n_cold=1, n_slow=2):
        self.rng = random.Random(seed)
        self.limits = [2] * n_cold + [8] * (n_upstreams - n_cold)
        self.factors = [2.0] * (n_cold + n_slow) + [1.0] * (n_upstreams - n_cold - n_slow)
        self.busy = [0] * n_upstreams
        self.service_s = [MEAN_SERVICE_S * factor for factor in self.factors]
        self.routers = [
            make_router(router, random_state=random.Random(f"{seed}-{i}")) for i in range(n_entries)
        ]
        self.rows = [
            [
                UpstreamRow(upstream_id=f"{i}", domain="a", region="r", agent="", kind="engine")
                for i in range(n_upstreams)
            ]
            for _ in range(n_entries)
        ]
        self.req, self.latencies, self.events, self.number = make_request(), [], [], count()

    def push(self, time_s, method, *args):
        heapq.heappush(self.events, (time_s, next(self.number), method, args))

    def run(self, load, duration_s):
        capacity = sum(
            limit / service_s for limit, service_s in zip(self.limits, self.service_s, strict=True)
        )
        time_s = NOW
        while time_s < NOW + duration_s:
            time_s += self.rng.expovariate(load * capacity)
            entry = self.rng.randrange(len(self.rows))
            self.push(time_s, self.place, entry, time_s, self.rng.expovariate(1 / MEAN_SERVICE_S))
        for i in range(len(self.busy)):
            for k in range(int(duration_s / REPORT_INTERVAL_S)):
                self.push(NOW + k * REPORT_INTERVAL_S + i / len(self.busy), self.report, i)
        while self.events:
            now, _, method, args = heapq.heappop(self.events)
            method(now, *args)
        return sorted(self.latencies)

    def place(self, now, entry, arrived_at, service_s):
        row = self.routers[entry].choose(self.req, self.rows[entry], now)
        i = int(row.upstream_id) if row else 0
        if row is None or self.busy[i] >= self.limits[i]:
            if row is not None:
                mark_full(row, now)
            self.push(now + RETRY_DELAY_S, self.place, entry, arrived_at, service_s)
            return
        self.busy[i] += 1
        record_attempt_start(row, now)
        service_s *= self.factors[i] * (0.6 + 0.8 * self.busy[i] / self.limits[i])
        self.push(now + service_s, self.finish, row, i, arrived_at, service_s)

    def finish(self, now, row, i, arrived_at, service_s):
        self.busy[i] -= 1
        record_attempt_end(row, now)
        self.service_s[i] += 0.1 * (service_s - self.service_s[i])
        self.latencies.append(now - arrived_at)

    def report(self, now, i):
        self.push(now + REPORT_LAG_S, self.receive_report, i, now, self.busy[i], self.service_s[i])

    def receive_report(self, now, i, reported_at, busy, service_s):
        for row in (rows[i] for rows in self.rows):
            row.reported_in_flight, row.reported_limit = busy, self.limits[i]
            row.reported_at = reported_at
            update_service_time(row, service_s, REPORT_GAIN)
            row.local_in_flight_at_report = find_in_flight_at(row, reported_at)


@given("12 upstreams, 1 cold and 2 slow, whose reports are 0.5 to 1.5 s old")
def given_pool(context):
    context.p99 = {}


@when("{n:d} entries send half of the upstreams' capacity for {duration:d} s")
def when_send(context, n, duration):
    for name in ("expected_wait", "least_in_flight", "random", "round_robin"):
        runs = [PoolSubject(name, n, seed).run(0.5, duration) for seed in SEEDS]
        quantiles = [sum(x[int(q * len(x))] for x in runs) / len(runs) for q in (0.5, 0.95, 0.99)]
        print(f"{n} entries, {name}: p50 p95 p99 = {quantiles}")
        context.p99[name] = quantiles[-1]


@then("the p99 of expected_wait is at most {least:g} of least_in_flight's and {rand:g} of random's")
def then_p99_is_lower(context, least, rand):
    p99_s = context.p99["expected_wait"]
    assert p99_s <= least * context.p99["least_in_flight"], context.p99
    assert p99_s <= rand * context.p99["random"], context.p99
