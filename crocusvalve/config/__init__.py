"""Configuration document: typed form, checks, differences and deltas."""

from crocusvalve.config._delta import (
    apply_delta,
    compute_document_digest,
    decode_document,
    encode_document,
    make_delta,
)
from crocusvalve.config._document import (
    CascadeConfig,
    ClassConfig,
    CustomerConfig,
    Document,
    DomainConfig,
    MemberConfig,
    ModelConfig,
    OperatorConfig,
    PolicyConfig,
    RolloutConfig,
    ServiceConfig,
    UpstreamConfig,
    VersionConfig,
)
from crocusvalve.config._view import CustomerView, DocumentView, UpstreamView

__all__ = [
    "CascadeConfig",
    "ClassConfig",
    "CustomerConfig",
    "CustomerView",
    "Document",
    "DocumentView",
    "DomainConfig",
    "MemberConfig",
    "ModelConfig",
    "OperatorConfig",
    "PolicyConfig",
    "RolloutConfig",
    "ServiceConfig",
    "UpstreamConfig",
    "UpstreamView",
    "VersionConfig",
    "apply_delta",
    "compute_document_digest",
    "decode_document",
    "encode_document",
    "make_delta",
]
