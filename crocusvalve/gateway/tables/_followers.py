"""Follower of a table of the store, which passes the changes to the table's handler."""

from collections.abc import Callable

import trio

from crocusvalve.exceptions import PlatformError
from crocusvalve.gateway.tables._store_state import StoreState
from crocusvalve.gateway.tables._table_handler import TableHandler
from crocusvalve.store import Backoff
from crocusvalve.store.base import (
    DEFAULT_TIMEOUT_S,
    BacklogTooLongError,
    ChangeFeed,
    FeedPage,
    HistoryLostError,
)
from crocusvalve.utils import Clock

__all__ = ["TableFollower"]

#: Interval at which a follower that is disabled checks whether it must follow again.
DISABLED_POLL_S = 0.1

#: Shortest delay after a failed call.
MIN_RETRY_DELAY_S = 0.05
#: Time within which the store must begin to answer most calls while it fails, and the number of
#: calls of which one has the usual time.
PROBE_TIMEOUT_S = 0.5
PROBES_PER_LONG_CALL = 3
#: Longest time for which a follower waits for another one to reach the store.
MAX_RECOVERY_WAIT_S = 4.0


class TableFollower:
    """Follows the changes of one table and passes them to its handler.

    Parameters
    ----------
    feed : ChangeFeed
        Client of the store.
    handler : TableHandler
        Merges and applies the rows.
    store : StoreState
        Records answered and failed calls.
    backoff : Backoff
        Delays after failed calls.
    clock : Clock
        Clock of this gateway.
    wait_s : float
        Time in seconds for which a call waits for changes.
    pause_s : float
        Pause in seconds after each call, so that frequent changes arrive in batches.
    is_enabled : callable
        Returns whether changes are to be followed now; the first read is made in any case.
    measure_outage_s : callable or None
        Returns for how many seconds the gateways whose copies replaced following may have been
        without the store; called with the first answer after following was disabled. None if the
        table is not copied meanwhile.
    is_probing : bool
        Whether this follower finds out when a store that fails for several tables answers again;
        the others wait for it, since each call is charged, a refused one too.
    """

    def __init__(
        self,
        *,
        feed: ChangeFeed,
        handler: TableHandler,
        store: StoreState,
        backoff: Backoff,
        clock: Clock,
        wait_s: float,
        pause_s: float = 0.0,
        is_enabled: Callable[[], bool] = lambda: True,
        measure_outage_s: Callable[[], float] | None = None,
        is_probing: bool = True,
    ):
        self.feed = feed
        self.handler = handler
        self.store = store
        self.backoff = backoff
        self.clock = clock
        self.wait_s = wait_s
        self.pause_s = pause_s
        self.is_enabled = is_enabled
        self.measure_outage_s = measure_outage_s
        self.is_probing = is_probing
        self._n_failures = 0
        #: Whether no call was answered since following was disabled.
        self._is_resuming = False
        self._outage_since = 0.0
        self._call_started_at = 0.0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self.handler.is_loaded and not self.is_enabled():
                self.store.forget(self.handler.table)
                self._is_resuming = self.measure_outage_s is not None
                await trio.sleep(DISABLED_POLL_S)
                continue
            try:
                await self._read_once()
                pause_s = self.handler.limit_wait_s(self.pause_s, self.clock.now())
                await trio.sleep(max(0.0, pause_s))
            except (HistoryLostError, BacklogTooLongError) as exc:
                # The store is available, but the whole table must be read, or takes less time.
                self.handler.observer.record_table_reread(self.handler.table, exc)
                self.handler.replica.version = None
            except PlatformError as exc:
                self._record_failure(exc)
                await trio.sleep(MIN_RETRY_DELAY_S)
                if self.is_probing or not self.store.has_other_failures(self.handler.table):
                    await trio.sleep(self.backoff.compute_delay_s(self._n_failures))
                else:
                    await self.store.wait_until_up(MAX_RECOVERY_WAIT_S)
            except Exception:
                # Some of the page's changes may not be in force, so that the table is read again.
                self.handler.replica.version = None
                raise

    async def _read_once(self) -> None:
        handler = self.handler
        handler.observer.tables.count_store_call(handler.table)
        self._call_started_at = self.clock.now()
        if handler.is_loaded:
            version = handler.replica.version
            wait_s = max(0.0, handler.limit_wait_s(self.wait_s, self.clock.now()))
            if self._n_failures or self._is_resuming:
                # Fetches the changes of the outage in a page of their own, apart from later ones,
                # and those that copies lacked without delay.
                wait_s = 0.0
            page = await self._wait_for_changes(version, wait_s)
            self._record_answer(page)
            if page.era != handler.replica.era:
                # The rows are changes after a version of another era; the table is read instead.
                handler.replica.version = None
                return
            handler.merge_changes(page, self.clock.now())
        else:
            page = await self.feed.read_table(handler.table, timeout_s=self._choose_timeout_s())
            self._record_answer(page)
            handler.merge_table(page, self.clock.now())

    async def _wait_for_changes(self, version: int, wait_s: float) -> FeedPage:
        started_at = self.clock.now()
        try:
            return await self.feed.wait_for_changes(
                self.handler.table,
                version,
                wait_s,
                max_bytes=self.handler.compute_max_backlog(),
                timeout_s=self._choose_timeout_s(),
            )
        except PlatformError:
            if not self._n_failures:
                # A call that timed out may have been disconnected since its start.
                now = self.clock.now()
                self._outage_since = started_at if now - started_at > wait_s else now
                if self._is_resuming:
                    self._outage_since -= self.measure_outage_s()
            raise

    def _choose_timeout_s(self) -> float:
        """Return for how long the store may take to begin an answer.

        While it fails, most calls are given up sooner, so that its return is noticed sooner; the
        others allow for a slow store.
        """
        is_short = self._n_failures % PROBES_PER_LONG_CALL != 0
        return PROBE_TIMEOUT_S if is_short else DEFAULT_TIMEOUT_S

    def _record_answer(self, page: FeedPage) -> None:
        now = self.clock.now()
        if self._n_failures:
            # Changes that were copied from a peer meanwhile shorten the outage.
            outage_s = now - max(self._outage_since, self.handler.merged_at)
            self.handler.handle_store_recovery(outage_s, now)
        elif self._is_resuming and (outage_s := self.measure_outage_s()) > 0.0:
            self.handler.handle_store_recovery(outage_s, now)
        self._n_failures = 0
        self._is_resuming = False
        if self.store.record_answer(self.handler.table, page, now):
            self.handler.observer.record_store_state(self.handler.table, None)

    def _record_failure(self, exc: PlatformError) -> None:
        self._n_failures += 1
        self.handler.observer.count_store_fault()
        if self.store.record_failure(self.handler.table, self._call_started_at):
            self.handler.observer.record_store_state(self.handler.table, exc)
