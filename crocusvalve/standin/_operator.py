"""Stand-in for the operators and the platform: writes their records and gateway settings."""

from collections.abc import Sequence

from crocusvalve.standin._store import StandinStore

__all__ = ["StandinOperator", "make_config", "make_order", "make_route", "make_settings"]

SETTINGS = """
nodeName = "{name}"
ip = "{host}"
zone = "{domain}"
internalPorts = [{peer_port}, {peer_port}]
heartbeatMs = 1200
seeds = [{seeds}]
[listen]
front = "{host}:{front_port}"
ready = "{host}:{ready_port}"
[bounds]
graceS = {grace_s:.0f}
drainMs = {drain_ms:.0f}
[platform]
address = "{store}"
"""


def make_settings(*, seeds: Sequence[str], drain_s: float, **fields: str | float) -> str:
    """Return the settings file of a gateway.

    Parameters
    ----------
    seeds : sequence of str
        HOST:PORT of other gateways.
    drain_s : float
        Time that the gateway has to drain, in seconds.
    fields : str or float
        Values of the other placeholders of ``SETTINGS``.
    """
    quoted = ", ".join(f'"{seed}"' for seed in seeds)
    return SETTINGS.format(seeds=quoted, drain_ms=drain_s * 1000, **fields)


def make_route(name: str, prefix: str, kind: str, **changes: object) -> dict:
    """Return a route of a configuration; ``changes`` replace or add fields."""
    return {
        "name": name,
        "host": "api.example",
        "prefix": prefix,
        "routeKind": kind,
        "timeoutMs": 10000,
        "goalMs": 10000,
    } | changes


def make_config(version: int, routes: list[dict], services: list[dict], **changes: object) -> dict:
    """Return a configuration; ``changes`` add fields such as limits and customers."""
    return {"version": version, "routes": routes, "services": services} | changes


def make_order(service: str, version: str, duration_s: float) -> dict:
    """Return an operator's record that orders the upgrade of a service."""
    return {"service": service, "target": version, "durationS": duration_s}


class StandinOperator:
    """Writes the records of operators and upstreams to a store.

    Parameters
    ----------
    store : StandinStore
        Store that the gateways read.
    """

    def __init__(self, store: StandinStore):
        self.store = store

    def put_config(self, config: dict) -> None:
        """Write the configuration."""
        self.store.put("op", "config", config)

    def evacuate(self, domain: str, is_evacuated: bool) -> None:
        """Evacuate a failure domain, or end its evacuation."""
        if is_evacuated:
            self.store.put("op", f"evacuate/{domain}", {})
        else:
            self.store.drop("op", f"evacuate/{domain}")

    def order_upgrade(self, service: str, version: str, duration_s: float) -> None:
        """Write an order to upgrade a service within ``duration_s`` seconds."""
        self.store.put("op", f"rollout/{service}", make_order(service, version, duration_s))

    def get_upgrade(self, service: str) -> tuple[str, str]:
        """Return the version and state of a service's upgrade, as the gateways wrote them."""
        status = self.store.get("status", f"rollout/{service}") or {}
        return status.get("target", ""), status.get("state", "")

    def register(self, upstream_id: str, entry: dict) -> None:
        """Write the entry of an upstream."""
        self.store.put("servers", upstream_id, entry)

    def drop(self, upstream_id: str) -> None:
        """Delete the entry of an upstream."""
        self.store.drop("servers", upstream_id)
