"""Commands that run processes; each imports the package that it runs only when it is called."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager

import trio
from cyclopts import App
from msgspec import to_builtins

from crocusvalve.cli._commands import add_command
from crocusvalve.cli._modules import load_module
from crocusvalve.cli._options import JsonFlag
from crocusvalve.cli._output import print_result
from crocusvalve.exceptions import CrocusvalveError, ErrorCode
from crocusvalve.metrics import setup_logging
from crocusvalve.settings import (
    AgentSettings,
    EntrySettings,
    LogFormat,
    LogLevel,
    ProcessSettings,
    load_settings,
)
from crocusvalve.utils import run_until_signal

__all__ = ["make_standin_app", "run_agent", "run_bench", "run_demo", "run_entry", "run_soak"]


def make_standin_app() -> App:
    """Make the group of commands under ``standin``."""
    app = App(name="standin", help="Stand-ins for tests: engine, plain service, platform.")
    add_command(app, run_engine, "engine")
    add_command(app, run_plain, "plain")
    add_command(app, run_platform, "platform")
    return app


def run_entry(file: str) -> None:
    """Run an entry until SIGTERM or SIGINT, then drain it.

    Examples
    --------
    crocusvalve entry entry.toml

    Parameters
    ----------
    file
        Settings file of the entry.
    """
    settings = load_settings(file, EntrySettings)
    entry = load_module("crocusvalve.entry")
    start_logging(settings)
    trio.run(run_until_signal, entry.run_entry, settings)


def run_agent(file: str) -> None:
    """Run the agent beside an upstream until SIGTERM or SIGINT, then drain it.

    Examples
    --------
    crocusvalve agent agent.toml

    Parameters
    ----------
    file
        Settings file of the agent.
    """
    settings = load_settings(file, AgentSettings)
    agent = load_module("crocusvalve.agent")
    control = load_module("crocusvalve.control")
    start_logging(settings)
    trio.run(run_until_signal, agent.run_agent, settings, control.ConfigCache())


def run_engine(
    versions: list[str],
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    quality: list[float] | None = None,
    seed: int = 0,
    cold: bool = False,
) -> None:
    """Serve a stand-in engine.

    Examples
    --------
    crocusvalve standin engine delta/assess-small@v1 --port 8101

    Parameters
    ----------
    versions
        Versions loaded in memory, each as ``member/model@version``.
    host
        Address to listen on.
    port
        Port to listen on; 0 picks a free one, which is printed.
    quality
        Quality of each version, in [0, 1].
    seed
        Seed of the generated texts and boot ids.
    cold
        Begin with a cold start.
    """
    standin = load_module("crocusvalve.standin.cli")
    with convert_value_errors("standin"):
        standin.run_engine(
            versions=versions, host=host, port=port, qualities=quality, seed=seed, is_cold=cold
        )


def run_plain(*, host: str = "127.0.0.1", port: int = 0) -> None:
    """Serve a stand-in plain service.

    Examples
    --------
    crocusvalve standin plain --port 8110

    Parameters
    ----------
    host
        Address to listen on.
    port
        Port to listen on; 0 picks a free one, which is printed.
    """
    standin = load_module("crocusvalve.standin.cli")
    with convert_value_errors("standin"):
        standin.run_plain(host=host, port=port)


def run_platform(*, host: str = "127.0.0.1", port: int = 0) -> None:
    """Serve a stand-in for the platform's service.

    Examples
    --------
    crocusvalve standin platform --port 9000

    Parameters
    ----------
    host
        Address to listen on.
    port
        Port to listen on; 0 picks a free one, which is printed.
    """
    standin = load_module("crocusvalve.standin.cli")
    with convert_value_errors("standin"):
        standin.run_platform(host=host, port=port)


def run_demo(*, hold: bool = False, port: int = 0) -> None:
    """Run all roles in one process and send a request of each class for each member.

    Examples
    --------
    crocusvalve demo

    crocusvalve demo --hold --port 8080

    Parameters
    ----------
    hold
        Keep serving until SIGTERM or SIGINT instead of sending the requests.
    port
        Port of the callers' API; 0 picks a free port.
    """
    sys.exit(load_module("crocusvalve.demo").run_demo(hold, port))


def run_bench(
    name: str,
    *,
    seed: int = 1,
    out: str = "out",
    sizes: tuple[str, ...] = ("delta", "sfax"),
) -> None:
    """Run one experiment or all; print tables and write JSON files and plots.

    Examples
    --------
    crocusvalve bench exposure --seed 1 --out out

    Parameters
    ----------
    name
        Name of the experiment, or ``all``.
    seed
        Seed of the random numbers.
    out
        Output directory.
    sizes
        Deployments to run the experiment on.
    """
    bench = load_module("crocusvalve.bench.cli")
    with convert_value_errors("bench"):
        bench.run_bench(name, seed=seed, out=out, sizes=sizes)


def run_soak(
    *,
    seed: int = 0,
    steps: int = 10000,
    processes: bool = False,
    gateways: int = 5,
    seconds: float = 15.0,
    kinds: str = "",
    out: str = "",
    json: JsonFlag = False,
) -> None:
    """Run the core or gateway processes with random load and faults, and check the guarantees.

    Examples
    --------
    crocusvalve soak --seed 7 --steps 100000

    crocusvalve soak --processes --seed 7 --out out/soak-7

    Parameters
    ----------
    seed
        Seed of the run; with the same seed, the core repeats the run exactly, and processes get the
        same faults.
    steps
        Number of events in a run of the core.
    processes
        Run gateways as processes, connected to stand-ins through proxies.
    gateways
        Number of gateway processes.
    seconds
        Time during which faults are injected into the processes, in seconds.
    kinds
        Comma-separated names of the kinds of disruption of the processes, such as
        ``StoreRestore,UpstreamLeaving``; if empty, the seed selects some of them.
    out
        Directory for the processes' logs and the report.
    """
    if processes:
        soak = load_module("crocusvalve.soak.processes")
        settings = soak.ProcessSoakSettings(
            seed=seed,
            n_gateways=gateways,
            seconds=seconds,
            kinds=tuple(name for name in kinds.split(",") if name),
            folder=out,
        )
        with convert_value_errors("soak"):
            report = soak.run_process_soak(settings)
        failures = [f"{item.promise.value}: {item.what}" for item in report.violations]
    else:
        report = load_module("crocusvalve.soak").run_soak(seed, steps)
        failures = [report.failure] if report.failure else []
    fields = to_builtins(report)
    print_result(fields, [f"{name}: {value}" for name, value in fields.items()], as_json=json)
    if failures:
        message = f"seed {seed} failed: {failures[0]}"
        raise CrocusvalveError(ErrorCode.INTERNAL, message, step="soak")


@contextmanager
def convert_value_errors(step: str) -> Iterator[None]:
    """Convert a ``ValueError`` raised in the block to a ``BAD_REQUEST`` error."""
    try:
        yield
    except ValueError as exc:
        raise CrocusvalveError(ErrorCode.BAD_REQUEST, str(exc), step=step) from exc


def start_logging(settings: ProcessSettings) -> None:
    """Configure the log by the settings, and register the process's keys to be hidden in it."""
    level, form = LogLevel(settings.log.level), LogFormat(settings.log.format)
    redactor = setup_logging(level, form, sys.stderr)
    for name in ("internal_key", "session_key"):
        redactor.add_secret(getattr(settings, name, ""))
