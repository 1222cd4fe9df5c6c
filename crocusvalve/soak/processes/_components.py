"""The parts of a soak: gateways as processes, upstreams behind proxies."""

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
from crocusvalve.soak.processes._proxy import LinkProxy
from crocusvalve.standin import PageCall, PageUpstream, UpstreamFault, make_settings

__all__ = ["GatewayPorts", "GatewayProcess", "SoakUpstream", "UpstreamFaultProfile"]


#: Longest pause between two events of a stream.
MAX_EVENT_PAUSE_S = 0.15


class GatewayPorts(Struct, frozen=True):
    """Ports of every gateway, each on a host of its own."""

    front: int = 18080
    ready: int = 18081
    peer: int = 18082


class GatewayProcess:
    """One gateway; its links to callers and to the store pass through proxies.

    Parameters
    ----------
    front, store : LinkProxy
        Links to callers and to the store.
    folder : Path
        Where its settings and its log lie.
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
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None

    def write_settings(self, seeds: list[str], grace_s: float, drain_s: float) -> None:
        """Write the settings file."""
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
        """Start a process; its log is appended to."""
        self.is_stop_requested = False
        with self.log_path.open("ab") as log:
            self.process = await trio.lowlevel.open_process(
                [sys.executable, "-m", "crocusvalve.gateway"],
                stdout=log,
                stderr=log,
                env=os.environ | {SETTINGS_VARIABLE: str(self.settings_path)},
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.is_running:
            self.is_stop_requested |= number in (signal.SIGTERM, signal.SIGKILL)
            self.process.send_signal(number)


class UpstreamFaultProfile(Enum):
    """How often an upstream answers badly, and in which ways."""

    HEALTHY = "good"
    #: A share of all that can go wrong.
    ANY_FAULT = "spoilt"
    #: It rejects most requests.
    FULL = "full"
    #: Many answers are failures.
    FAILING = "failing"


PROFILE_FAULTS = {
    UpstreamFaultProfile.ANY_FAULT: (0.4, tuple(set(UpstreamFault) - {UpstreamFault.NONE})),
    UpstreamFaultProfile.FULL: (0.8, (UpstreamFault.FULL,)),
    UpstreamFaultProfile.FAILING: (0.5, (UpstreamFault.FAILURE,)),
}


class SoakUpstream(PageUpstream):
    """An upstream that tells the judge what it runs; callers reach it through a proxy.

    Parameters
    ----------
    proxy : LinkProxy
        The link to it, whose address it registers.
    checker : GuaranteeChecker
        Told of each run.
    random_state : random.Random
        Chooses its faults.
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
        self.started_ms = 1
        self.pause_s = random_state.uniform(0.0, MAX_EVENT_PAUSE_S)
        self.proxy: LinkProxy | None = None
        checker.upstream_domains[name] = domain

    def choose_fault(self) -> UpstreamFault:
        """Choose what to do with the next request."""
        share, faults = PROFILE_FAULTS.get(self.fault_profile, (0.0, ()))
        if self.random_state.random() < share:
            return self.random_state.choice(sorted(faults, key=lambda fault: fault.value))
        return UpstreamFault.NONE

    def note_run(self, call: PageCall, fault: UpstreamFault) -> None:
        """Tell the judge of a request that it begins to run."""
        self.checker.record_run(self.upstream_id, self.service, call, fault)

    def make_current_entry(self) -> dict:
        """Return its entry for the store."""
        return self.make_entry(
            self.service,
            self.domain,
            address=self.proxy.address,
            version=self.version,
            state=self.state,
            born=self.started_ms,
        )
