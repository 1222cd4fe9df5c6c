"""Steps that compare strategies for orders without the store, with the real guard of agents."""

import random
from collections import Counter

from behave import then, when

from crocusvalve.base import AttemptId, BootId
from crocusvalve.exceptions import RefusedError
from crocusvalve.orders import OrderGuard
from crocusvalve.utils import hash_to_unit

HOUR_S = 3600
AGENTS = ("p1", "p2", "p3")
LOST_ANSWER_FRACTION = 0.02
REPEAT_WITHIN_S = 60.0
RESTART_EVERY_S = 1200.0
#: Agent that is unavailable, and the begin and end of its outage in seconds.
OUTAGE = ("p3", 1200.0, 2400.0)


class StorelessSubject:
    """Simulates an hour of orders under one strategy.

    ``refuse``: every order is refused. ``hash``: an order runs at its home agent, which is chosen
    by the hash of its key among the available agents. ``ticket``: the first call of a key records
    its home agent and that agent's boot in a ticket, and a repeat runs nowhere else.
    """

    def __init__(self, strategy, seed):
        self.strategy = strategy
        self.rng = random.Random(seed)
        self.boots = dict.fromkeys(AGENTS, 0)
        self.guards = {name: self.make_guard(name) for name in AGENTS}
        self.runs = Counter()
        self.outcomes = Counter()
        self.tickets = {}

    def make_guard(self, name):
        return OrderGuard(boot_id=BootId(f"{name}-{self.boots[name]}"))

    def list_available(self, now):
        name, begin, end = OUTAGE
        return [agent for agent in AGENTS if agent != name or not begin <= now < end]

    def choose_home(self, key, now):
        return max(self.list_available(now), key=lambda name: hash_to_unit(name + key))

    def simulate(self):
        calls = [(float(i), f"k{i}") for i in range(HOUR_S)]
        lost = [call for call in calls if self.rng.random() < LOST_ANSWER_FRACTION]
        calls += [(now + self.rng.uniform(1, REPEAT_WITHIN_S), key) for now, key in lost]
        n_restarts = int(HOUR_S / RESTART_EVERY_S * len(AGENTS))
        restarts = [
            (self.rng.uniform(0, HOUR_S), None, self.rng.choice(AGENTS)) for _ in range(n_restarts)
        ]
        for now, key, *name in sorted(calls + restarts, key=lambda event: event[0]):
            if key is None:
                self.boots[name[0]] += 1
                self.guards[name[0]] = self.make_guard(name[0])
            else:
                self.outcomes[self.call(key, now)] += 1

    def call(self, key, now):
        if self.strategy == "refuse":
            return "not run"
        home = self.choose_home(key, now)
        boot = self.guards[home].boot_id
        if self.strategy == "ticket":
            home, boot = self.tickets.setdefault(key, (home, boot))
            if home not in self.list_available(now):
                return "unknown" if self.runs[key] else "not run"
            if boot != self.guards[home].boot_id:
                return "unknown"
        try:
            attempt = AttemptId(key)
            self.guards[home].admit(attempt, boot_id=boot, deadline=now + 120.0, now=now)
            self.guards[home].begin(attempt, now)
        except RefusedError:
            return "answered again"
        self.runs[key] += 1
        return "answered"

    @property
    def n_run_twice(self):
        return sum(n > 1 for n in self.runs.values())


@when("the hour is simulated with seed {seed:d} for each strategy")
def when_simulated(context, seed):
    context.strategies = {}
    for name in ("refuse", "hash", "ticket"):
        subject = context.strategies[name] = StorelessSubject(name, seed)
        subject.simulate()
        print(
            f"{name}: ran {len(subject.runs)}, run twice {subject.n_run_twice}, "
            f"{dict(subject.outcomes)}"
        )


@then(
    "refusing ran no order, a home agent by hash ran some orders twice, "
    "and one with tickets ran none twice"
)
def then_compared(context):
    strategies = context.strategies
    assert not strategies["refuse"].runs and set(strategies["refuse"].outcomes) == {"not run"}
    assert strategies["hash"].n_run_twice > 0
    assert strategies["ticket"].n_run_twice == 0
