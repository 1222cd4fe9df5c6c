"""Limit on concurrent requests that rises while an upstream warms up."""

from enum import Enum

from crocusvalve.base import UpstreamState
from crocusvalve.exceptions import InvariantError
from crocusvalve.utils import check_range

__all__ = ["LimiterPhase", "WarmupLimiter"]

GROW_RATIO = 1.6
SHRINK_RATIO = 3.0
COLD_RATIO = 8.0
SHRINK_FACTOR = 0.7
EWMA_WEIGHT = 0.2
CLIP_RATIO = 4.0
MIN_TOKENS = 8
BEST_DRIFT = 1.005
PROOF_OF_WARM_UPTIME_S = 30.0


class LimiterPhase(Enum):
    """Whether the limit may rise above the cold limit."""

    COLD = "cold"
    RAMPING = "ramping"
    WARM = "warm"


class WarmupLimiter:
    """Adaptive limit between a cold and a warm limit.

    The limit starts at ``cold_limit``. It grows by one for each round of ``limit`` successful
    requests whose service time per token stays near the best known, and doubles in a round after
    the upstream has reported that it is warm, until the first setback. It shrinks by a factor
    where service degrades or requests fail, and falls to ``cold_limit`` where the upstream turned
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
        Smoothed service time of a request in seconds.
    phase : LimiterPhase
        Present phase.
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
        """Present limit in concurrent requests."""
        return int(self._limit)

    @property
    def generation(self) -> int:
        """Counts the falls to the cold limit; a start returns it and its end gives it back."""
        return self._generation

    @property
    def state(self) -> UpstreamState:
        """State of the upstream as the limit tells it."""
        return UpstreamState.WARM if self.phase is LimiterPhase.WARM else UpstreamState.COLD

    @property
    def _is_slow_start(self) -> bool:
        """Whether to double in a round: the upstream says it is warm, and nothing denied it."""
        return self._is_reported_warm and not self._has_shrunk

    def set_bounds(self, cold_limit: int, warm_limit: int) -> None:
        """Take the bounds of a new revision."""
        check_range("cold_limit", cold_limit, low=1)
        check_range("warm_limit", warm_limit, low=cold_limit)
        was_at_top = self._limit >= self.warm_limit and self.phase is LimiterPhase.WARM
        self.cold_limit, self.warm_limit = cold_limit, warm_limit
        if was_at_top or self._limit > warm_limit:
            self._limit = float(warm_limit)
        if self.phase is LimiterPhase.COLD or self._limit < cold_limit:
            self._limit = float(cold_limit)

    def try_start(self) -> bool:
        """Count a request as started where the limit admits it."""
        if self.in_flight >= self.limit:
            return False
        self.in_flight += 1
        if self.in_flight > self.limit:
            raise InvariantError(f"{self.in_flight} requests above {self.limit}", step="warm_up")
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
        """Count a request as ended and learn from it.

        Parameters
        ----------
        now : float
            Present Unix time in seconds.
        generation : int
            ``generation`` at the start; a request of an earlier one teaches nothing.
        service_s : float
            Service time in seconds.
        n_tokens : int
            Tokens generated; 0 for a plain service.
        is_success : bool
            False where the upstream failed or timed out.
        decode_s : float or None
            Time from the first token to the last, in seconds; None takes the service time. Short
            answers tell nothing of the time for a token, as the prompt's share leads in them.
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
            self._learn(now, service_s, span_s / n_steps)
        has_fallen = generation != self._generation
        if not has_fallen and self._is_near_best and 2 * used >= self.limit:
            self._grow()

    def abandon(self) -> None:
        """Count a request as ended that says nothing of the upstream."""
        self.in_flight -= 1

    def note_cold(self) -> None:
        """Fall to the cold limit; it grows again once service is near the best known."""
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
        """Take a health report of the upstream.

        A new ``engine_boot`` or a reported cold state falls to the cold limit. A first report of a
        warm state proves the upstream warm, so that a restart of the agent alone does not start
        from the cold limit; an upstream that tells no state is ramped from there.

        Parameters
        ----------
        state : UpstreamState or None
            Reported state, or None where the upstream does not tell it.
        engine_boot : str
            Identity of the run of the upstream, or an empty string.
        uptime_s : float or None
            Age of that run in seconds.
        """
        is_first = not self._has_health
        self._has_health = True
        if engine_boot != self._engine_boot and not is_first:
            self.note_cold()
        self._engine_boot = engine_boot
        is_cold = state is not None and state is not UpstreamState.WARM
        if is_cold and not self._is_reported_cold and self.phase is not LimiterPhase.COLD:
            self.note_cold()
        self._is_reported_cold = is_cold
        self._is_reported_warm = state is UpstreamState.WARM
        is_old = uptime_s is None or uptime_s >= PROOF_OF_WARM_UPTIME_S
        if is_first and state is UpstreamState.WARM and is_old:
            self.phase = LimiterPhase.WARM
            self._limit = float(self.warm_limit)

    def compute_retry_after_s(self) -> float:
        """Return when a slot is likely to be free, in seconds."""
        return max(0.05, self.ewma_service_s / max(1, self.limit))

    @property
    def _is_near_best(self) -> bool:
        """Whether the time for a token is near the best known; unknown times are."""
        if self._ewma_token_s is None or self._best_token_s is None:
            return True
        return self._ewma_token_s <= GROW_RATIO * self._best_token_s

    def _learn(self, now: float, service_s: float, token_s: float) -> None:
        previous = self._ewma_token_s
        if previous is None:
            previous = token_s
        # One odd request must not pass for a slow-down.
        token_s = min(token_s, CLIP_RATIO * previous)
        self._ewma_token_s = previous + EWMA_WEIGHT * (token_s - previous)
        best = token_s if self._best_token_s is None else self._best_token_s * BEST_DRIFT
        self._best_token_s = best = min(best, self._ewma_token_s)
        if self._ewma_token_s > COLD_RATIO * best and self.phase is not LimiterPhase.COLD:
            self.note_cold()
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
