"""Index of a document: owners of keys, versions a customer may use, upstreams of a version."""

from fnmatch import fnmatchcase

from msgspec import Struct

from crocusvalve.base import (
    CustomerId,
    DomainId,
    DomainState,
    MemberId,
    ModelRef,
    Revision,
    UpstreamId,
    VersionRef,
    VersionState,
)
from crocusvalve.config._document import (
    ClassConfig,
    CustomerConfig,
    Document,
    ModelConfig,
    UpstreamConfig,
    VersionConfig,
)

__all__ = ["CustomerView", "DocumentView", "UpstreamView", "get_model_ref", "qualify"]


def qualify(member: MemberId, name: str) -> str:
    """Return a local name as ``member/name``; a qualified name is returned unchanged."""
    return name if "/" in name else f"{member}/{name}"


def get_model_ref(version: VersionRef) -> ModelRef:
    """Return the model of a version reference, ``member/model`` of ``member/model@version``."""
    return ModelRef(version.partition("@")[0])


class CustomerView(Struct, frozen=True):
    """A customer's configuration with its qualified name and its member."""

    customer_id: CustomerId
    member: MemberId
    cfg: CustomerConfig


class UpstreamView(Struct, frozen=True):
    """An upstream's configuration with qualified names and the region of its failure domain."""

    upstream_id: UpstreamId
    member: MemberId
    domain: DomainId
    region: str
    serves: tuple[VersionRef, ...]
    cfg: UpstreamConfig


class DocumentView:
    """Read-only index of one revision of the document.

    Parameters
    ----------
    document : Document
        A valid document.
    revision : Revision
        Number of the revision.

    Attributes
    ----------
    customer_by_key : dict
        Customers by the SHA-256 of their key.
    operator_by_key : dict
        Members by the SHA-256 of the keys of their operators.
    upstreams_by_version : dict
        Upstreams that serve a version, in the order of the document.
    """

    def __init__(self, document: Document, revision: Revision):
        self.document = document
        self.revision = revision
        self.customers: dict[CustomerId, CustomerView] = {}
        self.customer_by_key: dict[str, CustomerView] = {}
        self.operator_by_key: dict[str, MemberId] = {}
        self.models: dict[ModelRef, ModelConfig] = {}
        self.versions: dict[VersionRef, VersionConfig] = {}
        self.upstreams: dict[UpstreamId, UpstreamView] = {}
        self.upstreams_by_version: dict[VersionRef, list[UpstreamView]] = {}
        self.domains: dict[DomainId, DomainState] = {}
        for member in document.members:
            self._index_member(MemberId(member))
        self._allowed: dict[tuple[CustomerId, VersionRef], bool] = {}

    def _index_member(self, member: MemberId) -> None:
        section = self.document.members[member]
        for operator in section.operators.values():
            self.operator_by_key[operator.key_sha256] = member
        for name, customer in section.customers.items():
            customer_id = CustomerId(f"{member}/{name}")
            view = CustomerView(customer_id, member, customer)
            self.customers[customer_id] = view
            self.customer_by_key[customer.key_sha256] = view
        for name, model in section.models.items():
            ref = ModelRef(f"{member}/{name}")
            self.models[ref] = model
            for version, version_cfg in model.versions.items():
                self.versions[VersionRef(f"{ref}@{version}")] = version_cfg
        for name, domain in section.domains.items():
            self.domains[DomainId(f"{member}/{name}")] = domain.state
        for name, upstream in section.upstreams.items():
            self._index_upstream(member, name, upstream)

    def _index_upstream(self, member: MemberId, name: str, cfg: UpstreamConfig) -> None:
        domain = DomainId(qualify(member, cfg.domain))
        owner, _, local = domain.partition("/")
        region = self.document.members[MemberId(owner)].domains[local].region
        serves = tuple(VersionRef(qualify(member, ref)) for ref in cfg.serves)
        upstream_id = UpstreamId(f"{member}/{name}")
        view = UpstreamView(upstream_id, member, domain, region, serves, cfg)
        self.upstreams[upstream_id] = view
        for version in serves:
            self.upstreams_by_version.setdefault(version, []).append(view)

    def is_allowed(self, customer_id: CustomerId, version: VersionRef) -> bool:
        """Return whether both the customer's patterns and the model's owner allow a version."""
        key = (customer_id, version)
        if key not in self._allowed:
            self._allowed[key] = self._compute_allowed(customer_id, version)
        return self._allowed[key]

    def _compute_allowed(self, customer_id: CustomerId, version: VersionRef) -> bool:
        customer = self.customers.get(customer_id)
        model = self.models.get(get_model_ref(version))
        if customer is None or model is None or version not in self.versions:
            return False
        owner = version.partition("/")[0]
        if owner != customer.member and customer.member not in model.shared_with:
            return False
        for pattern in customer.cfg.allowed:
            full = qualify(customer.member, pattern)
            if fnmatchcase(version, full if "@" in full else f"{full}@*"):
                return True
        return False

    def is_withdrawn(self, version: VersionRef) -> bool:
        """Return whether a version accepts no new work; true for an unknown version."""
        cfg = self.versions.get(version)
        return cfg is None or cfg.state is VersionState.WITHDRAWN

    def is_domain_out(self, domain: DomainId) -> bool:
        """Return whether a failure domain accepts no new work; true for an unknown domain."""
        return self.domains.get(domain) is not DomainState.IN

    def get_class_config(self, member: MemberId, name: str) -> ClassConfig | None:
        """Return the configuration of a member's class of requests, or None if there is none."""
        section = self.document.members.get(member)
        return section.classes.get(name) if section else None
