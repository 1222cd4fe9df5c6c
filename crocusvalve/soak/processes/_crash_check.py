"""Checks that what has crashed several upstreams reaches no further ones."""

from collections.abc import Callable

from crocusvalve.soak.processes._disruption_table import DisruptionTable
from crocusvalve.soak.processes.base import Attempt, SoakBounds

__all__ = ["CrashCheck"]

#: Crashes after which a cause may be refused, and is withdrawn from upstreams where it waits.
MIN_CRASHES_TO_REFUSE = 3
#: Requests that may still reach upstreams after the bound.
MAX_LATE_REQUESTS = 3


class CrashCheck:
    """Counts crashes by their cause, and the requests with it that reach upstreams afterwards.

    Parameters
    ----------
    n_crashes : int
        Crashes of one cause after which, and after the bound on contact, its requests are counted.
    bounds : SoakBounds
        Time bounds of the users' requirements.
    table : DisruptionTable
        Disruptions, which excuse the gateways that they concern.
    report : callable
        Called with a description of what was observed.
    """

    def __init__(
        self,
        n_crashes: int,
        bounds: SoakBounds,
        table: DisruptionTable,
        report: Callable[[str], None],
    ):
        self.n_crashes = n_crashes
        self.bounds = bounds
        self.table = table
        self.report = report
        self._crashed_at: dict[str, list[float]] = {}
        self._n_late: dict[str, int] = {}

    def record_crash(self, cause: str, now: float) -> None:
        """Record a crash at a time of the soak, in seconds."""
        self._crashed_at.setdefault(cause, []).append(now)

    def may_be_refused(self, cause: str) -> bool:
        """Return whether a cause has crashed so many upstreams that it may be refused by now."""
        return len(self._crashed_at.get(cause, ())) >= MIN_CRASHES_TO_REFUSE

    def check_run(self, cause: str, attempt: Attempt, sent_at: float) -> None:
        """Check a request with a cause that an upstream begins to run.

        Parameters
        ----------
        sent_at : float
            Time from which the gateway had to know the cause.
        """
        crashed_at = self._crashed_at.get(cause, ())
        if len(crashed_at) < self.n_crashes:
            return
        is_late = sent_at > crashed_at[self.n_crashes - 1] + self.bounds.contact_s
        if is_late and self.table.is_quiet((attempt.gateway,), sent_at):
            self._n_late[cause] = self._n_late.get(cause, 0) + 1
            if self._n_late[cause] > MAX_LATE_REQUESTS:
                self.report(f"{self._n_late[cause]} requests with {cause}, which crashes upstreams")
