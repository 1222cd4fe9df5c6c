"""Configuration document: its types, parsing, validation, differences and deltas."""

from crocusvalve.config._addresses import is_http_url, is_socket_address
from crocusvalve.config._author import (
    check_author,
    check_change,
    compute_section_digest,
    filter_document,
    merge_section,
)
from crocusvalve.config._check import check_document
from crocusvalve.config._delta import (
    apply_delta,
    compute_document_digest,
    decode_document,
    encode_document,
    make_delta,
)
from crocusvalve.config._diff import Change, diff_documents
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
from crocusvalve.config._edit import set_current_version, set_domain_state, set_version_state
from crocusvalve.config._format import format_document
from crocusvalve.config._parse import parse_document, read_document
from crocusvalve.config._problems import Problem, show_value
from crocusvalve.config._promote import promote_section
from crocusvalve.config._ranges import NumberRange, list_value_problems
from crocusvalve.config._reader import StructReader, parse_toml
from crocusvalve.config._rollout_edit import RolloutStart, start_rollout, withdraw_version
from crocusvalve.config._view import CustomerView, DocumentView, UpstreamView

__all__ = [
    "CascadeConfig",
    "Change",
    "ClassConfig",
    "CustomerConfig",
    "CustomerView",
    "Document",
    "DocumentView",
    "DomainConfig",
    "MemberConfig",
    "ModelConfig",
    "NumberRange",
    "OperatorConfig",
    "PolicyConfig",
    "Problem",
    "RolloutConfig",
    "RolloutStart",
    "ServiceConfig",
    "StructReader",
    "UpstreamConfig",
    "UpstreamView",
    "VersionConfig",
    "apply_delta",
    "check_author",
    "check_change",
    "check_document",
    "compute_document_digest",
    "compute_section_digest",
    "decode_document",
    "diff_documents",
    "encode_document",
    "filter_document",
    "format_document",
    "is_http_url",
    "is_socket_address",
    "list_value_problems",
    "make_delta",
    "merge_section",
    "parse_document",
    "parse_toml",
    "promote_section",
    "read_document",
    "set_current_version",
    "set_domain_state",
    "set_version_state",
    "show_value",
    "start_rollout",
    "withdraw_version",
]
