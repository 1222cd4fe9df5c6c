"""Hosts of loopback, so that parts keep their ports while several processes run the same ones."""

import os

__all__ = ["make_loopback_host"]

#: Second octets from here on, and as many process ids as two octets tell apart.
MIN_SECOND_OCTET = 64
N_PROCESS_HOSTS = 16384


def make_loopback_host(number: int) -> str:
    """Return a host of loopback that no other process of this machine uses."""
    pid = os.getpid() % N_PROCESS_HOSTS
    return f"127.{MIN_SECOND_OCTET + pid // 256}.{pid % 256}.{1 + number}"
