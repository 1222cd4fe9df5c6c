"""Table of all facts that gateways tell each other."""

from msgspec import Struct

__all__ = ["FACTS", "Fact"]


class Fact(Struct, frozen=True, kw_only=True):
    """One kind of fact in gossip.

    Attributes
    ----------
    name : str
        Name of the fact.
    fields : tuple of str
        Fields of ``GossipMessage`` that carry it.
    changed_by : str
        Who may change it.
    known_within_s : float or None
        Time in seconds until nearly all gateways know it, with up to 68 gateways and a fifth of the
        datagrams lost; None if it is for those that hear from the sender directly.
    is_final : bool
        Whether it never changes again. Then all gateways know it within the time.
    repaired_by : str
        How a gateway that lacks it gets it.
    max_bytes : int
        Maximum size in one message, with 32 upstreams and 20 gateways of a failure domain.
    without : str
        What is decided without it.
    """

    name: str
    fields: tuple[str, ...]
    changed_by: str
    known_within_s: float | None
    is_final: bool = False
    repaired_by: str
    max_bytes: int
    without: str


FACTS = (
    Fact(
        name="identity",
        fields=("node_id", "boot_id", "host", "domain"),
        changed_by="the gateway, at its start",
        known_within_s=None,
        repaired_by="each message",
        max_bytes=160,
        without="a gateway without a failure domain counts as outside, and as one of its own",
    ),
    Fact(
        name="members",
        fields=("members", "is_leaving", "has_store", "hosts"),
        changed_by="the gateway itself; others tell it with its age, the youngest holds",
        known_within_s=4.0,
        repaired_by="each message, from gateways that have heard from it; seeds and the store",
        max_bytes=900,
        without="after 4 s a gateway counts as ended, its host gets gossip for 30 s",
    ),
    Fact(
        name="loads",
        fields=("n_inflight", "pending_work", "domain_loads"),
        changed_by="the gateway; sums by any gateway of the failure domain, the newest hold",
        known_within_s=4.0,
        repaired_by="each message; sums are passed on once within a failure domain",
        max_bytes=3600,
        without="as last heard for 3 s, then the gateway's own loads",
    ),
    Fact(
        name="request rates",
        fields=("requests_per_s", "members"),
        changed_by="the gateway itself",
        known_within_s=4.0,
        repaired_by="each message, with the members",
        max_bytes=910,
        without="a gateway counts with the mean of the others",
    ),
    Fact(
        name="sent prompts",
        fields=("parts", "outside_parts"),
        changed_by="nobody; the gateway that has sent the prompt adds it",
        known_within_s=2.0,
        repaired_by="not; the next prompt with the same parts adds them again",
        max_bytes=6500,
        without="the upstream counts as having nothing of the prompt cached",
    ),
    Fact(
        name="outcome counts",
        fields=("outcome_counts", "domain_counts"),
        changed_by="the gateway; counts only grow, so the higher total of a run holds",
        known_within_s=6.0,
        repaired_by="each message while an upgrade is active",
        max_bytes=8000,
        without="the verdict rests on the counts that are known",
    ),
    Fact(
        name="upgrades",
        fields=("upgrades",),
        changed_by="the leader by the status table; a bad verdict by any gateway",
        known_within_s=3.0,
        is_final=True,
        repaired_by="each message, from all that know it; the status table",
        max_bytes=2000,
        without="the version gets its share of sessions until this gateway's own verdict",
    ),
    Fact(
        name="banned requests",
        fields=("crashes", "ban_fingerprint"),
        changed_by="any gateway that sees a crash; crashes are only added, and may be cleared",
        known_within_s=3.0,
        is_final=True,
        repaired_by="all in turn, once a peer's fingerprint differs",
        max_bytes=8000,
        without="the request may crash one more upstream",
    ),
    Fact(
        name="cleared crashes",
        fields=("cleared_crashes",),
        changed_by="any gateway whose upstream answers the request; cleared ones are only added",
        known_within_s=3.0,
        repaired_by="all in turn, once a peer's fingerprint differs",
        max_bytes=7000,
        without="a sound request may be refused, until its next answer",
    ),
    Fact(
        name="crashing parts",
        fields=("suspect_parts",),
        changed_by="any gateway that sees a crash; an answer that goes on clears it",
        known_within_s=3.0,
        is_final=True,
        repaired_by="banned ones in turn, in each message",
        max_bytes=3000,
        without="a prompt with the part may crash one more upstream",
    ),
    Fact(
        name="sound parts",
        fields=("sound_parts",),
        changed_by="any gateway whose upstream answers a prompt with the part; the newest holds",
        known_within_s=3.0,
        repaired_by="each message for 10 s",
        max_bytes=1500,
        without="the part stays suspect, and may be banned by crashes of another one",
    ),
    Fact(
        name="leaving upstreams",
        fields=("leaving",),
        changed_by="the upstream, to any gateway",
        known_within_s=3.0,
        is_final=True,
        repaired_by="all in turn, in each message; the table of upstreams",
        max_bytes=3000,
        without="the upstream gets requests until it refuses them or its entry drains",
    ),
    Fact(
        name="rate limits",
        fields=("rate_limits",),
        changed_by="the upstream by its answers; the youngest holds",
        known_within_s=3.0,
        repaired_by="all in turn, in each message",
        max_bytes=2000,
        without="the gateway learns it from its first answer",
    ),
    Fact(
        name="silent upstreams",
        fields=("silent",),
        changed_by="the gateway that can't connect",
        known_within_s=None,
        repaired_by="each message for as long as it holds",
        max_bytes=1200,
        without="the gateway finds it by its own failed connection",
    ),
    Fact(
        name="table positions",
        fields=("positions", "table_reports"),
        changed_by="the store; a gateway tells what it has merged, the highest holds",
        known_within_s=3.0,
        is_final=True,
        repaired_by="each message; a gateway that is behind copies the table from the sender",
        max_bytes=180,
        without="the gateway follows the store itself",
    ),
    Fact(
        name="upstream speeds",
        fields=("upstream_speeds",),
        changed_by="any gateway, by its upstreams' response times",
        known_within_s=None,
        repaired_by="each message",
        max_bytes=1500,
        without="all upstreams count as equally fast",
    ),
)
