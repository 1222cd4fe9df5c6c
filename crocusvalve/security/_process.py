"""TLS contexts of a process, made from its settings and reloaded when their files change."""

import logging
import ssl
from collections.abc import Sequence

import trio

from crocusvalve.security._tls import HTTP_ALPN, ReloadingTls, make_client_tls, make_server_tls
from crocusvalve.settings import TlsSettings
from crocusvalve.utils import Clock

__all__ = ["ProcessTls", "watch_tls"]

logger = logging.getLogger(__name__)

WATCH_INTERVAL_S = 1.0


class ProcessTls:
    """Server and client contexts of one section of the settings.

    Parameters
    ----------
    settings : TlsSettings
        Paths of the files; without a certificate, TLS is off.
    alpn : sequence of str
        Application protocols to offer, in order of preference.

    Attributes
    ----------
    server, client : ssl.SSLContext or None
        Live contexts; None where TLS is off.
    """

    def __init__(self, settings: TlsSettings, *, alpn: Sequence[str] = HTTP_ALPN):
        self.settings = settings
        self.server: ssl.SSLContext | None = None
        self.client: ssl.SSLContext | None = None
        self._reloaders: list[ReloadingTls] = []
        if not settings.is_enabled:
            return
        paths = (settings.cert, settings.key, settings.ca)
        self.server = make_server_tls(*paths, alpn=alpn)
        self.client = make_client_tls(
            settings.ca, settings.cert, settings.key, alpn=alpn, check_host=settings.check_host
        )
        self._reloaders = [ReloadingTls(ctx, *paths) for ctx in (self.server, self.client)]

    def poll(self, now: float) -> bool:
        """Reload the contexts whose files have changed; return whether any was reloaded."""
        return any([self._poll_one(reloader, now) for reloader in self._reloaders])

    @staticmethod
    def _poll_one(reloader: ReloadingTls, now: float) -> bool:
        error_before = reloader.last_error_
        is_reloaded = reloader.poll(now)
        if is_reloaded:
            logger.info("certificate %s is in use", reloader.cert)
        elif reloader.last_error_ and reloader.last_error_ != error_before:
            logger.error("cannot load certificate %s: %s", reloader.cert, reloader.last_error_)
        return is_reloaded


async def watch_tls(contexts: Sequence[ProcessTls], clock: Clock) -> None:
    """Poll contexts until cancelled; files are read in a worker thread.

    Parameters
    ----------
    contexts : sequence of ProcessTls
        Contexts to reload when their files change.
    clock : Clock
        Source of the current time.
    """
    while True:
        await trio.sleep(WATCH_INTERVAL_S)
        for context in contexts:
            await trio.to_thread.run_sync(context.poll, clock.now())
