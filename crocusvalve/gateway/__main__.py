"""Entry point of a gateway on the users' platform: ``python -m crocusvalve.gateway``."""

import os
import random
import signal
import sys

import trio

from crocusvalve.exceptions import SettingsError
from crocusvalve.gateway import Gateway
from crocusvalve.gateway.base import GatewaySettings
from crocusvalve.metrics import LineWriter, setup_logging
from crocusvalve.platform import (
    PlatformHeaderCodec,
    PlatformRecordCodec,
    PlatformStore,
    load_boot_settings,
)
from crocusvalve.settings import LogFormat, LogLevel
from crocusvalve.utils import BootClock

EXIT_BAD_SETTINGS = 3


async def run_gateway(settings: GatewaySettings, writer: LineWriter) -> None:
    """Run a gateway until a signal stops it."""
    async with PlatformStore(settings.store) as store:
        gateway = Gateway(
            settings,
            feed=store,
            header_codec=PlatformHeaderCodec(),
            record_codec=PlatformRecordCodec(),
            clock=BootClock(),
            random_state=random.Random(),
            count_dropped_lines=lambda: writer.n_dropped,
        )
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_signals, gateway, stop)
            await gateway.run(stop)
            nursery.cancel_scope.cancel()


async def watch_signals(gateway: Gateway, stop: trio.Event) -> None:
    """Set ``stop`` at SIGTERM or SIGINT; record a reload at SIGHUP."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                gateway.record_reload()
            else:
                stop.set()


def main() -> int:
    """Read the settings and run the gateway; return the exit code."""
    with LineWriter(sys.stdout) as writer:
        setup_logging(LogLevel.INFO, LogFormat.JSON, writer)
        try:
            settings = load_boot_settings()
        except SettingsError as exc:
            print(exc, file=sys.stderr)
            return EXIT_BAD_SETTINGS
        trio.run(run_gateway, settings, writer)
    # The interpreter's own end takes up to 0.4 s on a busy machine, and waits for a log that nobody
    # reads; the process would be killed meanwhile.
    sys.stderr.flush()
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
