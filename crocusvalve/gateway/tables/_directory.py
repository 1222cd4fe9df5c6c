"""Lookup of routes and customers in one version of the configuration."""

from crocusvalve.gateway.base import CallerRequest, Configuration, Customer, Route

__all__ = ["Directory"]


class Directory:
    """Finds the route and the customer of a request.

    Parameters
    ----------
    config : Configuration
        The version of the configuration to look up in.
    """

    def __init__(self, config: Configuration):
        self.config = config
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path, or None."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_customer(self, req: CallerRequest) -> Customer | None:
        """Return the customer that a request's key belongs to, or None."""
        customers = self.config.customers
        return None if customers is None or req.key is None else customers.get(req.key)

    def is_allowed(self, route: Route, customer: Customer | None) -> bool:
        """Return whether a customer, or a caller without one (None), may use a route."""
        return route.is_public or self.config.customers is None or customer is not None
