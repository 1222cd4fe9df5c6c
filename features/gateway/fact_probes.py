"""Facts that gateways tell each other: how a test makes each known to a gateway, and checks it."""

from abc import ABC, abstractmethod

from crocusvalve.base import UpstreamId
from crocusvalve.gateway.base import PrefixPart, ServiceName, UpgradeState, VersionName
from crocusvalve.gateway.decisions._capacity import SpeedReport
from crocusvalve.gateway.decisions._closures import UpstreamRun
from crocusvalve.gateway.shared._gossip_message import SentPromptParts
from crocusvalve.gateway.tables._replica import TablePosition
from crocusvalve.store.base import FeedPage, FeedRow

SERVICE, VERSION, MODEL = ServiceName("llm"), VersionName("v2"), "large"


class Probe(ABC):
    """One fact: made known to one gateway, then looked for at the others.

    Parameters
    ----------
    label : str
        Distinguishes several facts of a kind.
    """

    #: Name of the fact in the table of facts.
    fact = ""

    def __init__(self, label):
        self.label = label

    @abstractmethod
    def begin(self, gateway, now):
        """Make the fact known to a gateway."""

    @abstractmethod
    def is_known(self, gateway, now):
        """Return whether a gateway knows the fact."""


class BanProbe(Probe):
    """A request that has crashed three upstreams."""

    fact = "banned requests"

    def begin(self, gateway, now):
        for number in range(3):
            gateway.crashes.record_crash(self.label, f"i-{self.label}-{number}#1")

    def is_known(self, gateway, now):
        return gateway.crashes.is_banned(self.label)


class ClearedCrashProbe(Probe):
    """A crash that isn't held against a request, since the request has been answered."""

    fact = "cleared crashes"

    def begin(self, gateway, now):
        gateway.crashes.record_crash(f"sound-{self.label}", "i-0#1")
        gateway.crashes.record_answer(f"sound-{self.label}", now)

    def is_known(self, gateway, now):
        return gateway.crashes.is_cleared(f"sound-{self.label}", "i-0#1")


class BannedPartProbe(Probe):
    """A part of prompts that has crashed three upstreams."""

    fact = "crashing parts"

    def begin(self, gateway, now):
        for number in range(3):
            gateway.gossip.crashing_parts.record_crash(
                [f"part-{self.label}"],
                f"i-{self.label}-{number}#1",
                f"{number}-{self.label}",
                now - 2.0 + number,
            )

    def is_known(self, gateway, now):
        return gateway.gossip.crashing_parts.find_banned([f"part-{self.label}"]) is not None


class SoundPartProbe(Probe):
    """A part of prompts that was in a crash, and whose answers go on."""

    fact = "sound parts"

    def begin(self, gateway, now):
        parts = gateway.gossip.crashing_parts
        parts.record_crash([f"sound-{self.label}"], f"i-{self.label}#1", "request", now - 1.0)
        parts.record_answer([f"sound-{self.label}"], now)

    def is_known(self, gateway, now):
        sound = gateway.gossip.crashing_parts.list_sound(64, now)
        return any(report.part_id == f"sound-{self.label}" for report in sound)


class LeavingProbe(Probe):
    """An upstream that is about to stop."""

    fact = "leaving upstreams"

    @property
    def run(self):
        """The upstream's run."""
        return UpstreamRun(UpstreamId(f"i-{self.label}"), 1)

    def begin(self, gateway, now):
        gateway.tables.closures.mark_leaving(self.run)

    def is_known(self, gateway, now):
        return self.run in gateway.tables.closures.list_leaving()


class LimitProbe(LeavingProbe):
    """A rate of requests that an upstream has named."""

    fact = "rate limits"

    def begin(self, gateway, now):
        gateway.tables.rate_limits.record_answer(self.run, 5.0, now)

    def is_known(self, gateway, now):
        return gateway.tables.rate_limits.get_rate(self.run) == 5.0


class SilentProbe(LeavingProbe):
    """An upstream to which connections fail, as peers report it."""

    fact = "silent upstreams"

    def begin(self, gateway, now):
        gateway.tables.get_load(UpstreamId("i-silent")).silent_until = now + 30.0

    def is_known(self, gateway, now):
        runs = gateway.peers.count_silent(now)
        load = gateway.tables.get_load(UpstreamId("i-silent"))
        return load.silent_until > now or any(run.upstream_id == "i-silent" for run in runs)


class PositionProbe(Probe):
    """A change of the operators' table, such as the withdrawal of a key."""

    fact = "table positions"

    def begin(self, gateway, now):
        write_change(gateway, int(self.label))

    def is_known(self, gateway, now):
        position = gateway.operator_handler.replica.last_change
        return position >= TablePosition(0, int(self.label))


def write_change(gateway, version):
    """Let a gateway read a change of the operators' table."""
    page = FeedPage((FeedRow("key", b"{}", version),), version, 0.0, 0)
    gateway.operator_handler.replica.merge_changes(page)


class VerdictProbe(Probe):
    """A verdict that the new version of an upgrade is bad."""

    fact = "upgrades"

    def begin(self, gateway, now):
        order = gateway.tables.orders[SERVICE]
        gateway.upgrades._bad_orders[SERVICE] = order.position

    def is_known(self, gateway, now):
        assert gateway.upgrades.get_status(gateway.tables.orders[SERVICE]).state in UpgradeState
        return any(report.is_bad for report in gateway.upgrades.list_reports())


class OutcomeProbe(Probe):
    """An answer of a gateway, counted for the verdict on a version."""

    fact = "outcome counts"

    def begin(self, gateway, now):
        gateway.outcome_counts.record_outcome(SERVICE, VERSION, self.label, is_failure=False)

    def is_known(self, gateway, now):
        new, _ = gateway.outcome_counts.sum_by_route(SERVICE, VERSION)
        return self.label in new and new[self.label].n_answers == 1


class SentPromptProbe(Probe):
    """A prompt whose parts an upstream has cached."""

    fact = "sent prompts"

    def begin(self, gateway, now):
        part = PrefixPart(self.label, 1000)
        gateway.attempt_manager.sent_prompt_parts.append(
            SentPromptParts(now, UpstreamId("i-00000001"), MODEL, (part,))
        )
        gateway.tables.get_load(UpstreamId("i-00000001")).cached_parts[MODEL, self.label] = 1000

    def is_known(self, gateway, now):
        return (MODEL, self.label) in gateway.tables.get_load(UpstreamId("i-00000001")).cached_parts


class SpeedProbe(LeavingProbe):
    """A learned speed of an upstream, as a gateway hears it from the one that has learned it."""

    fact = "upstream speeds"

    def begin(self, gateway, now):
        gateway.speeds[self.run] = SpeedReport(self.run, 0.875, 12.0, 400)

    def is_known(self, gateway, now):
        return self.run in gateway.speeds


class LoadProbe(Probe):
    """Requests in flight at an upstream from one gateway."""

    fact = "loads"

    def begin(self, gateway, now):
        gateway.tables.get_load(UpstreamId(self.label)).n_inflight = 1

    def is_known(self, gateway, now):
        load = gateway.tables.get_load(UpstreamId(self.label))
        return load.n_inflight + load.n_peer_inflight == 1


class StopProbe(Probe):
    """A gateway that is stopping."""

    fact = "members"

    def __init__(self, label):
        super().__init__(label)
        self.node_id = None

    def begin(self, gateway, now):
        self.node_id = gateway.settings.node_id
        gateway.gossip.is_leaving = lambda: True

    def is_known(self, gateway, now):
        if gateway.settings.node_id == self.node_id:
            return True
        member = gateway.peers.list_alive(now).get(self.node_id)
        return member is None or member.is_leaving


class RateProbe(Probe):
    """Rate of the callers' requests to a gateway."""

    fact = "request rates"

    def __init__(self, label):
        super().__init__(label)
        self.node_id = None

    def begin(self, gateway, now):
        self.node_id = gateway.settings.node_id
        gateway.tables.request_rate.compute = lambda now: 77.0

    def is_known(self, gateway, now):
        own = gateway.tables.request_rate.compute(now)
        return gateway.peers.list_request_rates(own, now).get(self.node_id) == 77.0


#: Kinds of probes; those of ``FINAL`` hold for ever once known to one gateway.
FINAL = (BanProbe, BannedPartProbe, LeavingProbe, PositionProbe, VerdictProbe)
OTHERS = (
    SoundPartProbe,
    LimitProbe,
    SilentProbe,
    OutcomeProbe,
    SentPromptProbe,
    SpeedProbe,
    LoadProbe,
    StopProbe,
    RateProbe,
    ClearedCrashProbe,
)
