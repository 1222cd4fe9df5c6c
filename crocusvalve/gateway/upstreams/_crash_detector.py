"""Finds out whether an upstream whose connection broke has crashed, and records what it ran."""

import trio

from crocusvalve.gateway._crash_observer import CrashCheck, CrashObserver
from crocusvalve.gateway._sockets import CONNECT_TIMEOUT_S, connect
from crocusvalve.gateway.base import Upstream
from crocusvalve.gateway.decisions._bans import RequestBans
from crocusvalve.gateway.decisions._crashing_parts import get_suspect_ids
from crocusvalve.gateway.decisions._health import Outcome, update_health
from crocusvalve.gateway.flows._request import GatewayRequest
from crocusvalve.gateway.tables._tables import GatewayTables
from crocusvalve.utils import Clock

__all__ = ["CrashDetector"]

#: Delays before each check whether an upstream whose connection broke has crashed; a crashed one
#: refuses connections on its port.
CRASH_CHECK_DELAYS_S = (0.03, 0.3)


class CrashDetector:
    """Checks upstreams whose connections broke, and records crashes with the requests lost in them.

    A request that is answered is cleared of the crashes in which it was lost.

    Parameters
    ----------
    tables : GatewayTables
        Upstreams' entries and loads.
    bans : RequestBans
        Crashes by request and by part of the prompt.
    observer : CrashObserver
        Records crashes, and what is banned by them.
    clock : Clock
        Clock of this gateway.
    """

    def __init__(
        self,
        *,
        tables: GatewayTables,
        bans: RequestBans,
        observer: CrashObserver,
        clock: Clock,
    ):
        self.tables = tables
        self.bans = bans
        self.observer = observer
        self.clock = clock

    async def check(
        self, req: GatewayRequest, upstream: Upstream, has_progressed: bool, checked: trio.Event
    ) -> None:
        """Record a crash if an upstream has crashed; set ``checked`` at the end.

        Parameters
        ----------
        has_progressed : bool
            Whether the answer went on beyond the time at which its prompt would crash.
        """
        try:
            result = await self._check_upstream(upstream)
            if result is CrashCheck.CRASHED:
                self._record_crash(req, upstream, has_progressed)
            else:
                self.observer.record_check(upstream, req.digest, result)
        finally:
            checked.set()

    def record_answer(self, req: GatewayRequest) -> None:
        """Record that a request was answered completely, so that it doesn't crash upstreams."""
        crashes = self.bans.crashes
        if crashes.record_answer(req.digest, self.clock.now()):
            self.observer.record_released_requests([req.digest], crashes.n_banned)

    async def _check_upstream(self, upstream: Upstream) -> CrashCheck:
        """Return whether an upstream has started again or refuses connections.

        A connection that can't be opened shows nothing: the link may be lossy.
        """
        result = CrashCheck.ALIVE
        for delay_s in CRASH_CHECK_DELAYS_S:
            await trio.sleep(delay_s)
            current = self.tables.upstreams.get(upstream.upstream_id)
            if current is not None and current.started_ms != upstream.started_ms:
                return CrashCheck.CRASHED
            try:
                stream = await connect(upstream.address, CONNECT_TIMEOUT_S)
            except ConnectionRefusedError:
                return CrashCheck.CRASHED
            except OSError:
                result = CrashCheck.UNREACHABLE
                continue
            result = CrashCheck.ALIVE
            await trio.aclose_forcefully(stream)
        return result

    def _record_crash(self, req: GatewayRequest, upstream: Upstream, has_progressed: bool) -> None:
        now = self.clock.now()
        update_health(self.tables.get_load(upstream.upstream_id), Outcome.SILENT, now)
        if has_progressed:
            self.observer.record_check(upstream, req.digest, CrashCheck.ANSWER_WENT_ON)
            return
        incident = f"{upstream.upstream_id}#{upstream.started_ms}"
        crashes = self.bans.crashes
        if crashes.was_answered(req.digest, now):
            crashes.clear(req.digest, (incident,))
            self.observer.record_check(upstream, req.digest, CrashCheck.ANSWERED)
            return
        was_banned = crashes.is_banned(req.digest)
        n_crashes = crashes.record_crash(req.digest, incident)
        self.observer.record_check(upstream, req.digest, CrashCheck.CRASHED, n_crashes)
        is_newly_banned = crashes.is_banned(req.digest) and not was_banned
        if is_newly_banned:
            self.observer.record_banned_requests([req.digest], crashes.n_banned)
        part_ids = get_suspect_ids(req.caller.prefix)
        banned_parts = self.bans.crashing_parts.record_crash(part_ids, incident, req.digest, now)
        self.observer.record_banned_parts(banned_parts)
        if is_newly_banned or banned_parts:
            self.bans.on_change()
