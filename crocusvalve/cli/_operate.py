"""Commands for failure domains, roll-outs, usage and status."""

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
    """Make the group of commands under ``domain``."""
    app = App(name="domain", help="Take a failure domain out of service or put it back.")
    add_command(app, domain_out, "out")
    add_command(app, domain_in, "in")
    return app


def make_rollout_app() -> App:
    """Make the group of commands under ``rollout``."""
    app = App(name="rollout", help="Start, show and withdraw roll-outs of versions.")
    add_command(app, rollout_start, "start")
    add_command(app, rollout_status, "status")
    add_command(app, rollout_withdraw, "withdraw")
    return app


def domain_out(name: str, *, options: AdminOptions = DEFAULT_OPTIONS) -> None:
    """Take a failure domain out of service: it gets no new work, and work running there is ended.

    Works also while the platform's store is unavailable: the entries then send each other a notice.

    Examples
    --------
    crocusvalve domain out can-tho --url http://127.0.0.1:8080

    Parameters
    ----------
    name
        Failure domain of the operator's member.
    """
    accepted = call_entry(options, lambda client: client.set_domain(name, DomainState.OUT))
    print_accepted(accepted, f"{name} is out", options)


def domain_in(name: str, *, options: AdminOptions = DEFAULT_OPTIONS) -> None:
    """Put a failure domain back in service.

    Examples
    --------
    crocusvalve domain in can-tho --url http://127.0.0.1:8080

    Parameters
    ----------
    name
        Failure domain of the operator's member.
    """
    accepted = call_entry(options, lambda client: client.set_domain(name, DomainState.IN))
    print_accepted(accepted, f"{name} is in", options)


def rollout_start(
    model: str,
    version: str,
    *,
    stages: Annotated[
        list[float] | None,
        Parameter(help="Rising shares of new sessions, and of requests outside a session."),
    ] = None,
    stage_s: Annotated[float, Parameter(help="Minimum duration of a stage, in seconds.")] = 0.0,
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
        Model of the operator's member.
    version
        Version of the model.
    """
    start = RolloutStart(
        model=model, version=version, stages=tuple(stages or ()), stage_s=stage_s, policy=policy
    )
    accepted = call_entry(options, lambda client: client.start_rollout(start))
    print_accepted(accepted, f"roll-out {start.name} has started", options)


def rollout_status(*, options: AdminOptions = DEFAULT_OPTIONS) -> None:
    """Show the roll-outs of the models of the operator's member.

    Examples
    --------
    crocusvalve rollout status --url http://127.0.0.1:8080
    """
    reply = call_entry(options, lambda client: client.get_rollouts())
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

    Works also while the platform's store is unavailable: the entries then send each other a notice.

    Examples
    --------
    crocusvalve rollout withdraw assess-small@v2 --url http://127.0.0.1:8080

    Parameters
    ----------
    version
        ``model@version`` of the operator's member.
    """
    accepted = call_entry(options, lambda client: client.withdraw(version))
    print_accepted(accepted, f"{version} is withdrawn", options)


def usage(
    *,
    since: Annotated[str, Parameter(help="Start, ISO 8601 in UTC or Unix seconds.")] = "",
    until: Annotated[str, Parameter(help="End, ISO 8601 in UTC or Unix seconds.")] = "",
    options: AdminOptions = DEFAULT_OPTIONS,
) -> None:
    """Show the usage and cost of the member's customers; by default of the last day.

    Examples
    --------
    crocusvalve usage --since 2026-01-01 --until 2026-02-01 --url http://127.0.0.1:8080
    """
    start, end = parse_time("--since", since), parse_time("--until", until)
    reply = call_entry(options, lambda client: client.get_usage(start, end))
    print_result(reply, format_usage(reply), as_json=options.json)


def status(*, options: AdminOptions = DEFAULT_OPTIONS) -> None:
    """Show the state of the entry that replies, and of the upstreams of the operator's member.

    Examples
    --------
    crocusvalve status --url http://127.0.0.1:8080
    """
    report = call_entry(options, lambda client: client.get_status())
    print_result(report, format_status(report), as_json=options.json)


def call_entry(options: AdminOptions, call: Callable[[AdminClient], Awaitable[T]]) -> T:
    """Make one call to an entry and return its reply."""

    async def run() -> T:
        async with open_client(options) as client:
            return await call(client)

    return trio.run(run)


def print_accepted(accepted: Accepted, change: str, options: AdminOptions) -> None:
    """Print an accepted change, and whether a revision or a notice distributes it."""
    channel = f"revision {accepted.revision}"
    if accepted.by_notice:
        channel = "a notice between the entries; the store is down"
    print_result(accepted, [f"{change} by {channel}"], as_json=options.json)


def format_usage(reply: UsageReply) -> list[str]:
    """Return a usage report as lines of text: the period, the total cost and a table."""
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
    """Return a status report as lines of text: the entry's state and a table of upstreams."""
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


def parse_time(option: str, text: str) -> float | None:
    """Parse an option's value as a time, in Unix seconds; None if it is empty.

    A time without a time zone is in UTC.

    Raises
    ------
    OptionsError
        If the text is neither ISO 8601 nor a number.
    """
    if not text:
        return None
    try:
        return float(text)
    except ValueError:
        pass
    try:
        time = datetime.fromisoformat(text)
    except ValueError:
        problem = Problem(option, repr(text), "ISO 8601 or Unix seconds")
        raise OptionsError([str(problem)]) from None
    return (time if time.tzinfo else time.replace(tzinfo=UTC)).timestamp()
