"""Channels of an entry to the agents, and the streams that run on them."""

import ssl

import trio

from crocusvalve.rpc import AgentClient

__all__ = ["AgentPool"]


class AgentPool:
    """One client an agent's address; streams on it are broken off when the agent falls silent.

    Parameters
    ----------
    token : str
        Internal key.
    tls : ssl.SSLContext or None
        Client context of internal connections.
    """

    def __init__(self, *, token: str = "", tls: ssl.SSLContext | None = None):
        self.token = token
        self.tls = tls
        self._clients: dict[str, AgentClient] = {}
        self._streams: dict[str, set[trio.CancelScope]] = {}

    def get(self, address: str) -> AgentClient:
        """Return the client of an address."""
        client = self._clients.get(address)
        if client is None:
            client = AgentClient(address, token=self.token, tls=self.tls)
            self._clients[address] = client
        return client

    def open_scope(self, address: str) -> trio.CancelScope:
        """Return a scope for a stream, cancelled when the agent falls silent."""
        scope = trio.CancelScope()
        self._streams.setdefault(address, set()).add(scope)
        return scope

    def close_scope(self, address: str, scope: trio.CancelScope) -> None:
        """Forget the scope of a stream that has ended."""
        self._streams[address].discard(scope)

    def cancel_streams(self, address: str) -> None:
        """Break off all streams of an agent that has fallen silent."""
        for scope in list(self._streams.get(address, ())):
            scope.cancel()

    def close_unused_clients(self, addresses: set[str]) -> None:
        """Close the clients of agents that are no longer needed and run no stream."""
        for address in list(self._clients):
            if address not in addresses and not self._streams.get(address):
                self._clients.pop(address).close()
                self._streams.pop(address, None)

    def close(self) -> None:
        """Close all clients."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()
