"""Retries, timeouts and limits for calls of the platform's service."""

import random
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from typing import TypeVar

import trio
from msgspec import Struct

from crocusvalve.exceptions import PlatformError
from crocusvalve.store._limits import Backoff, CircuitBreaker, CircuitState, TokenBucket
from crocusvalve.utils import Clock, MonotonicClock

__all__ = ["AttemptLimit", "CallGuard", "GuardCounters", "GuardSettings", "GuardedReply"]

T = TypeVar("T")

#: Minimum time left for the answer, in seconds; with less, no attempt is made.
MIN_ATTEMPT_S = 0.05


class GuardSettings(Struct, frozen=True, kw_only=True):
    """Limits on the calls of one client of the platform's service.

    Attributes
    ----------
    attempt_timeout_s : float
        Longest wait for one answer, and longest pause within it, in seconds.
    call_timeout_s : float
        Longest wait for a call with all its retries, in seconds; an answer whose bytes arrive may
        take longer.
    max_transfer_s : float
        Longest time for an answer whose bytes arrive, in seconds.
    backoff_base_s, backoff_max_s : float
        Upper bounds of the first delay and of any delay between retries, in seconds.
    n_failures_to_open : int
        Consecutive failures after which the circuit opens and calls are refused at once.
    probe_after_s : float
        Delay between probes of a failing service, in seconds.
    write_rate_per_s, write_burst : float
        This process's share of the service's write capacity: writes per second, and the most
        writes in one burst.
    """

    attempt_timeout_s: float = 1.0
    call_timeout_s: float = 3.0
    max_transfer_s: float = 30.0
    backoff_base_s: float = 0.05
    backoff_max_s: float = 1.0
    n_failures_to_open: int = 5
    probe_after_s: float = 0.5
    write_rate_per_s: float = 100.0
    write_burst: float = 100.0


class GuardCounters(Struct):
    """Numbers of calls and attempts, by outcome."""

    n_calls: int = 0
    n_attempts: int = 0
    n_failed_attempts: int = 0
    n_refused_open: int = 0
    n_refused_budget: int = 0
    n_given_up: int = 0


class GuardedReply(Struct, frozen=True):
    """Reply to a call, and the number of its earlier attempts that may have taken effect."""

    value: object
    n_unknown: int


class AttemptLimit:
    """Time limit of one attempt, which is extended while its answer arrives.

    Parameters
    ----------
    scope : trio.CancelScope
        Ends the attempt.
    timeout_s : float
        Longest pause within the answer, in seconds.
    max_transfer_s : float
        Longest time for the answer, in seconds.
    """

    _current: ContextVar["AttemptLimit | None"] = ContextVar("attempt_limit", default=None)

    def __init__(self, scope: trio.CancelScope, timeout_s: float, max_transfer_s: float):
        self._scope = scope
        self._timeout_s = timeout_s
        self._ends_at = trio.current_time() + max_transfer_s

    @classmethod
    def extend_current(cls) -> None:
        """Extend the limit of the running attempt, since a part of its answer has arrived."""
        limit = cls._current.get()
        if limit is not None:
            next_due = trio.current_time() + limit._timeout_s
            limit._scope.deadline = max(limit._scope.deadline, min(limit._ends_at, next_due))

    def activate(self) -> None:
        """Make this the limit of the task's running attempt."""
        self._current.set(self)


class CallGuard:
    """Runs calls with timeouts, backoff, a write budget and a circuit breaker.

    A caller waits at most ``call_timeout_s`` for an answer to begin; while the circuit is open,
    calls fail at once.

    Parameters
    ----------
    settings : GuardSettings
        Limits.
    random_state : random.Random
        Random source of the backoff's jitter.
    clock : Clock or None
        Source of the current time; None means the monotonic clock.
    peer : str
        Name of the service in error messages.
    """

    def __init__(
        self,
        *,
        settings: GuardSettings,
        random_state: random.Random,
        clock: Clock | None = None,
        peer: str = "platform",
    ):
        self.settings = settings
        self.clock = clock or MonotonicClock()
        self.peer = peer
        self.counters = GuardCounters()
        self.backoff = Backoff(
            base_s=settings.backoff_base_s,
            max_s=settings.backoff_max_s,
            random_state=random_state,
        )
        self.circuit = CircuitBreaker(
            n_failures_to_open=settings.n_failures_to_open, probe_after_s=settings.probe_after_s
        )
        self.write_budget = TokenBucket(
            rate_per_s=settings.write_rate_per_s, burst=settings.write_burst
        )

    @property
    def state(self) -> CircuitState:
        """Current state of the circuit."""
        return self.circuit.get_state(self.clock.now())

    async def run(
        self, step: str, call: Callable[[], Awaitable[T]], *, n_writes: int = 0
    ) -> GuardedReply:
        """Run a call, with retries, until it has an answer or ``call_timeout_s`` has elapsed.

        Parameters
        ----------
        step : str
            Name of the call in error messages.
        call : callable
            Makes one attempt; must be idempotent.
        n_writes : int
            Number of writes that each attempt uses up in the write budget.

        Raises
        ------
        PlatformError
            The call had no answer in time or was refused; ``maybe_applied`` is True if a write
            was sent and it is unknown whether it took effect.
        """
        self.counters.n_calls += 1
        started_at = self.clock.now()
        deadline_at = started_at + self.settings.call_timeout_s
        n_failures = n_unknown = 0
        while True:
            try:
                await self._wait_for_admission(step, n_writes, deadline_at)
                value = await self._attempt(step, call, deadline_at)
                self.circuit.record_success()
                return GuardedReply(value, n_unknown)
            except _AttemptRefusedError as exc:
                raise self._give_up(step, exc.reason, n_unknown) from exc
            except PlatformError as exc:
                n_failures += 1
                n_unknown += bool(exc.maybe_applied and n_writes)
                self._record_failure()
                delay_s = self.backoff.compute_delay_s(n_failures)
                if self.clock.now() + delay_s + MIN_ATTEMPT_S >= deadline_at:
                    raise self._give_up(step, exc.message, n_unknown) from exc
            await trio.sleep(delay_s)

    async def _wait_for_admission(self, step: str, n_writes: int, deadline_at: float) -> None:
        now = self.clock.now()
        if n_writes:
            wait_s = self.write_budget.compute_wait_s(n_writes, now)
            if now + wait_s + MIN_ATTEMPT_S > deadline_at:
                self.counters.n_refused_budget += 1
                raise _AttemptRefusedError("the write budget is exhausted")
        if not self.circuit.try_acquire(now):
            self.counters.n_refused_open += 1
            raise _AttemptRefusedError(
                "the service is failing; calls are refused until a probe succeeds"
            )
        if n_writes:
            await trio.sleep(self.write_budget.reserve(n_writes, now))

    async def run_once(self, step: str, call: Callable[[], Awaitable[T]]) -> T:
        """Make one attempt within its time limit, apart from the circuit and all counters."""
        return await self._limit(step, call, self.settings.attempt_timeout_s)

    async def _attempt(self, step: str, call: Callable[[], Awaitable[T]], deadline_at: float) -> T:
        self.counters.n_attempts += 1
        remaining_s = max(0.0, deadline_at - self.clock.now())
        return await self._limit(step, call, min(self.settings.attempt_timeout_s, remaining_s))

    async def _limit(self, step: str, call: Callable[[], Awaitable[T]], limit_s: float) -> T:
        timeout_s = self.settings.attempt_timeout_s
        with trio.move_on_after(limit_s) as scope:
            AttemptLimit(scope, timeout_s, self.settings.max_transfer_s).activate()
            return await call()
        raise PlatformError("no answer in time", step=step, peer=self.peer, maybe_applied=True)

    def _record_failure(self) -> None:
        self.counters.n_failed_attempts += 1
        self.circuit.record_failure(self.clock.now())

    def _give_up(self, step: str, reason: str, n_unknown: int) -> PlatformError:
        self.counters.n_given_up += 1
        return PlatformError(reason, step=step, peer=self.peer, maybe_applied=n_unknown > 0)


class _AttemptRefusedError(Exception):
    """An attempt was not made, because of the write budget or the open circuit."""

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason
