"""Sessions that keep the old version in the first half of an upgrade."""

from collections import OrderedDict
from collections.abc import Iterable

from msgspec import Struct, field

from crocusvalve.gateway.base import ServiceName, VersionName
from crocusvalve.store.base import StorePosition
from crocusvalve.utils import hash_to_unit

__all__ = ["SessionPins", "compute_session_point"]

#: Recent sessions that are remembered, and pinned ones of a service in a report.
MAX_SESSIONS = 20_000
MAX_REPORTED_PINS = 256


def compute_session_point(version: VersionName, session: str) -> float:
    """Return a session's point in ``[0, 1)``; those below an upgrade's share get its version."""
    return hash_to_unit(f"{version}|{session}")


class _Pins(Struct):
    """Points of the pinned sessions of one upgrade, in the order in which they were learned."""

    position: StorePosition
    points: dict[float, None] = field(default_factory=dict)


class SessionPins:
    """Sessions that began before an upgrade, so that its first half must not move them.

    Each gateway pins the sessions that it has served shortly before the upgrade's start, and
    learns those of its peers by gossip. Only sessions within the upgrade's first share matter.

    Parameters
    ----------
    session_s : float
        Requests of a session that follow each other within this time, in seconds, belong together.
    """

    def __init__(self, session_s: float):
        self.session_s = session_s
        self._served_at: OrderedDict[tuple[ServiceName, str], float] = OrderedDict()
        self._pins: dict[ServiceName, _Pins] = {}

    def record_session(self, service: ServiceName, session: str, now: float) -> None:
        """Record that a request of a session was served by the version in use."""
        key = (service, session)
        self._served_at[key] = now
        self._served_at.move_to_end(key)
        while len(self._served_at) > MAX_SESSIONS or self._is_first_old(now):
            self._served_at.popitem(last=False)

    def _is_first_old(self, now: float) -> bool:
        return next(iter(self._served_at.values())) < now - self.session_s

    def begin(
        self,
        service: ServiceName,
        position: StorePosition,
        version: VersionName,
        share: float,
        now: float,
    ) -> None:
        """Pin the recent sessions within the first share of an upgrade, once for each upgrade.

        Parameters
        ----------
        position : StorePosition
            Position of the upgrade's order, which identifies the upgrade.
        """
        pins = self._pins.get(service)
        if pins is not None and pins.position == position:
            return
        pins = self._pins[service] = _Pins(position)
        for (of_service, session), served_at in self._served_at.items():
            if of_service == service and served_at >= now - self.session_s:
                point = compute_session_point(version, session)
                if point < share:
                    pins.points[point] = None

    def is_pinned(self, service: ServiceName, point: float) -> bool:
        """Return whether a session keeps the old version in the upgrade in progress."""
        pins = self._pins.get(service)
        return pins is not None and point in pins.points

    def list_points(self, service: ServiceName) -> tuple[float, ...]:
        """Return the points of the pinned sessions of a service, for gossip."""
        pins = self._pins.get(service)
        return tuple(pins.points)[:MAX_REPORTED_PINS] if pins is not None else ()

    def merge(self, service: ServiceName, points: Iterable[float]) -> None:
        """Pin the sessions that a peer has reported for the upgrade in progress."""
        pins = self._pins.get(service)
        if pins is not None:
            pins.points.update(dict.fromkeys(points))
