"""Components of a soak: gateway processes, and upstreams behind proxies."""

import os
import random
import signal
import sys
from enum import Enum
from pathlib import Path

import trio
from msgspec import Struct

from crocusvalve.platform import SETTINGS_VARIABLE
from crocusvalve.soak.processes._checker import GuaranteeChecker
from crocusvalve.soak.processes._proxy import LinkFault, LinkProxy
from crocusvalve.soak.processes._silent_stream import SilentStream
from crocusvalve.standin import ReceivedRequest, StandinUpstream, UpstreamFault, make_settings

__all__ = ["GatewayPorts", "GatewayProcess", "SoakUpstream", "UpstreamFaultProfile"]


#: Longest pause between two events of a stream.
MAX_EVENT_PAUSE_S = 0.15
#: Range of the times for which an overloaded upstream wants no requests.
RETRY_AFTER_RANGE_S = (0.5, 4.0)


class GatewayPorts(Struct, frozen=True):
    """Ports for callers, readiness probes and peers; each gateway has its own loopback host."""

    front: int = 18080
    ready: int = 18081
    peer: int = 18082


class GatewayProcess:
    """One gateway process, whose links to callers and to the store pass through proxies.

    Parameters
    ----------
    name, host, domain : str
        Name, address and failure domain.
    front, store : LinkProxy
        Links to callers and to the store.
    folder : Path
        Directory of its settings and log.

    Attributes
    ----------
    process : trio.Process or None
        The current process, or the last one.
    is_stop_requested : bool
        Whether the process was sent SIGTERM or SIGKILL.
    n_missed_probes : int
        Failed readiness probes in a row; 2 at first, so that an unprobed gateway isn't ready.
    """

    ports = GatewayPorts()

    def __init__(
        self, name: str, host: str, domain: str, front: LinkProxy, store: LinkProxy, folder: Path
    ):
        self.name = name
        self.host = host
        self.domain = domain
        self.front = front
        self.store = store
        self.settings_path = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self.process: trio.Process | None = None
        self.is_stop_requested = False
        self.n_missed_probes = 2

    @property
    def is_running(self) -> bool:
        """Whether its process is running."""
        return self.process is not None and self.process.returncode is None

    def write_settings(self, seeds: list[str], grace_s: float, drain_s: float) -> None:
        """Write the settings file; ``seeds`` are hosts of gateways to contact first."""
        text = make_settings(
            name=self.name,
            host=self.host,
            domain=self.domain,
            peer_port=self.ports.peer,
            front_port=self.ports.front,
            ready_port=self.ports.ready,
            seeds=[f"{seed}:{self.ports.peer}" for seed in seeds],
            grace_s=grace_s,
            drain_s=drain_s,
            store=self.store.address,
        )
        self.settings_path.write_text(text)

    async def start(self) -> None:
        """Start a process that appends to the log."""
        self.is_stop_requested = False
        with self.log_path.open("ab") as log:
            self.process = await trio.lowlevel.open_process(
                [sys.executable, "-m", "crocusvalve.gateway"],
                stdout=log,
                stderr=log,
                env=os.environ | {SETTINGS_VARIABLE: str(self.settings_path)},
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self.is_running:
            self.is_stop_requested |= number in (signal.SIGTERM, signal.SIGKILL)
            self.process.send_signal(number)


class UpstreamFaultProfile(Enum):
    """How often an upstream injects faults into its answers, and which ones."""

    HEALTHY = "good"
    #: Any fault may occur.
    ANY_FAULT = "spoilt"
    #: Most requests are rejected.
    FULL = "full"
    #: Many answers are failures.
    FAILING = "failing"
    #: Some requests are rejected with a time until which the upstream wants no more.
    OVERLOADED = "overloaded"


#: Faults whose answer is as the upstream has made it, so that nothing shows a gateway the fault.
UNDETECTABLE_FAULTS = {
    fault for fault in UpstreamFault if fault.invalid_reply and fault.invalid_reply.is_signed
} | {UpstreamFault.NONE, UpstreamFault.CLIENT_ERROR, UpstreamFault.EARLY_END}
#: Probability of a fault per request, and the faults to choose from.
PROFILE_FAULTS = {
    UpstreamFaultProfile.ANY_FAULT: (0.4, tuple(set(UpstreamFault) - UNDETECTABLE_FAULTS)),
    UpstreamFaultProfile.FULL: (0.8, (UpstreamFault.FULL,)),
    UpstreamFaultProfile.FAILING: (0.5, (UpstreamFault.FAILURE,)),
    UpstreamFaultProfile.OVERLOADED: (0.3, (UpstreamFault.OVERLOADED,)),
}


class SoakUpstream(StandinUpstream):
    """An upstream that reports each run to the checker and is reached through a proxy.

    Parameters
    ----------
    name, service, domain, version : str
        Its id, service, failure domain and version.
    checker : GuaranteeChecker
        Receives each run.
    random_state : random.Random
        Source of randomness for faults and pauses.

    Attributes
    ----------
    fault_profile : UpstreamFaultProfile
        Faults that it injects at present.
    state : str
        State that it registers: "ready" or "draining".
    sequence : int
        Number of times that it wrote its entry.
    started_ms : int
        Start time that it registers, in milliseconds; a larger one marks a new run of it.
    is_registered : bool
        Whether the store has an entry of it.
    proxy : LinkProxy or None
        Link from the gateways, whose address it registers.
    silent_until : float
        Time of trio's clock until which it sends nothing on any connection.
    """

    def __init__(
        self,
        name: str,
        service: str,
        domain: str,
        version: str,
        checker: GuaranteeChecker,
        random_state: random.Random,
    ):
        super().__init__(name)
        self.service = service
        self.domain = domain
        self.version = version
        self.checker = checker
        self.random_state = random_state
        self.fault_profile = UpstreamFaultProfile.HEALTHY
        self.state = "ready"
        self.is_registered = False
        self.sequence = 0
        self.started_ms = 1
        self.pause_s = random_state.uniform(0.0, MAX_EVENT_PAUSE_S)
        self.proxy: LinkProxy | None = None
        self.silent_until = float("-inf")
        checker.upstream_domains[name] = domain

    def crash(self) -> None:
        """Reset all connections and accept none until the next start."""
        if self.proxy.fault is LinkFault.DOWN:
            return
        self.checker.record_crash(self.crash_cause)
        self.checker.disruption_table.begin(self.upstream_id, self.checker.clock())
        self.proxy.set_fault(LinkFault.DOWN)
        super().crash()

    def choose_fault(self) -> UpstreamFault:
        """Choose the fault for the next request, according to the fault profile."""
        probability, faults = PROFILE_FAULTS.get(self.fault_profile, (0.0, ()))
        if self.random_state.random() < probability:
            return self.random_state.choice(sorted(faults, key=lambda fault: fault.value))
        return UpstreamFault.NONE

    def record_run(self, call: ReceivedRequest, fault: UpstreamFault) -> None:
        """Report a request that it begins to run to the checker."""
        self.checker.record_run(self.upstream_id, self.service, call, fault)

    def fall_silent(self, duration_s: float) -> None:
        """Send nothing for a time; a silence is not prolonged while it lasts."""
        now = trio.current_time()
        if now >= self.silent_until:
            self.silent_until = now + duration_s

    @property
    def is_link_sound(self) -> bool:
        """Whether answers are sent now, and the link from the gateways delivers them."""
        is_silent = trio.current_time() < self.silent_until
        return not is_silent and (self.proxy is None or self.proxy.fault is LinkFault.NONE)

    def record_rejection(self, call: ReceivedRequest, fault: UpstreamFault) -> None:
        """Report a request that it rejects to the checker; choose the time that it sets."""
        span_s = 0.0
        if fault is UpstreamFault.OVERLOADED:
            span_s = round(self.random_state.uniform(*RETRY_AFTER_RANGE_S), 2)
            self.retry_after = str(span_s)
        self.checker.record_rejection(self.upstream_id, call, span_s if self.is_link_sound else 0.0)

    async def answer(self, call: ReceivedRequest, stream: trio.SocketStream) -> bool:
        """Answer a request, and report to the checker if the answer announces the end."""
        is_announced, is_limited = self.is_leaving, bool(self.rate_limit)
        is_sent = await super().answer(call, SilentStream(stream, lambda: self.silent_until))
        # An upstream that is no longer leaving has started again within the answer.
        if is_announced and self.is_leaving and is_sent and self.is_link_sound:
            self.checker.record_leaving(self.upstream_id, call)
        if is_limited and is_sent and self.is_link_sound:
            self.checker.record_limit(self.upstream_id, call)
        return is_sent

    def make_current_entry(self) -> dict:
        """Return its current entry for the store."""
        return self.make_entry(
            self.service,
            self.domain,
            address=self.proxy.address,
            version=self.version,
            state=self.state,
            sequence=self.sequence,
            born=self.started_ms,
        )
