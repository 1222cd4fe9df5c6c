"""Clocks, decoding, digests, signal handling and checks shared by all packages."""

from crocusvalve.utils._clock import BootClock, Clock, MonotonicClock
from crocusvalve.utils._decoding import decode_json, decode_untrusted
from crocusvalve.utils._digest import compute_digest, hash_key, hash_to_int, hash_to_unit
from crocusvalve.utils._reply_head import find_head_fault
from crocusvalve.utils._signals import run_until_signal
from crocusvalve.utils._transfer_limit import TransferLimit
from crocusvalve.utils._wakeup_delay import WakeupDelayMonitor
from crocusvalve.utils.validation import check_range

__all__ = [
    "BootClock",
    "Clock",
    "TransferLimit",
    "WakeupDelayMonitor",
    "MonotonicClock",
    "check_range",
    "compute_digest",
    "decode_json",
    "decode_untrusted",
    "find_head_fault",
    "hash_key",
    "hash_to_int",
    "hash_to_unit",
    "run_until_signal",
]
