"""Parts of prompts that crash the upstreams that begin to answer them."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from msgspec import Struct, field

from crocusvalve.gateway.base import PrefixPart
from crocusvalve.gateway.shared._report_queue import ReportQueue

__all__ = ["CrashingPartRegistry", "SoundPart", "SuspectPart", "get_suspect_ids"]

#: Distinct crashes, and distinct requests lost in them, after which a part is banned. A single
#: request may have been open on several upstreams that crashed under another one.
MIN_CRASHES = 3
MIN_REQUESTS = 2
#: Crashes within this time of each other count once: a failure domain that goes down ends several
#: upstreams at the same moment, while each request with a crashing part ends one after the other.
MIN_SPACING_S = 0.25
#: A crash within this time after an answer went on isn't held against the parts of its prompt.
SOUND_PERIOD_S = 10.0
#: A crash is held against a part for this long. Without a crash the part may be tried again then.
CRASH_EXPIRY_S = 600.0
#: Parts that are remembered, and crashes and requests that are remembered for each.
MAX_PARTS = 4096
MAX_CRASHES = 16
MAX_REQUESTS = 32
#: Crashes of a part in one report; enough for a ban though some are close to each other.
MAX_REPORTED_CRASHES = 8
#: A part that other prompts share is in at least as many crashes as the part that causes them. So a
#: part is banned in place of another one if at least ``NESTED_FRACTION`` of its lost requests have
#: the other one too, it has fewer of them, and at most ``MAX_MISSED_CRASHES`` fewer crashes: the
#: check of an upstream may miss a request.
NESTED_FRACTION = 0.9
MAX_MISSED_CRASHES = 1
#: Shortest time in seconds from the last crash with a banned part to the first probe of it, and the
#: same as a multiple of the time over which crashes have been seen since the ban. The second makes
#: the pauses between probes of a part that does crash upstreams three times as long each time.
MIN_PROBE_DELAY_S = 2.0
PROBE_DELAY_FACTOR = 2.0
#: Other parts of a probe have at most this fraction of the banned part's crashes, so that a crash
#: of the probe says something about the banned part.
MAX_COMPANION_FRACTION = 0.5
#: Length of a request's digest in the registry, which only has to tell a few requests apart.
REQUEST_ID_LENGTH = 8


class SuspectPart(Struct, frozen=True, array_like=True):
    """Report of a part: age of each crash in milliseconds by incident, and some lost requests."""

    part_id: str
    crash_ages_ms: dict[str, int]
    requests: tuple[str, ...]


class SoundPart(Struct, frozen=True, array_like=True):
    """Report of a part whose prompts are answered, and the time since then in milliseconds."""

    part_id: str
    age_ms: int


class _Evidence(Struct):
    """Crashes in which requests with a part were lost: local time by incident; and the requests."""

    crashed_at: dict[str, float] = field(default_factory=dict)
    requests: set[str] = field(default_factory=set)


def get_suspect_ids(parts: Sequence[PrefixPart]) -> list[str]:
    """Return the ids of the parts that other prompts may share, which are all but the last."""
    return [part.part_id for part in parts[:-1]]


class CrashingPartRegistry:
    """Evidence of which parts of prompts crash upstreams.

    Load that it answers: requests with one part come at all gateways, no two alike, and each one
    crashes every upstream that begins to answer it. A crash also loses the sound requests that were
    open there. A part is banned if enough crashes are left for it after those that another banned
    part explains; a part with an answer that went on recently isn't suspected.

    An incident identifies one crash: the upstream and the start of the process that crashed.
    """

    def __init__(self) -> None:
        self._evidence: OrderedDict[str, _Evidence] = OrderedDict()
        self._sound_at: OrderedDict[str, float] = OrderedDict()
        #: Parts that were in a crash, as far as any gateway has reported.
        self._questioned: OrderedDict[str, None] = OrderedDict()
        self._banned: frozenset[str] = frozenset()
        self._ban_reports: ReportQueue[str] = ReportQueue()

    def record_crash(
        self, part_ids: Iterable[str], incident: str, request_id: str, now: float
    ) -> frozenset[str]:
        """Record that a request was lost in a crash before its answer went on.

        Returns
        -------
        frozenset of str
            Parts that are newly banned.
        """
        for part_id in part_ids:
            self._add_crash(part_id, incident, (request_id[:REQUEST_ID_LENGTH],), now)
        return self._update_banned(now)

    def record_answer(self, part_ids: Iterable[str], now: float) -> None:
        """Record that an answer went on, so that none of the parts of its prompt causes crashes."""
        is_changed = False
        for part_id in part_ids:
            self._sound_at[part_id] = now
            self._sound_at.move_to_end(part_id)
            is_changed |= self._evidence.pop(part_id, None) is not None
        _evict(self._sound_at)
        if is_changed:
            self._update_banned(now)

    def find_banned(self, part_ids: Iterable[str]) -> str | None:
        """Return a banned part of a prompt, or None."""
        if not self._banned:
            return None
        return next((part_id for part_id in part_ids if part_id in self._banned), None)

    def compute_probe_period(self, part_id: str, now: float) -> int | None:
        """Return the number of the period in which one request may test a banned part.

        Periods are as long as the pause before the first one and are the same at all gateways that
        know the same crashes. None within that pause.
        """
        crashed_at = sorted(self._evidence[part_id].crashed_at.values())
        span_s = crashed_at[-1] - crashed_at[min(len(crashed_at), MIN_CRASHES) - 1]
        delay_s = max(MIN_PROBE_DELAY_S, PROBE_DELAY_FACTOR * span_s)
        n_periods = int((now - crashed_at[-1]) // delay_s)
        return n_periods - 1 if n_periods >= 1 else None

    def are_unsuspected(self, part_ids: Iterable[str], banned_id: str) -> bool:
        """Return whether parts were in few of the crashes that a banned part was in."""
        limit = MAX_COMPANION_FRACTION * len(self._evidence[banned_id].crashed_at)
        counts = (
            len(self._evidence[part_id].crashed_at) if part_id in self._evidence else 0
            for part_id in part_ids
        )
        return all(count <= limit for count in counts)

    def list_suspects(self, n_parts: int, now: float) -> tuple[SuspectPart, ...]:
        """Return banned parts and those with the most recent crashes, for gossip.

        If there are many banned parts they are returned in turn, new ones first, and leave half of
        the places, since a part is banned by crashes that different gateways have seen.
        """
        newest = [part_id for part_id in reversed(self._evidence) if part_id not in self._banned]
        n_banned = max(n_parts // 2, n_parts - len(newest))
        chosen = [*self._ban_reports.choose(n_banned, is_complete=True), *newest]
        return tuple(self._make_report(part_id, now) for part_id in chosen[:n_parts])

    def _make_report(self, part_id: str, now: float) -> SuspectPart:
        evidence = self._evidence[part_id]
        newest = list(evidence.crashed_at.items())[-MAX_REPORTED_CRASHES:]
        ages_ms = {incident: _compute_age_ms(at, now) for incident, at in newest}
        return SuspectPart(part_id, ages_ms, tuple(evidence.requests))

    def list_sound(self, n_parts: int, now: float) -> tuple[SoundPart, ...]:
        """Return the parts that were in a crash and in an answer that went on, for gossip."""
        sound = [
            SoundPart(part_id, _compute_age_ms(at, now))
            for part_id, at in self._sound_at.items()
            if part_id in self._questioned and now - at <= SOUND_PERIOD_S
        ]
        return tuple(sound[-n_parts:])

    def merge(
        self, suspects: Iterable[SuspectPart], sound: Iterable[SoundPart], now: float
    ) -> frozenset[str]:
        """Merge the reports of a peer; return the parts that are newly banned."""
        for report in sound:
            sound_at = now - max(0, report.age_ms) / 1000
            if sound_at > self._sound_at.get(report.part_id, float("-inf")):
                self._sound_at[report.part_id] = sound_at
                self._question(report.part_id)
                self._drop_refuted(report.part_id)
        _evict(self._sound_at)
        for report in suspects:
            for incident, age_ms in report.crash_ages_ms.items():
                crashed_at = now - max(0, age_ms) / 1000
                self._add_crash(report.part_id, incident, report.requests, crashed_at)
        return self._update_banned(now)

    def _add_crash(
        self, part_id: str, incident: str, requests: Iterable[str], crashed_at: float
    ) -> None:
        self._question(part_id)
        if crashed_at <= self._sound_at.get(part_id, float("-inf")) + SOUND_PERIOD_S:
            return
        evidence = self._evidence.setdefault(part_id, _Evidence())
        if incident not in evidence.crashed_at:
            self._evidence.move_to_end(part_id)
            if len(evidence.crashed_at) >= MAX_CRASHES:
                # The pause before the next probe depends on the latest crash.
                newest = max(evidence.crashed_at, key=evidence.crashed_at.__getitem__)
                if evidence.crashed_at[newest] >= crashed_at:
                    return
                del evidence.crashed_at[newest]
            evidence.crashed_at[incident] = crashed_at
        for request_id in requests:
            if len(evidence.requests) < MAX_REQUESTS:
                evidence.requests.add(request_id)
        _evict(self._evidence)

    def _question(self, part_id: str) -> None:
        self._questioned[part_id] = None
        self._questioned.move_to_end(part_id)
        _evict(self._questioned)

    def _drop_refuted(self, part_id: str) -> None:
        """Drop the crashes of a part that happened before, or shortly after, it was sound."""
        evidence = self._evidence.get(part_id)
        if evidence is None:
            return
        until = self._sound_at[part_id] + SOUND_PERIOD_S
        evidence.crashed_at = {key: at for key, at in evidence.crashed_at.items() if at > until}
        if not evidence.crashed_at:
            del self._evidence[part_id]

    def _update_banned(self, now: float) -> frozenset[str]:
        """Choose the fewest parts that explain the crashes; return those that are new."""
        since = now - CRASH_EXPIRY_S
        open_crashes = {
            part_id: {key: at for key, at in evidence.crashed_at.items() if at >= since}
            for part_id, evidence in self._evidence.items()
            if len(evidence.crashed_at) >= MIN_CRASHES and len(evidence.requests) >= MIN_REQUESTS
        }
        banned = set()
        while open_crashes:
            worst = self._choose_worst(open_crashes)
            if _count_separate(open_crashes[worst]) < MIN_CRASHES:
                break
            explained = open_crashes.pop(worst)
            banned.add(worst)
            open_crashes = {
                part_id: {key: at for key, at in crashes.items() if key not in explained}
                for part_id, crashes in open_crashes.items()
            }
        new = frozenset(banned - self._banned)
        for part_id in new:
            self._ban_reports.add(part_id)
        for part_id in self._banned - banned:
            self._ban_reports.discard(part_id)
        self._banned = frozenset(banned)
        return new

    def _choose_worst(self, open_crashes: dict[str, dict[str, float]]) -> str:
        """Return the part with the most crashes, or a nested one with nearly as many.

        Of parts with as many crashes it is the one with the fewest lost requests, since other
        prompts share the others.
        """

        def rank(part_id: str) -> tuple[int, int, int, str]:
            crashes, requests = open_crashes[part_id], self._evidence[part_id].requests
            return _count_separate(crashes), len(crashes), -len(requests), part_id

        worst = max(open_crashes, key=rank)
        n_near = len(open_crashes[worst]) - MAX_MISSED_CRASHES
        nested = [
            part_id
            for part_id, crashes in open_crashes.items()
            if len(crashes) >= n_near and self._is_nested(part_id, worst)
        ]
        # A document that sound prompts share has fewer lost requests than the crashing part.
        return max(
            nested, key=lambda part_id: self._rank_nested(part_id, open_crashes), default=worst
        )

    def _rank_nested(
        self, part_id: str, open_crashes: dict[str, dict[str, float]]
    ) -> tuple[int, int, str]:
        return len(open_crashes[part_id]), len(self._evidence[part_id].requests), part_id

    def _is_nested(self, part_id: str, other_id: str) -> bool:
        """Return whether a part's lost requests are mostly a part of those with another part."""
        requests, others = self._evidence[part_id].requests, self._evidence[other_id].requests
        n_common = len(requests & others)
        return len(requests) < len(others) and n_common >= NESTED_FRACTION * len(requests)


def _count_separate(crashed_at: dict[str, float]) -> int:
    """Return the number of crashes, counting those close to each other once."""
    n_separate = 0
    last_at = float("-inf")
    for at in sorted(crashed_at.values()):
        if at >= last_at + MIN_SPACING_S:
            n_separate += 1
            last_at = at
    return n_separate


def _compute_age_ms(at: float, now: float) -> int:
    return round((now - at) * 1000)


def _evict(parts: OrderedDict) -> None:
    while len(parts) > MAX_PARTS:
        parts.popitem(last=False)
