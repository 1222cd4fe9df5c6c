"""Calls of the demo: one of each class for each member, over the callers' HTTP API."""

from collections.abc import AsyncIterator

import httpx
import trio
from msgspec import Struct

from crocusvalve.base import ClassKind, MemberId
from crocusvalve.config import CustomerConfig, Document, MemberConfig
from crocusvalve.demo._keys import make_customer_key

__all__ = ["DemoCall", "DemoRow", "list_calls", "make_call"]

PROMPT = "How do the readings of the last day look?"
CALL_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
HTTP_ACCEPTED = 202


class DemoCall(Struct, frozen=True):
    """A call to make.

    ``service`` is empty for a chat; an empty ``model`` means the default model of the class.
    """

    member: MemberId
    customer: str
    class_name: str
    kind: ClassKind
    service: str = ""
    model: str = ""


class DemoRow(Struct, kw_only=True):
    """Row of the demo's table for one call; latency in milliseconds, cost in currency units."""

    request: str
    customer: str
    class_name: str
    model: str
    version: str
    upstream: str
    attempts: str
    latency_ms: float
    cost: float
    status: int
    billed: bool = False

    @property
    def is_good(self) -> bool:
        """Whether the call was answered, and billed exactly once."""
        return self.status < 300 and self.billed


def list_calls(document: Document) -> list[DemoCall]:
    """Return one call for each class and each cascade of each member.

    Classes that no customer of the member may use are skipped.
    """
    calls = []
    for member, section in document.members.items():
        for class_name, cfg in section.classes.items():
            customer = _find_customer(section, class_name)
            if customer:
                service = _find_service(section, class_name)
                calls.append(DemoCall(member, customer, class_name, cfg.kind, service))
        for cascade in section.cascades:
            answer = _find_answer_class(section)
            customer = _find_customer(section, answer)
            if customer:
                kind = section.classes[answer].kind
                calls.append(DemoCall(member, customer, answer, kind, model=cascade))
    return calls


def _find_customer(section: MemberConfig, class_name: str) -> str:
    customers: dict[str, CustomerConfig] = section.customers
    return next((name for name, cfg in customers.items() if class_name in cfg.classes), "")


def _find_service(section: MemberConfig, class_name: str) -> str:
    services = section.services.items()
    return next((name for name, cfg in services if cfg.class_name == class_name), "")


def _find_answer_class(section: MemberConfig) -> str:
    classes = section.classes.items()
    return next((name for name, cfg in classes if cfg.kind is ClassKind.ANSWER), "")


async def make_call(client: httpx.AsyncClient, call: DemoCall, now_ms) -> DemoRow:
    """Make a call and return its row; a durable request is polled until it has ended.

    Parameters
    ----------
    client : httpx.AsyncClient
        Client of an entry.
    call : DemoCall
        Call to make.
    now_ms : callable
        Returns the current time in milliseconds.
    """
    key = make_customer_key(call.member, call.customer)
    headers = {
        "Authorization": f"Bearer {key}",
        "X-Crocusvalve-Class": call.class_name,
        "Idempotency-Key": f"demo-{call.class_name}-{call.model}",
    }
    started = now_ms()
    response = await _send(client, call, headers)
    async for polled in _poll(client, response, headers):
        response = polled
    return _make_row(call, response, now_ms() - started)


async def _send(
    client: httpx.AsyncClient, call: DemoCall, headers: dict[str, str]
) -> httpx.Response:
    if call.service:
        url = f"/services/{call.service}/demo"
        return await client.post(
            url, json={"note": PROMPT}, headers=headers, timeout=CALL_TIMEOUT_S
        )
    body = {"messages": [{"role": "user", "content": PROMPT}]}
    if call.model:
        body["model"] = call.model
    return await client.post(
        "/v1/chat/completions", json=body, headers=headers, timeout=CALL_TIMEOUT_S
    )


async def _poll(
    client: httpx.AsyncClient, response: httpx.Response, headers: dict[str, str]
) -> AsyncIterator[httpx.Response]:
    location = response.headers.get("Location", "")
    while location and response.status_code == HTTP_ACCEPTED:
        await trio.sleep(POLL_INTERVAL_S)
        response = await client.get(location, headers=headers)
        yield response


def _make_row(call: DemoCall, response: httpx.Response, latency_ms: float) -> DemoRow:
    headers = response.headers
    version = headers.get("X-Crocusvalve-Version", "")
    request_id = headers.get("X-Request-Id", "")
    if call.kind is ClassKind.DURABLE and response.status_code < 300:
        answer = response.json()
        version, request_id = answer.get("model", ""), answer.get("id", request_id)
    return DemoRow(
        request=request_id,
        customer=f"{call.member}/{call.customer}",
        class_name=call.class_name,
        model=call.model or version.partition("@")[0] or f"{call.member}/{call.service}",
        version=version.partition("@")[2],
        upstream=headers.get("X-Crocusvalve-Upstream", ""),
        attempts=headers.get("X-Crocusvalve-Attempts", ""),
        latency_ms=latency_ms,
        cost=float(headers.get("X-Crocusvalve-Cost", 0.0)),
        status=response.status_code,
    )
