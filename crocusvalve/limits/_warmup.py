"""Concurrency limit that rises while an upstream warms up."""

from enum import Enum

from crocusvalve.base import UpstreamState
from crocusvalve.exceptions import InvariantError
from crocusvalve.utils import check_range

__all__ = ["LimiterPhase", "WarmupLimiter"]

#: Largest ratio of the smoothed to the best time per token at which the limit grows.
GROW_RATIO = 1.6
#: Ratio of the smoothed to the best time per token above which the limit shrinks.
SHRINK_RATIO = 3.0
#: Ratio of the smoothed to the best time per token above which the limit falls to the cold limit.
RESET_RATIO = 8.0
#: Factor by which the limit shrinks.
SHRINK_FACTOR = 0.7
#: Weight of a new observation in the moving averages.
EWMA_WEIGHT = 0.2
#: Largest ratio of one observed time per token to the smoothed one; longer times are clipped.
OUTLIER_CLIP_RATIO = 4.0
#: Tokens that an answer needs for its time per token to count.
MIN_TOKENS = 8
#: Factor by which the best time per token rises with each observation, so that it can recover.
BEST_DRIFT_FACTOR = 1.005
#: Uptime in seconds from which a first report of a warm state is trusted.
MIN_WARM_UPTIME_S = 30.0


class LimiterPhase(Enum):
    """Phase of the limit: at the cold limit, rising, or at the warm limit."""

    COLD = "cold"
    RAMPING = "ramping"
    WARM = "warm"


class WarmupLimiter:
    """Adaptive concurrency limit between a cold and a warm limit.

    The limit starts at ``cold_limit``. It grows by one for each round of ``limit`` successful
    requests whose service time per token stays near the best known. Once the upstream has reported
    that it is warm, the limit doubles in each round until it first shrinks. It shrinks by a factor
    if service degrades or requests fail, and falls to ``cold_limit`` if the upstream has become
    cold.

    Parameters
    ----------
    cold_limit, warm_limit : int
        Bounds in concurrent requests.

    Attributes
    ----------
    in_flight : int
        Requests started and not yet ended.
    ewma_service_s : float
        Moving average of the service time of a request in seconds.
    phase : LimiterPhase
        Current phase.
    """

    def __init__(self, *, cold_limit: int, warm_limit: int):
        check_range("cold_limit", cold_limit, low=1)
        check_range("warm_limit", warm_limit, low=cold_limit)
        self.cold_limit = cold_limit
        self.warm_limit = warm_limit
        self.in_flight = 0
        self.ewma_service_s = 0.5
        self.phase = LimiterPhase.COLD
        self._limit = float(cold_limit)
        self._best_token_s: float | None = None
        self._ewma_token_s: float | None = None
        self._generation = 0
        self._engine_boot = ""
        self._has_health = False
        self._is_reported_cold = False
        self._is_reported_warm = False
        self._has_shrunk = False
        self._shrunk_at = float("-inf")

    @property
    def limit(self) -> int:
        """Current limit in concurrent requests."""
        return int(self._limit)

    @property
    def generation(self) -> int:
        """Number of resets to the cold limit.

        Callers read it when a request starts and pass it to ``finish`` when the request ends.
        """
        return self._generation

    @property
    def state(self) -> UpstreamState:
        """State of the upstream derived from the phase: warm at the warm limit, else cold."""
        return UpstreamState.WARM if self.phase is LimiterPhase.WARM else UpstreamState.COLD

    @property
    def _is_slow_start(self) -> bool:
        """Whether the limit doubles in a round: reported warm and not shrunk since a reset."""
        return self._is_reported_warm and not self._has_shrunk

    def set_bounds(self, cold_limit: int, warm_limit: int) -> None:
        """Apply the bounds of a new configuration revision.

        A limit at the old warm limit moves to the new one; in the cold phase it moves to the new
        cold limit.
        """
        check_range("cold_limit", cold_limit, low=1)
        check_range("warm_limit", warm_limit, low=cold_limit)
        was_at_top = self._limit >= self.warm_limit and self.phase is LimiterPhase.WARM
        self.cold_limit, self.warm_limit = cold_limit, warm_limit
        if was_at_top or self._limit > warm_limit:
            self._limit = float(warm_limit)
        if self.phase is LimiterPhase.COLD or self._limit < cold_limit:
            self._limit = float(cold_limit)

    def try_start(self) -> bool:
        """Count a request as started if the limit admits it; return whether it does."""
        if self.in_flight >= self.limit:
            return False
        self.in_flight += 1
        if self.in_flight > self.limit:
            raise InvariantError(
                f"{self.in_flight} requests in flight exceed the limit of {self.limit}",
                step="warm_up",
            )
        return True

    def finish(
        self,
        now: float,
        *,
        generation: int,
        service_s: float,
        n_tokens: int,
        is_success: bool,
        decode_s: float | None = None,
    ) -> None:
        """Count a request as ended and adapt the limit to its outcome.

        Parameters
        ----------
        now : float
            Current Unix time in seconds.
        generation : int
            ``generation`` when the request started; the outcome is ignored if the limit has been
            reset since.
        service_s : float
            Service time in seconds.
        n_tokens : int
            Tokens generated; 0 for a plain service.
        is_success : bool
            False if the upstream failed or timed out.
        decode_s : float or None
            Time from the first token to the last, in seconds; if None, the service time is used.
            Answers of less than ``MIN_TOKENS`` don't count for the time per token, as most of
            their service time is spent on the prompt.
        """
        used = self.in_flight
        self.in_flight -= 1
        if self.in_flight < 0:
            raise InvariantError("more requests ended than started", step="warm_up")
        if generation != self._generation:
            return
        if not is_success:
            self._shrink(now, service_s)
            return
        self.ewma_service_s += EWMA_WEIGHT * (service_s - self.ewma_service_s)
        if n_tokens >= MIN_TOKENS:
            span_s, n_steps = (
                (service_s, n_tokens) if decode_s is None else (decode_s, n_tokens - 1)
            )
            self._update_token_time(now, service_s, span_s / n_steps)
        has_fallen = generation != self._generation
        if not has_fallen and self._is_near_best and 2 * used >= self.limit:
            self._grow()

    def abandon(self) -> None:
        """Count a request as ended without using its outcome."""
        self.in_flight -= 1

    def reset_to_cold(self) -> None:
        """Reset to the cold limit; it grows again once service is near the best known."""
        self.phase = LimiterPhase.COLD
        self._limit = float(self.cold_limit)
        self._ewma_token_s = None
        self._has_shrunk = False
        self._generation += 1

    def handle_health_report(
        self,
        *,
        state: UpstreamState | None,
        engine_boot: str = "",
        uptime_s: float | None = None,
    ) -> None:
        """Update the limit from a health report of the upstream.

        A new ``engine_boot`` or a reported cold state resets to the cold limit. If the first report
        gives a warm state, and an uptime of at least ``MIN_WARM_UPTIME_S`` or none, the warm limit
        applies at once, so that a restart of the agent alone doesn't start from the cold limit. An
        upstream that reports no state is ramped up from the cold limit.

        Parameters
        ----------
        state : UpstreamState or None
            Reported state, or None if the upstream doesn't report it.
        engine_boot : str
            Identity of the current run of the engine, or an empty string.
        uptime_s : float or None
            Time since that run started, in seconds; None if unknown.
        """
        is_first = not self._has_health
        self._has_health = True
        if engine_boot != self._engine_boot and not is_first:
            self.reset_to_cold()
        self._engine_boot = engine_boot
        is_cold = state is not None and state is not UpstreamState.WARM
        if is_cold and not self._is_reported_cold and self.phase is not LimiterPhase.COLD:
            self.reset_to_cold()
        self._is_reported_cold = is_cold
        self._is_reported_warm = state is UpstreamState.WARM
        is_old = uptime_s is None or uptime_s >= MIN_WARM_UPTIME_S
        if is_first and state is UpstreamState.WARM and is_old:
            self.phase = LimiterPhase.WARM
            self._limit = float(self.warm_limit)

    def compute_retry_after_s(self) -> float:
        """Return the time in seconds after which a slot is likely to be free."""
        return max(0.05, self.ewma_service_s / max(1, self.limit))

    @property
    def _is_near_best(self) -> bool:
        """Whether the smoothed time per token is near the best known; True if unknown."""
        if self._ewma_token_s is None or self._best_token_s is None:
            return True
        return self._ewma_token_s <= GROW_RATIO * self._best_token_s

    def _update_token_time(self, now: float, service_s: float, token_s: float) -> None:
        previous = self._ewma_token_s
        if previous is None:
            previous = token_s
        # A single outlier must not count as a slow-down.
        token_s = min(token_s, OUTLIER_CLIP_RATIO * previous)
        self._ewma_token_s = previous + EWMA_WEIGHT * (token_s - previous)
        best = token_s if self._best_token_s is None else self._best_token_s * BEST_DRIFT_FACTOR
        self._best_token_s = best = min(best, self._ewma_token_s)
        if self._ewma_token_s > RESET_RATIO * best and self.phase is not LimiterPhase.COLD:
            self.reset_to_cold()
        elif self._ewma_token_s > SHRINK_RATIO * best:
            self._shrink(now, service_s)

    def _grow(self) -> None:
        if self._is_reported_cold:
            return
        step = 1.0 if self._is_slow_start else 1.0 / self._limit
        self._limit = min(float(self.warm_limit), self._limit + step)
        at_top = self._limit >= self.warm_limit
        self.phase = LimiterPhase.WARM if at_top else LimiterPhase.RAMPING

    def _shrink(self, now: float, service_s: float) -> None:
        if now - self._shrunk_at < service_s:
            return
        self._shrunk_at = now
        self._has_shrunk = True
        self._limit = max(float(self.cold_limit), self._limit * SHRINK_FACTOR)
        if self.phase is LimiterPhase.WARM:
            self.phase = LimiterPhase.RAMPING
