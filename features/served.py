"""Serves an application on a loopback port in a thread of the test process."""

import threading
from functools import partial

import trio

from crocusvalve.utils.serving import serve_app

TIMEOUT_S = 60


class ServedApp:
    """Serves an application in a thread until ``close`` is called.

    Parameters
    ----------
    app : quart.Quart
        The application.
    tls : ssl.SSLContext or None
        Server context; None serves plain HTTP.
    """

    def __init__(self, app, tls=None):
        self.app = app
        self.tls = tls
        self.url = ""
        self._is_bound = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._serve,), daemon=True)
        self._thread.start()
        assert self._is_bound.wait(TIMEOUT_S)

    async def _serve(self):
        self._token, self._stop = trio.lowlevel.current_trio_token(), trio.Event()
        async with trio.open_nursery() as nursery:
            serve = partial(serve_app, self.app, "127.0.0.1", 0, tls=self.tls, shutdown=self._stop)
            port = await nursery.start(serve)
            self.url = f"{'https' if self.tls else 'http'}://127.0.0.1:{port}"
            self._is_bound.set()

    def close(self):
        self._token.run_sync_soon(self._stop.set)
        self._thread.join(TIMEOUT_S)
