"""Allowed ranges of the numbers in a document, and limits on the size of a section.

The size of a section is limited so that no member's section slows down the processes of the other
members.
"""

from crocusvalve.config import _document as doc
from crocusvalve.config._ranges import NumberRange

__all__ = [
    "CASCADE_POLICIES",
    "MAX_ENTRIES",
    "MAX_MEMBERS",
    "NUMBER_RANGES",
    "ROLLOUT_POLICIES",
    "ROUTING_POLICIES",
]

ROUTING_POLICIES = ("expected_wait", "random", "round_robin", "least_in_flight")
CASCADE_POLICIES = ("quality", "costliest", "cheapest")
ROLLOUT_POLICIES = ("sequential", "fixed_share")

#: Maximum number of members in a document.
MAX_MEMBERS = 64
#: Maximum number of entries in each table of a section.
MAX_ENTRIES = {
    "operators": 256,
    "domains": 64,
    "models": 128,
    "upstreams": 4000,
    "services": 256,
    "customers": 2000,
    "classes": 64,
    "cascades": 128,
    "rollouts": 128,
}

#: Allowed ranges by type and field.
NUMBER_RANGES: dict[type, dict[str, NumberRange]] = {
    doc.VersionConfig: {
        "prompt_price": NumberRange(0, 1e6, "currency units per 1,000 tokens"),
        "completion_price": NumberRange(0, 1e6, "currency units per 1,000 tokens"),
        "quality_prior": NumberRange(0, 1),
    },
    doc.UpstreamConfig: {
        "cold_limit": NumberRange(1, 4096, "concurrent requests"),
        "warm_limit": NumberRange(1, 4096, "concurrent requests"),
    },
    doc.CustomerConfig: {
        "quality_target": NumberRange(0, 1),
        "weight": NumberRange(0.01, 1000),
        "rate_per_s": NumberRange(0.001, 1e6, "requests per second"),
        "burst": NumberRange(1, 1e6, "requests"),
        "max_in_flight": NumberRange(1, 1e5, "requests"),
    },
    doc.ClassConfig: {
        "deadline_s": NumberRange(0.01, 7 * 86400, "seconds"),
        "max_attempts": NumberRange(1, 10, "attempts"),
        "hedge_after_s": NumberRange(0, 3600, "seconds"),
        "alarm_before_s": NumberRange(0, 7 * 86400, "seconds"),
        "max_queue": NumberRange(0, 1e5, "requests"),
    },
    doc.RolloutConfig: {"stage_s": NumberRange(0.1, 30 * 86400, "seconds")},
    doc.ServiceConfig: {"price": NumberRange(0, 1e6, "currency units per call")},
    doc.PolicyConfig: {"retry_budget": NumberRange(0, 1)},
}
