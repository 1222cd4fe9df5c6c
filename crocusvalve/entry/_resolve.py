"""Resolves the names in a caller's request to a row: class, cascade steps, deadline, digests."""

import msgspec
from msgspec import Struct

from crocusvalve.base import (
    ClassKind,
    MemberId,
    ModelRef,
    Priority,
    RequestId,
    SessionId,
    VersionRef,
)
from crocusvalve.config import (
    ClassConfig,
    CustomerView,
    DocumentView,
    ServiceConfig,
)
from crocusvalve.entry._parse import MAX_PREFIX_BYTES, CallerHeaders, ChatBody
from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.model import RequestRow
from crocusvalve.utils import compute_digest

__all__ = ["ResolvedModel", "list_models", "make_chat_row", "make_service_row", "resolve_model"]

STEP = "resolve"


class ResolvedModel(Struct, frozen=True):
    """Models to try, cheapest first; ``version`` is set if the caller specified one."""

    steps: tuple[ModelRef, ...]
    version: VersionRef = VersionRef("")
    cascade: str = ""


def _make_refusal(code: ErrorCode, message: str) -> RefusedError:
    return RefusedError(code, message, step=STEP)


def has_allowed_version(view: DocumentView, customer: CustomerView, model: ModelRef) -> bool:
    """Return whether a customer may use any version of a model."""
    cfg = view.models.get(model)
    if cfg is None:
        return False
    refs = (VersionRef(f"{model}@{name}") for name in cfg.versions)
    return any(view.is_allowed(customer.customer_id, ref) for ref in refs)


def _qualify_model(view: DocumentView, customer: CustomerView, name: str) -> ModelRef | None:
    for candidate in (name, f"{customer.member}/{name}"):
        if candidate in view.models:
            return ModelRef(candidate)
    return None


def resolve_model(view: DocumentView, customer: CustomerView, name: str) -> ResolvedModel:
    """Resolve the name of a cascade, a model or a model with a version (``model@version``).

    Raises
    ------
    RefusedError
        ``UNKNOWN_MODEL``, ``MODEL_NOT_ALLOWED`` or ``VERSION_WITHDRAWN``. A model that exists but
        that the customer may not use is distinguished from an unknown one only if the model
        belongs to the customer's member or is shared with it.
    """
    section = view.document.members[customer.member]
    cascade = section.cascades.get(name)
    if cascade is not None:
        refs = [_qualify_model(view, customer, step) for step in cascade.steps]
        steps = tuple(ref for ref in refs if ref and has_allowed_version(view, customer, ref))
        if not steps:
            raise _make_refusal(
                ErrorCode.MODEL_NOT_ALLOWED, f"no model of cascade {name!r} is allowed"
            )
        return ResolvedModel(steps, cascade=name)
    base, _, version_name = name.partition("@")
    model = _qualify_model(view, customer, base)
    if model is None or not _is_visible(view, customer, model):
        raise _make_refusal(ErrorCode.UNKNOWN_MODEL, f"there is no model {name!r}")
    if not version_name:
        if not has_allowed_version(view, customer, model):
            raise _make_refusal(ErrorCode.MODEL_NOT_ALLOWED, f"model {name!r} is not allowed")
        return ResolvedModel((model,))
    version = VersionRef(f"{model}@{version_name}")
    if version not in view.versions:
        raise _make_refusal(ErrorCode.UNKNOWN_MODEL, f"there is no model {name!r}")
    if not view.is_allowed(customer.customer_id, version):
        raise _make_refusal(ErrorCode.MODEL_NOT_ALLOWED, f"model {name!r} is not allowed")
    if view.is_withdrawn(version):
        raise _make_refusal(ErrorCode.VERSION_WITHDRAWN, f"version {name!r} is withdrawn")
    return ResolvedModel((model,), version)


def _is_visible(view: DocumentView, customer: CustomerView, model: ModelRef) -> bool:
    owner = model.partition("/")[0]
    return owner == customer.member or customer.member in view.models[model].shared_with


def list_models(view: DocumentView, customer: CustomerView) -> list[str]:
    """Return the names that a customer may pass as ``model``: cascades, models and versions."""
    section = view.document.members[customer.member]
    names = []
    for model in sorted(view.models):
        if not has_allowed_version(view, customer, model):
            continue
        names.append(_strip_member_prefix(customer, model))
        for version in sorted(view.models[model].versions):
            ref = VersionRef(f"{model}@{version}")
            if view.is_allowed(customer.customer_id, ref) and not view.is_withdrawn(ref):
                names.append(_strip_member_prefix(customer, ref))
    for cascade in sorted(section.cascades):
        refs = [_qualify_model(view, customer, s) for s in section.cascades[cascade].steps]
        if any(ref and has_allowed_version(view, customer, ref) for ref in refs):
            names.append(cascade)
    return names


def _strip_member_prefix(customer: CustomerView, ref: str) -> str:
    prefix = f"{customer.member}/"
    return ref[len(prefix) :] if ref.startswith(prefix) else ref


def find_class(view: DocumentView, customer: CustomerView, name: str) -> tuple[str, ClassConfig]:
    """Return the class that a request specifies, or the customer's first one.

    Raises
    ------
    RefusedError
        ``UNKNOWN_CLASS`` if the customer does not have the class.
    """
    chosen = name or customer.cfg.classes[0]
    cfg = view.get_class_config(customer.member, chosen)
    if cfg is None or chosen not in customer.cfg.classes:
        listed = ", ".join(customer.cfg.classes)
        raise _make_refusal(ErrorCode.UNKNOWN_CLASS, f"class {chosen!r} is not one of: {listed}")
    return chosen, cfg


def _compute_deadline_s(cfg: ClassConfig, headers: CallerHeaders) -> float:
    if headers.deadline_s is None:
        return cfg.deadline_s
    if headers.deadline_s > cfg.deadline_s:
        message = f"the deadline must be in [1, {int(cfg.deadline_s * 1000)}] ms for this class"
        raise _make_refusal(ErrorCode.BAD_DEADLINE, message)
    return headers.deadline_s


def _check_idempotency_key(cfg: ClassConfig, headers: CallerHeaders) -> None:
    if cfg.kind is ClassKind.ORDER and not headers.idempotency_key:
        message = "an order requires the header Idempotency-Key"
        raise _make_refusal(ErrorCode.MISSING_IDEMPOTENCY_KEY, message)


def make_chat_row(
    view: DocumentView,
    customer: CustomerView,
    body: ChatBody,
    raw: bytes,
    headers: CallerHeaders,
    request_id: RequestId,
    now: float,
) -> RequestRow:
    """Make the row of a chat request.

    Raises
    ------
    RefusedError
        If the class, model, deadline or idempotency key is invalid.
    """
    class_name, cfg = find_class(view, customer, headers.class_name)
    _check_idempotency_key(cfg, headers)
    resolved = resolve_model(view, customer, body.model or cfg.default_model)
    messages = msgspec.json.encode(body.messages)
    return RequestRow(
        request_id=request_id,
        customer_id=customer.customer_id,
        member=customer.member,
        class_name=class_name,
        kind=cfg.kind,
        priority=cfg.priority,
        arrived_at=now,
        deadline=now + _compute_deadline_s(cfg, headers),
        body=raw,
        digest=compute_digest(messages),
        prefix_digest=compute_digest(messages[:MAX_PREFIX_BYTES]),
        steps=resolved.steps,
        cascade=resolved.cascade,
        pinned_version=resolved.version,
        session_id=SessionId(""),
        idempotency_key=headers.idempotency_key,
        is_repeatable=cfg.kind is not ClassKind.ORDER,
        is_stream=body.stream,
        max_attempts=cfg.max_attempts,
        quality_target=customer.cfg.quality_target,
    )


def find_service(
    view: DocumentView, customer: CustomerView, name: str
) -> tuple[str, ServiceConfig]:
    """Return the qualified name and the configuration of a plain service of the customer's member.

    Raises
    ------
    RefusedError
        ``UNKNOWN_SERVICE`` if the member has no service of that name.
    """
    cfg = view.document.members[customer.member].services.get(name)
    if cfg is None:
        raise _make_refusal(ErrorCode.UNKNOWN_SERVICE, f"there is no service {name!r}")
    return f"{customer.member}/{name}", cfg


def _find_service_class(
    view: DocumentView,
    customer: CustomerView,
    name: str,
    service_cfg: ServiceConfig,
    headers: CallerHeaders,
) -> tuple[str, ClassConfig]:
    """Return the class of a call; a service that is configured with a class accepts no other."""
    requested_class = headers.class_name
    if service_cfg.class_name and requested_class not in ("", service_cfg.class_name):
        message = f"service {name!r} accepts only class {service_cfg.class_name!r}"
        raise _make_refusal(ErrorCode.UNKNOWN_CLASS, message)
    return find_class(view, customer, requested_class or service_cfg.class_name)


def make_service_row(
    view: DocumentView,
    customer: CustomerView,
    service_name: str,
    method: str,
    path: str,
    raw: bytes,
    headers: CallerHeaders,
    request_id: RequestId,
    now: float,
) -> RequestRow:
    """Make the row of a call to a plain service.

    Raises
    ------
    RefusedError
        If the service, class, deadline or idempotency key is invalid.
    """
    service, service_cfg = find_service(view, customer, service_name)
    class_name, cfg = _find_service_class(view, customer, service_name, service_cfg, headers)
    is_repeatable = service_cfg.repeatable and cfg.kind is not ClassKind.ORDER
    if not is_repeatable and not headers.idempotency_key:
        message = (
            f"service {service_name!r} is not repeatable: it requires the header Idempotency-Key"
        )
        raise _make_refusal(ErrorCode.MISSING_IDEMPOTENCY_KEY, message)
    return RequestRow(
        request_id=request_id,
        customer_id=customer.customer_id,
        member=MemberId(customer.member),
        class_name=class_name,
        kind=cfg.kind if is_repeatable else ClassKind.ORDER,
        priority=Priority(cfg.priority),
        arrived_at=now,
        deadline=now + _compute_deadline_s(cfg, headers),
        body=raw,
        digest=compute_digest(service.encode(), method.encode(), path.encode(), raw),
        service=service,
        method=method,
        path=path,
        idempotency_key=headers.idempotency_key,
        is_repeatable=is_repeatable,
        max_attempts=cfg.max_attempts,
    )
