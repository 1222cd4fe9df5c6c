"""Gossip messages between gateways."""

from msgspec import Struct, field

from crocusvalve.base import DomainId, NodeId, UpstreamId
from crocusvalve.gateway.base import PrefixPart, ServiceName, VersionName
from crocusvalve.gateway.decisions._capacity import SpeedReport
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.decisions._crashing_parts import SoundPart, SuspectPart
from crocusvalve.gateway.decisions._outcome_counts import OutcomeCountsRow
from crocusvalve.gateway.decisions._rate_limits import RateLimitReport
from crocusvalve.gateway.shared._domain_loads import DomainLoads
from crocusvalve.gateway.tables._replica import TablePosition

__all__ = [
    "CompactSentParts",
    "GossipMessage",
    "MemberReport",
    "RunCounts",
    "SentPromptParts",
    "TableReport",
    "UpgradeReport",
]


class SentPromptParts(Struct, frozen=True, array_like=True):
    """Parts of a prompt sent to an upstream that other prompts may share.

    Attributes
    ----------
    sent_at : float
        Time of the send in seconds, by the clock of the gateway that sent the prompt.
    upstream_id : UpstreamId
        The upstream that got the prompt.
    model : str
        The model that the prompt was sent to.
    parts : tuple of PrefixPart
        The shared parts, in the order of the prompt.
    """

    sent_at: float
    upstream_id: UpstreamId
    model: str
    parts: tuple[PrefixPart, ...]


class CompactPart(Struct, frozen=True, array_like=True):
    """A part of a prompt and its length in tokens, encoded by position."""

    part_id: str
    n_tokens: int


class CompactSentParts(Struct, frozen=True, array_like=True):
    """The same as ``SentPromptParts`` in about two thirds of the bytes."""

    sent_at: float
    upstream_id: UpstreamId
    model: str
    parts: tuple[CompactPart, ...]

    @classmethod
    def of(cls, sent: SentPromptParts) -> "CompactSentParts":
        """Return the compact form."""
        parts = tuple(CompactPart(part.part_id, part.n_tokens) for part in sent.parts)
        return cls(sent.sent_at, sent.upstream_id, sent.model, parts)

    def expand(self) -> SentPromptParts:
        """Return the usual form."""
        parts = tuple(PrefixPart(part.part_id, part.n_tokens) for part in self.parts)
        return SentPromptParts(self.sent_at, self.upstream_id, self.model, parts)


class UpgradeReport(Struct, frozen=True, kw_only=True, array_like=True):
    """Status of a service's upgrade as a gateway knows it; see ``UpgradeStatus``.

    ``is_bad`` is whether the gateway knows that the new version is bad, ``pinned`` the points of
    sessions that keep the old version in the first half.
    """

    service: ServiceName
    version: VersionName
    state: str
    share: float
    started_s: float
    is_bad: bool = False
    pinned: tuple[float, ...] = ()


class MemberReport(Struct, frozen=True, array_like=True):
    """A gateway that is alive, as the sender of a message knows it.

    Attributes
    ----------
    age_ms : int
        Time since the gateway's last message to any gateway, as far as the sender knows.
    domain : DomainId
        Failure domain of the gateway; empty if it is unknown.
    requests_per_ks : int
        Callers' requests to the gateway in 1000 s; negative if the rate is unknown.
    """

    node_id: NodeId
    host: str
    age_ms: int
    is_leaving: bool
    has_store: bool
    domain: DomainId = DomainId("")
    requests_per_ks: int = -1


class RunCounts(Struct, frozen=True, array_like=True):
    """Counts of answers and failures of one run of a gateway, passed on by another one.

    Attributes
    ----------
    run_id : str
        Node id and boot id of the gateway, as ``node#boot``.
    """

    run_id: str
    rows: tuple[OutcomeCountsRow, ...]


class TableReport(Struct, frozen=True, array_like=True):
    """What a gateway knows of a table of the store, for gateways that copy it.

    Attributes
    ----------
    change : TablePosition
        Last merged change other than a repetition of an entry.
    age_ms : int
        Time since the store's last answer for the table; -1 if the gateway doesn't follow it.
    is_settled : bool
        Whether the table can be copied now.
    """

    change: TablePosition
    age_ms: int
    is_settled: bool


class GossipMessage(Struct, frozen=True, kw_only=True, array_like=True):
    """State of one gateway; each message is complete and replaces the one before.

    Attributes
    ----------
    node_id : NodeId
        Identifier of the gateway.
    boot_id : str
        Identifier of this run of the gateway's process.
    host : str
        Host on which the gateway receives gossip and serves table copies.
    n_inflight : dict
        Number of requests in flight by upstream.
    outcome_counts : tuple of OutcomeCountsRow
        The gateway's counts of answers and failures.
    crashes : dict
        Crash incidents by digest of the request that caused them.
    hosts : tuple of str
        Hosts of gateways; an earlier release reads them instead of ``members``.
    pending_work : dict
        Weighted prompt tokens not yet processed, by upstream.
    parts : tuple of SentPromptParts
        Prompt parts recently sent to upstreams.
    is_leaving : bool
        Whether the gateway is stopping.
    has_store : bool
        Whether the gateway reaches the store.
    leaving : tuple of UpstreamRun
        Upstreams that have said that they are about to stop.
    silent : tuple of UpstreamRun
        Upstreams to which the gateway recently could open no connection, or that crashed.
    members : tuple of MemberReport
        A random part of the gateways that are alive.
    upgrades : tuple of UpgradeReport
        Status of the operators' current upgrade orders.
    positions : dict of str to TablePosition
        Last change that the gateway has merged, by table of the store.
    suspect_parts : tuple of SuspectPart
        Parts of prompts that may crash upstreams.
    sound_parts : tuple of SoundPart
        Parts that were in a crash, and that are known not to cause it.
    rate_limits : tuple of RateLimitReport
        Limits that upstreams have named, and those that have ended lately.
    requests_per_s : float
        Rate of the callers' requests to the gateway.
    ban_fingerprint : int or None
        Hash of the digests of all requests that the gateway refuses since they crash upstreams;
        None from an earlier release.
    domain : DomainId
        Failure domain of the gateway; empty from an earlier release.
    upstream_speeds : tuple of SpeedReport
        Speeds of upstreams that the gateway has learned.
    domain_loads : tuple of DomainLoads
        Sums of loads by failure domain: to another failure domain those of the sender's, in place
        of ``n_inflight`` and ``pending_work``; otherwise those of other failure domains.
    domain_counts : tuple of RunCounts
        Counts of all gateways of the sender's failure domain, to other failure domains.
    outside_parts : tuple of CompactSentParts
        Prompt parts sent by gateways of other failure domains than the receiver's; ``parts`` has
        those sent by gateways of the sender's failure domain, for receivers in it.
    table_reports : dict of str to TableReport
        State of each loaded table; empty from an earlier release.
    cleared_crashes : dict
        Incidents in ``crashes`` that don't count, by digest, since the request has been answered.
    """

    node_id: NodeId
    boot_id: str
    host: str
    n_inflight: dict[str, int] = field(default_factory=dict)
    outcome_counts: tuple[OutcomeCountsRow, ...] = ()
    crashes: dict[str, list[str]] = field(default_factory=dict)
    hosts: tuple[str, ...] = ()
    pending_work: dict[str, int] = field(default_factory=dict)
    parts: tuple[SentPromptParts, ...] = ()
    is_leaving: bool = False
    has_store: bool = True
    leaving: tuple[UpstreamRun, ...] = ()
    upgrades: tuple[UpgradeReport, ...] = ()
    silent: tuple[UpstreamRun, ...] = ()
    members: tuple[MemberReport, ...] = ()
    positions: dict[str, TablePosition] = field(default_factory=dict)
    suspect_parts: tuple[SuspectPart, ...] = ()
    sound_parts: tuple[SoundPart, ...] = ()
    ban_fingerprint: int | None = None
    rate_limits: tuple[RateLimitReport, ...] = ()
    requests_per_s: float = 0.0
    domain: DomainId = DomainId("")
    upstream_speeds: tuple[SpeedReport, ...] = ()
    domain_loads: tuple[DomainLoads, ...] = ()
    domain_counts: tuple[RunCounts, ...] = ()
    outside_parts: tuple[CompactSentParts, ...] = ()
    table_reports: dict[str, TableReport] = field(default_factory=dict)
    cleared_crashes: dict[str, list[str]] = field(default_factory=dict)
