"""Configuration document: typed form, checks, differences and deltas."""

from crocusvalve.config._check import check_document
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
from crocusvalve.config._parse import parse_document
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
    "check_document",
    "parse_document",
]
