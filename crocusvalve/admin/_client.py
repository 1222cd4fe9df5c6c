"""Client of the operators' API."""

import ssl
from collections.abc import Sequence
from typing import Any, TypeVar

import httpx
import msgspec

from crocusvalve.admin import _messages as msg
from crocusvalve.admin._errors import decode_error
from crocusvalve.base import DomainState
from crocusvalve.config import RolloutStart
from crocusvalve.exceptions import CrocusvalveError, ErrorCode
from crocusvalve.utils import decode_json

__all__ = ["AdminClient", "UnreachableError"]

TIMEOUT_S = 10.0

T = TypeVar("T")


class UnreachableError(CrocusvalveError):
    """No entry answered; ``maybe_applied`` is true if the request may still have taken effect."""

    def __init__(self, message: str, *, peer: str, maybe_applied: bool = False):
        super().__init__(ErrorCode.NOT_READY, message, step="connect", peer=peer)
        self.maybe_applied = maybe_applied


class AdminClient:
    """Sends each request to the first entry that accepts a connection.

    Parameters
    ----------
    urls : sequence of str
        Base URLs of entries, in the order in which they are tried.
    key : str
        The operator's key.
    timeout_s : float
        Timeout of each step of a request (connect, send, receive), in seconds.
    tls : ssl.SSLContext or None
        Context for https; if None, the certificate authorities of the system are trusted.
    transport : httpx.AsyncBaseTransport or None
        Transport that replaces the network, for tests.
    """

    def __init__(
        self,
        urls: Sequence[str],
        key: str,
        *,
        timeout_s: float = TIMEOUT_S,
        tls: ssl.SSLContext | None = None,
        transport: httpx.AsyncBaseTransport | None = None,
    ):
        self.urls = tuple(url.rstrip("/") for url in urls)
        self._http = httpx.AsyncClient(
            headers={"Authorization": f"Bearer {key}"},
            timeout=timeout_s,
            verify=tls if tls is not None else True,
            transport=transport,
            trust_env=False,
        )

    async def __aenter__(self) -> "AdminClient":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._http.aclose()

    async def get_config(self) -> msg.ConfigReply:
        """Return the part of the document in force that the operator's member may see."""
        return await self._call("GET", "config", msg.ConfigReply)

    async def check_config(self, change: msg.ConfigChange) -> msg.PlanReply:
        """Validate a document and return the changes that it would make."""
        return await self._call("POST", "config/check", msg.PlanReply, change)

    async def put_config(self, change: msg.ConfigChange) -> msg.PlanReply:
        """Put a document in force and return the changes made."""
        return await self._call("PUT", "config", msg.PlanReply, change)

    async def get_history(self, n: int) -> msg.HistoryReply:
        """Return the last ``n`` revisions, newest first."""
        return await self._call("GET", "config/history", msg.HistoryReply, params={"n": n})

    async def set_domain(self, domain: str, state: DomainState) -> msg.Accepted:
        """Take a failure domain out of service or back into service."""
        return await self._call("PUT", f"domains/{domain}", msg.Accepted, msg.DomainChange(state))

    async def get_rollouts(self) -> msg.RolloutsReply:
        """Return the roll-outs of the member's models."""
        return await self._call("GET", "rollouts", msg.RolloutsReply)

    async def start_rollout(self, start: RolloutStart) -> msg.Accepted:
        """Start a roll-out."""
        return await self._call("POST", "rollouts", msg.Accepted, start)

    async def withdraw(self, version: str) -> msg.Accepted:
        """Withdraw a version, ``model@version``."""
        return await self._call("POST", "withdrawals", msg.Accepted, msg.WithdrawRequest(version))

    async def get_usage(self, since: float | None, until: float | None) -> msg.UsageReply:
        """Return the usage in ``[since, until)``, Unix time in seconds; by default the last day."""
        interval = {"since": since, "until": until}
        params = {name: value for name, value in interval.items() if value is not None}
        return await self._call("GET", "usage", msg.UsageReply, params=params)

    async def get_status(self) -> msg.StatusReport:
        """Return the status of the entry that answers."""
        return await self._call("GET", "status", msg.StatusReport)

    async def _call(
        self,
        method: str,
        path: str,
        reply_type: type[T],
        body: msgspec.Struct | None = None,
        *,
        params: dict[str, Any] | None = None,
    ) -> T:
        content = None if body is None else msgspec.json.encode(body)
        for url in self.urls:
            target = f"{url}/admin/v1/{path}"
            try:
                response = await self._http.request(method, target, content=content, params=params)
            except (httpx.ConnectError, httpx.ConnectTimeout):
                continue
            except httpx.TransportError as exc:
                message = f"no answer ({type(exc).__name__})"
                is_change = method != "GET"
                raise UnreachableError(message, peer=url, maybe_applied=is_change) from exc
            return self._decode_response(response, reply_type, url)
        raise UnreachableError("no entry accepts connections", peer=", ".join(self.urls))

    @staticmethod
    def _decode_response(response: httpx.Response, reply_type: type[T], url: str) -> T:
        if response.status_code != httpx.codes.OK:
            raise decode_error(response.content, response.status_code, url)
        try:
            return decode_json(response.content, reply_type)
        except msgspec.MsgspecError as exc:
            message = "the entry's answer could not be decoded"
            raise CrocusvalveError(ErrorCode.INTERNAL, message, step="admin", peer=url) from exc
