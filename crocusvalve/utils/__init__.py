"""Small helpers shared by all packages."""

from crocusvalve.utils._clock import Clock, MonotonicClock
from crocusvalve.utils._digest import compute_digest, hash_key, hash_to_unit
from crocusvalve.utils._serving import open_listener, serve_app
from crocusvalve.utils._signals import run_until_signal
from crocusvalve.utils.validation import check_range

__all__ = [
    "Clock",
    "MonotonicClock",
    "check_range",
    "compute_digest",
    "hash_key",
    "hash_to_unit",
    "open_listener",
    "run_until_signal",
    "serve_app",
]
