"""Hypercorn's configuration around a TLS context that is reloaded in place."""

import ssl

from hypercorn.config import Config

__all__ = ["TlsServerConfig"]


class TlsServerConfig(Config):
    """Hypercorn's configuration that serves a given context.

    Parameters
    ----------
    context : ssl.SSLContext or None
        Live server context; None serves plain HTTP.
    """

    def __init__(self, context: ssl.SSLContext | None = None):
        super().__init__()
        self._context = context

    @property
    def ssl_enabled(self) -> bool:
        """Whether TLS is on."""
        return self._context is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the live context."""
        return self._context
