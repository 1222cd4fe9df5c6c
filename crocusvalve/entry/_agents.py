"""RPC clients of an entry for the agents, and the streams open on them."""

import ssl

import trio

from crocusvalve.rpc import AgentClient

__all__ = ["AgentPool"]


class AgentPool:
    """Holds one client per agent address, and cancels its streams if the agent stops responding.

    Parameters
    ----------
    token : str
        Internal key, shared by all processes of the environment.
    tls : ssl.SSLContext or None
        Client TLS context of internal connections; None for plain TCP.
    """

    def __init__(self, *, token: str = "", tls: ssl.SSLContext | None = None):
        self.token = token
        self.tls = tls
        self._clients: dict[str, AgentClient] = {}
        self._streams: dict[str, set[trio.CancelScope]] = {}

    def get(self, address: str) -> AgentClient:
        """Return the client of an address, created at first use."""
        client = self._clients.get(address)
        if client is None:
            client = AgentClient(address, token=self.token, tls=self.tls)
            self._clients[address] = client
        return client

    def open_scope(self, address: str) -> trio.CancelScope:
        """Return a cancel scope for a stream; ``cancel_streams`` cancels it."""
        scope = trio.CancelScope()
        self._streams.setdefault(address, set()).add(scope)
        return scope

    def close_scope(self, address: str, scope: trio.CancelScope) -> None:
        """Remove the scope of a stream that has ended."""
        self._streams[address].discard(scope)

    def cancel_streams(self, address: str) -> None:
        """Cancel all streams of an agent that has stopped responding."""
        for scope in list(self._streams.get(address, ())):
            scope.cancel()

    def close_unused_clients(self, addresses: set[str]) -> None:
        """Close the clients that have no open stream and whose address is not in ``addresses``."""
        for address in list(self._clients):
            if address not in addresses and not self._streams.get(address):
                self._clients.pop(address).close()
                self._streams.pop(address, None)

    def close(self) -> None:
        """Close all clients."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()
