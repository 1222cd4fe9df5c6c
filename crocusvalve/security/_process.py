"""The TLS contexts of one process, made from its settings and reloaded when the files change."""

import logging
import ssl

import trio

from crocusvalve.security._tls import (
    HTTP_ALPN,
    RPC_ALPN,
    ReloadingTls,
    make_client_tls,
    make_server_tls,
)
from crocusvalve.settings import TlsSettings
from crocusvalve.utils import Clock

__all__ = ["ProcessTls"]

logger = logging.getLogger(__name__)

POLL_S = 1.0


class ProcessTls:
    """Contexts for callers' and internal connections; None where TLS is off.

    Parameters
    ----------
    callers : TlsSettings
        Files for callers' connections.
    internal : TlsSettings
        Files for connections between processes; the same certificate serves and calls.
    clock : Clock
        Source of the present time.

    Attributes
    ----------
    http, rpc_server, rpc_client : ssl.SSLContext or None
        The contexts.
    """

    def __init__(self, callers: TlsSettings, internal: TlsSettings, *, clock: Clock):
        self.clock = clock
        self._reloading: list[ReloadingTls] = []
        self.http = self._make_server(callers, HTTP_ALPN)
        self.rpc_server = self._make_server(internal, RPC_ALPN)
        self.rpc_client = self._make_client(internal)

    def _make_server(self, files: TlsSettings, alpn: tuple[str, ...]) -> ssl.SSLContext | None:
        if not files.cert:
            return None
        context = make_server_tls(files.cert, files.key, files.ca, alpn=alpn)
        self._reloading.append(ReloadingTls(context, files.cert, files.key, files.ca))
        return context

    def _make_client(self, files: TlsSettings) -> ssl.SSLContext | None:
        if not files.cert:
            return None
        # Processes call each other by IP number; the private authority stands for all of them.
        context = make_client_tls(files.ca, files.cert, files.key, check_host=False)
        self._reloading.append(ReloadingTls(context, files.cert, files.key, files.ca))
        return context

    async def run(self) -> None:
        """Reload changed files until cancelled."""
        while self._reloading:
            for item in self._reloading:
                if item.poll(self.clock.now()):
                    logger.info("certificate %s was reloaded", item.cert)
                elif item.last_error_:
                    logger.warning("certificate %s: %s", item.cert, item.last_error_)
            await trio.sleep(POLL_S)
