"""Gateways of several failure domains that gossip in virtual time, with lost datagrams."""

import heapq
import random

import msgspec

from crocusvalve.base import DomainId, UpstreamId
from crocusvalve.gateway.base import (
    Address,
    Configuration,
    PrefixPart,
    Service,
    UpgradeOrder,
    UpgradeState,
    UpgradeStatus,
    Upstream,
    VersionName,
)
from crocusvalve.gateway.shared._gossip_message import GossipMessage, SentPromptParts
from crocusvalve.gateway.shared._gossip_targets import TargetQuery, choose_targets
from crocusvalve.store.base import FeedPage, FeedRow
from features.gateway.fact_probes import MODEL, SERVICE, VERSION, write_change
from features.gateway.gateway_harness import make_gateway

ROUND_S = 0.4
COPY_S = 0.1
N_SEEDS = 3
N_UPSTREAMS = 22
STREAMS_PER_S = 55.0
N_SHARED_PARTS = 2
N_BASELINE_TARGETS = 6
N_BASELINE_MEMBERS = 20
BASELINE_PARTS_WINDOW_S = 1.0


class FactSimulation:
    """Gateways with loads, prompts and an upgrade; a part of the datagrams is lost.

    Parameters
    ----------
    is_baseline : bool
        Whether each gateway sends its own state to six at random, as before messages differed by
        failure domain.

    Attributes
    ----------
    cut_domain : str or None
        Failure domain whose gateways exchange no messages with others.
    n_bytes : dict
        Bytes sent within and between failure domains.
    largest : dict
        Largest size of each field of a message, in bytes.
    """

    def __init__(self, n, n_domains, loss, *, is_baseline=False, seed=5):
        self.rng = random.Random(seed)
        self.n_domains = n_domains
        self.loss = loss
        self.is_baseline = is_baseline
        self.now = 1000.0
        self.gateways = []
        self.by_host = {}
        self.started_at = []
        self.events = []
        self.cut_domain = None
        self.prompts = []
        self.reset_counts()
        for _ in range(n):
            self.start_gateway()
        self._add_prompt_event()

    def reset_counts(self):
        """Count bytes, and the largest size of each field, from now on."""
        self.n_bytes = {"within": 0, "between": 0}
        self.counted_since = self.now
        self.largest = {}

    def start_gateway(self):
        """Add a gateway that knows the tables, and of other gateways the seeds only."""
        number = len(self.gateways)
        gateway = make_gateway(number, f"domain-{number % self.n_domains}")
        gateway.speeds = {}
        gateway.gossip.list_speeds = lambda now: list(gateway.speeds.values())
        gateway.gossip.merge_speeds = lambda node_id, reports, now: gateway.speeds.update(
            {report.run: report for report in reports}
        )
        gateway.peers.add_hosts((gw.settings.peer.host for gw in self.gateways[:N_SEEDS]), self.now)
        tables = gateway.tables
        services = {SERVICE: Service(name=SERVICE, memory_tokens=10**9)}
        tables.apply_configuration(Configuration(version=1, services=services))
        names = [f"i-{number:08d}" for number in range(N_UPSTREAMS)]
        for name in (*names, "i-silent", "i-idle-0", "i-idle-1"):
            tables.put_upstream(
                Upstream(
                    upstream_id=UpstreamId(name),
                    service=SERVICE,
                    address=Address("127.0.0.1", 1),
                    domain=DomainId("domain-0"),
                    version=VersionName("v1"),
                    slots=64,
                    started_ms=1764000000000,
                ),
                self.now,
            )
        for name in names:
            load = tables.get_load(UpstreamId(name))
            load.n_inflight = self.rng.randrange(4)
            load.pending_work = load.n_inflight * self.rng.uniform(0.0, 9000.0)
        tables.orders[SERVICE] = UpgradeOrder(SERVICE, VERSION, 100.0, 1)
        tables.statuses[SERVICE] = UpgradeStatus(
            version=VERSION, state=UpgradeState.RUNNING, share=0.1, started_s=1.0, revision=2
        )
        for handler in (gateway.operator_handler, gateway.upstream_handler):
            handler.replica.replace_table(FeedPage((FeedRow("key", b"{}", 1),), 1, 0.0, 0))
        self.gateways.append(gateway)
        self.by_host[gateway.settings.peer.host] = number
        self.started_at.append(self.now)
        self._push(self.now + self.rng.uniform(0.0, ROUND_S), self._send, number, 2500)

    def _push(self, at, action, *args):
        heapq.heappush(self.events, (at, len(self.events), self.rng.random(), action, args))

    def _add_prompt_event(self):
        self._push(self.now + self.rng.expovariate(STREAMS_PER_S), self._send_prompt)

    def _send_prompt(self):
        gateway = self.rng.choice(self.gateways)
        parts = tuple(
            PrefixPart(f"{self.rng.getrandbits(64):016x}", self.rng.randrange(9000))
            for _ in range(N_SHARED_PARTS)
        )
        upstream_id = UpstreamId(f"i-{self.rng.randrange(N_UPSTREAMS):08d}")
        gateway.attempt_manager.sent_prompt_parts.append(
            SentPromptParts(self.now, upstream_id, MODEL, parts)
        )
        gateway.tables.get_load(upstream_id).cached_parts[MODEL, parts[0].part_id] = 1
        self.prompts.append((self.now, upstream_id, parts[0].part_id))
        self._add_prompt_event()

    def run(self, until):
        """Let time pass until an instant in seconds."""
        while self.events[0][0] <= until:
            self.now, _, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.now = until

    def _send(self, number, round_number):
        self._push(self.now + ROUND_S, self._send, number, round_number + 1)
        gateway = self.gateways[number]
        self._copy_tables(number)
        if self.is_baseline:
            hosts = gateway.peers.list_hosts(self.now)
            hosts = self.rng.sample(hosts, min(N_BASELINE_TARGETS, len(hosts)))
            message = self._make_baseline(gateway)
            self._deliver(number, hosts, message)
            return
        message = gateway.gossip.make_message(self.now)
        query = TargetQuery(
            host=gateway.settings.peer.host,
            domain=gateway.settings.domain,
            domains=gateway.peers.list_host_domains(self.now),
            round_number=round_number,
            uptime_s=self.now - self.started_at[number],
            is_heard=gateway.peers.has_recent(self.now),
            behind=gateway.peers.list_hosts_behind(message.ban_fingerprint, self.now),
        )
        targets = choose_targets(query, self.rng)
        hosts = [host for host in targets.outside if host not in targets.summarised]
        self._deliver(number, [*targets.inside, *hosts], message)
        if targets.summarised:
            outside = gateway.gossip.make_outside_message(message, self.now)
            self._deliver(number, targets.summarised, outside)

    def _make_baseline(self, gateway):
        message = gateway.gossip.make_message(self.now)
        recent = [
            sent
            for sent in gateway.attempt_manager.sent_prompt_parts
            if self.now - sent.sent_at < BASELINE_PARTS_WINDOW_S
        ]
        members = gateway.peers.sample_members(N_BASELINE_MEMBERS, self.rng, self.now)
        return msgspec.structs.replace(
            message, parts=tuple(recent), members=members, outside_parts=(), domain_loads=()
        )

    def _deliver(self, number, hosts, message):
        data = msgspec.msgpack.encode(message)
        domain = self.gateways[number].settings.domain
        received = msgspec.msgpack.decode(data, type=GossipMessage)
        for host in sorted(hosts):
            gateway = self.gateways[self.by_host[host]]
            other = gateway.settings.domain
            path = "within" if other == domain else "between"
            self.n_bytes[path] += len(data)
            for name in message.__struct_fields__:
                size = len(msgspec.msgpack.encode(getattr(message, name)))
                self.largest[name] = max(size, self.largest.get(name, 0))
            is_cut = domain != other and self.cut_domain in (domain, other)
            if not is_cut and self.rng.random() >= self.loss:
                gateway.peers.update_peer(received, self.now)
                gateway.gossip.merge(received, self.now)

    def _copy_tables(self, number):
        """Let a gateway copy the operators' table from a peer that is ahead, as far as reachable.

        The transfer takes at most the rest of a round.
        """
        gateway = self.gateways[number]
        handler = gateway.operator_handler
        own = handler.replica.last_change
        for host in gateway.peers.list_hosts_ahead(handler.table, own, self.now):
            source = self.gateways[self.by_host[host]]
            domains = {source.settings.domain, gateway.settings.domain}
            if len(domains) == 1 or self.cut_domain not in domains:
                write_change(gateway, source.operator_handler.replica.last_change.version)

    def find_load_errors(self):
        """Return by how many requests each gateway's view of all loads differs from the truth."""
        truth = {}
        for gateway in self.gateways:
            for key, load in gateway.tables.loads.items():
                truth[key] = truth.get(key, 0) + load.n_inflight
        return [
            sum(
                abs(load.n_inflight + load.n_peer_inflight - truth[key])
                for key, load in gateway.tables.loads.items()
            )
            / sum(truth.values())
            for gateway in self.gateways
        ]

    def find_prompt_share(self, age_s):
        """Return the mean share of the gateways that know a prompt sent at least ``age_s`` ago."""
        known = [
            (MODEL, part_id) in gateway.tables.get_load(upstream_id).cached_parts
            for at, upstream_id, part_id in self.prompts
            if age_s <= self.now - at < age_s + 0.2
            for gateway in self.gateways
        ]
        return sum(known) / len(known)
