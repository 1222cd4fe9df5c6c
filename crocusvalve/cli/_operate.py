"""Commands of failure domains, roll-outs, usage and status."""

from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from typing import Annotated, TypeVar

import trio
from cyclopts import App, Parameter

from crocusvalve.admin import Accepted, AdminClient, StatusReport, UsageReply
from crocusvalve.base import DomainState
from crocusvalve.cli._commands import add_command
from crocusvalve.cli._options import AdminOptions, OptionsError, open_client
from crocusvalve.cli._output import format_table, format_time, print_result
from crocusvalve.config import Problem, RolloutStart

__all__ = ["make_domain_app", "make_rollout_app", "status", "usage"]

DEFAULT_OPTIONS = AdminOptions()

T = TypeVar("T")


def make_domain_app() -> App:
    """Make the commands under ``domain``."""
    app = App(name="domain", help="Take a failure domain out of service or back in.")
    add_command(app, domain_out, "out")
    add_command(app, domain_in, "in")
    return app


def make_rollout_app() -> App:
    """Make the commands under ``rollout``."""
    app = App(name="rollout", help="Start, follow and withdraw roll-outs of versions.")
    add_command(app, rollout_start, "start")
    add_command(app, rollout_status, "status")
    add_command(app, rollout_withdraw, "withdraw")
    return app


def domain_out(name: str, *, options: AdminOptions = DEFAULT_OPTIONS) -> None:
    """Take a failure domain out: it gets no new work, and what runs there ends.

    Works while the platform's store is down, by a notice between the entries.

    Examples
    --------
    crocusvalve domain out can-tho --url http://127.0.0.1:8080

    Parameters
    ----------
    name
        Failure domain of the own member.
    """
    accepted = ask(options, lambda client: client.set_domain(name, DomainState.OUT))
    print_accepted(accepted, f"{name} is out", options)


def domain_in(name: str, *, options: AdminOptions = DEFAULT_OPTIONS) -> None:
    """Take a failure domain back in.

    Examples
    --------
    crocusvalve domain in can-tho --url http://127.0.0.1:8080

    Parameters
    ----------
    name
        Failure domain of the own member.
    """
    accepted = ask(options, lambda client: client.set_domain(name, DomainState.IN))
    print_accepted(accepted, f"{name} is in", options)


def rollout_start(
    model: str,
    version: str,
    *,
    stages: Annotated[
        list[float] | None, Parameter(help="Shares of first contacts, rising.")
    ] = None,
    stage_s: Annotated[float, Parameter(help="Least time of a stage, in seconds.")] = 0.0,
    policy: Annotated[str, Parameter(help="sequential or fixed_share.")] = "",
    options: AdminOptions = DEFAULT_OPTIONS,
) -> None:
    """Start a roll-out of a version.

    Examples
    --------
    crocusvalve rollout start assess-small v2 --stages 0.05 --stages 0.5 --stages 1

    Parameters
    ----------
    model
        Model of the own member.
    version
        Version of it.
    """
    start = RolloutStart(
        model=model, version=version, stages=tuple(stages or ()), stage_s=stage_s, policy=policy
    )
    accepted = ask(options, lambda client: client.start_rollout(start))
    print_accepted(accepted, f"roll-out {start.name} has started", options)


def rollout_status(*, options: AdminOptions = DEFAULT_OPTIONS) -> None:
    """Show the roll-outs of the own models.

    Examples
    --------
    crocusvalve rollout status --url http://127.0.0.1:8080
    """
    reply = ask(options, lambda client: client.get_rollouts())
    rows = [
        (
            item.version,
            item.state.value,
            f"{item.share:.0%}",
            f"{item.n_good}/{item.n_good + item.n_bad}",
            f"{item.n_baseline_good}/{item.n_baseline_good + item.n_baseline_bad}",
            item.reason,
        )
        for item in reply.rollouts
    ]
    header = ("VERSION", "STATE", "SHARE", "GOOD", "BASELINE GOOD", "REASON")
    print_result(reply, format_table(header, rows), as_json=options.json)


def rollout_withdraw(version: str, *, options: AdminOptions = DEFAULT_OPTIONS) -> None:
    """Withdraw a version: it gets no new work, and its roll-outs end.

    Works while the platform's store is down, by a notice between the entries.

    Examples
    --------
    crocusvalve rollout withdraw assess-small@v2 --url http://127.0.0.1:8080

    Parameters
    ----------
    version
        ``model@version`` of the own member.
    """
    accepted = ask(options, lambda client: client.withdraw(version))
    print_accepted(accepted, f"{version} is withdrawn", options)


def usage(
    *,
    since: Annotated[str, Parameter(help="Start, ISO 8601 in UTC or Unix seconds.")] = "",
    until: Annotated[str, Parameter(help="End, ISO 8601 in UTC or Unix seconds.")] = "",
    options: AdminOptions = DEFAULT_OPTIONS,
) -> None:
    """Show what the own customers used and owe; the last day by default.

    Examples
    --------
    crocusvalve usage --since 2026-01-01 --until 2026-02-01 --url http://127.0.0.1:8080
    """
    start, end = read_time("--since", since), read_time("--until", until)
    reply = ask(options, lambda client: client.get_usage(start, end))
    print_result(reply, format_usage(reply), as_json=options.json)


def status(*, options: AdminOptions = DEFAULT_OPTIONS) -> None:
    """Show the state of the entry that answers, and of the own upstreams.

    Examples
    --------
    crocusvalve status --url http://127.0.0.1:8080
    """
    report = ask(options, lambda client: client.get_status())
    print_result(report, format_status(report), as_json=options.json)


def ask(options: AdminOptions, call: Callable[[AdminClient], Awaitable[T]]) -> T:
    """Make one call and return its reply."""

    async def run() -> T:
        async with open_client(options) as client:
            return await call(client)

    return trio.run(run)


def print_accepted(accepted: Accepted, what: str, options: AdminOptions) -> None:
    """Print an accepted change and how it is carried."""
    carrier = f"revision {accepted.revision}"
    if accepted.by_notice:
        carrier = "a notice between the entries; the store is down"
    print_result(accepted, [f"{what} by {carrier}"], as_json=options.json)


def format_usage(reply: UsageReply) -> list[str]:
    """Return the lines of a usage report."""
    rows = [
        (
            item.customer_id,
            item.class_name,
            item.version,
            item.n_requests,
            item.prompt_tokens,
            item.completion_tokens,
            f"{item.cost:.4f}",
        )
        for item in reply.entries
    ]
    header = ("CUSTOMER", "CLASS", "VERSION", "REQUESTS", "PROMPT", "COMPLETION", "COST")
    total = sum(item.cost for item in reply.entries)
    period = f"{format_time(reply.since)} to {format_time(reply.until)}"
    return [f"{period}, cost {total:.4f}", *format_table(header, rows)]


def format_status(report: StatusReport) -> list[str]:
    """Return the lines of a status report."""
    store = "up" if report.is_store_up else "down"
    domains = ", ".join(f"{name} {state.value}" for name, state in report.domains.items())
    rows = [
        (
            item.upstream_id,
            item.domain,
            item.state.value,
            f"{item.in_flight}/{item.limit}",
            item.queued,
            item.revision,
        )
        for item in report.upstreams
    ]
    header = ("UPSTREAM", "DOMAIN", "STATE", "IN FLIGHT", "QUEUED", "REVISION")
    return [
        f"{report.node_id}: revision {report.revision}, store {store}, "
        f"outbox {report.outbox}, queued {report.queued}",
        f"domains: {domains}",
        *format_table(header, rows),
    ]


def read_time(option: str, text: str) -> float | None:
    """Return Unix seconds of a text, None of an empty one.

    Raises
    ------
    ConfigError
        Where the text is no time.
    """
    if not text:
        return None
    try:
        return float(text)
    except ValueError:
        pass
    try:
        at = datetime.fromisoformat(text)
    except ValueError:
        problem = Problem(option, repr(text), "ISO 8601 or Unix seconds")
        raise OptionsError([str(problem)]) from None
    return (at if at.tzinfo else at.replace(tzinfo=UTC)).timestamp()
