"""Decides whether a request whose answer is missing or a failure was owed an answer."""

from crocusvalve.soak.processes._disruption_table import DisruptionTable
from crocusvalve.soak.processes.base import Attempt, SoakBounds

__all__ = ["LossCheck"]


class LossCheck:
    """Checks whether an answer was due, by what callers and upstreams have seen.

    Parameters
    ----------
    bounds : SoakBounds
        Time bounds of the users' requirements.
    disruption_table : DisruptionTable
        Disruptions of components, by which missing answers are excused. An upstream's silence is
        none.
    store : str
        Name of the store as a component.
    """

    def __init__(self, bounds: SoakBounds, disruption_table: DisruptionTable, store: str):
        self.bounds = bounds
        self.disruption_table = disruption_table
        self.store = store
        self._timeouts: list[tuple[float, float]] = []
        self._delays: list[tuple[float, float]] = []
        self._wakeup_due_at = float("inf")
        self._stopped_at: dict[str, float] = {}
        self._started_at: dict[str, float] = {}
        self._ended_at: dict[str, float] = {}

    def record_timeout(self, timeout_s: float, now: float) -> None:
        """Record that a configuration gives all routes a timeout."""
        self._timeouts.append((now, timeout_s))

    def record_stop(self, gateway: str, now: float) -> None:
        """Record that a gateway's process was sent SIGTERM, for the first time."""
        self._stopped_at[gateway] = now

    def record_process_start(self, gateway: str, now: float) -> None:
        """Record that a gateway's process was started."""
        self._started_at[gateway] = now

    def record_process_end(self, gateway: str, now: float) -> None:
        """Record that a gateway's process has ended; it reads nothing until its next start."""
        self._ended_at[gateway] = now

    def record_wakeup(self, due_at: float, now: float, next_due_at: float) -> None:
        """Record when a task of the soak was due and has run.

        Callers read their answers late while the soak's own tasks are delayed.
        """
        if now > due_at:
            self._delays.append((due_at, now))
        self._wakeup_due_at = next_due_at

    def is_answer_due(self, attempt: Attempt, now: float) -> bool:
        """Return whether a request that ends now without a success should have had one.

        The answer of any sound upstream that ran the request is due, whatever other upstreams have
        done, until the request's time or its gateway's grace period is over. A request that no
        upstream ran must only be answered, with a refusal or a failure, if its gateway has read it.
        A disruption of the store excuses nothing for plain requests.
        """
        if now - self._wakeup_due_at > self.bounds.wakeup_s:
            return False
        if now >= attempt.sent_at + self._compute_allowed_s(attempt) - self.bounds.return_margin_s:
            return False
        if self._is_cut_by_stop(attempt, now):
            return False
        components = (attempt.gateway, self.store) if attempt.kind.is_stream else (attempt.gateway,)
        if not self._is_calm(components, attempt):
            return False
        if not attempt.runs:
            return self._compute_wait_s(attempt, now) > self.bounds.loss_slack_s
        return any(run.is_sound and self._is_calm((run.upstream,), attempt) for run in attempt.runs)

    def _is_calm(self, components: tuple[str, ...], attempt: Attempt) -> bool:
        return self.disruption_table.is_quiet(
            components, attempt.sent_at, are_restarts_counted=False
        )

    def _is_cut_by_stop(self, attempt: Attempt, now: float) -> bool:
        """Return whether the gateway's grace period ends and the request wasn't sent too late."""
        bounds, stopped_at = self.bounds, self._stopped_at.get(attempt.gateway, float("inf"))
        is_at_end = now >= stopped_at + bounds.stop_fraction * bounds.grace_s
        is_this_stop = stopped_at > self._started_at.get(attempt.gateway, float("-inf"))
        return is_at_end and is_this_stop and attempt.sent_at <= stopped_at + bounds.accept_s

    def _compute_wait_s(self, attempt: Attempt, now: float) -> float:
        """Return for how long a caller has waited since its last byte, without its own delays.

        That is 0 if no process of the gateway ran when the last byte was sent.
        """
        if attempt.whole_at is None:
            return 0.0
        ended_at = self._ended_at.get(attempt.gateway, float("inf"))
        started_at = self._started_at.get(attempt.gateway, float("-inf"))
        if ended_at <= attempt.whole_at and not ended_at < started_at <= attempt.whole_at:
            return 0.0
        delays = [*self._delays, (self._wakeup_due_at, now)]
        delays_s = (min(now, end) - max(attempt.whole_at, begin) for begin, end in delays)
        return now - attempt.whole_at - sum(max(0.0, delay_s) for delay_s in delays_s)

    def _compute_allowed_s(self, attempt: Attempt) -> float:
        """Return the shortest time that a configuration which may be in force gives a request.

        A replaced configuration may be in force for ``config_s``, or longer after a disruption of
        the store.
        """
        since = attempt.sent_at - self.bounds.config_s
        if not self.disruption_table.is_quiet((self.store,), since):
            since -= self.bounds.outer_s
        latest = max((at for at, _ in self._timeouts if at <= since), default=0.0)
        timeouts = [timeout_s for at, timeout_s in self._timeouts if at >= latest]
        return min([attempt.req.deadline_s, *timeouts])
