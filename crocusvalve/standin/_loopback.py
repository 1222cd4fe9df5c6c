"""Loopback hosts per process, so that test processes running at once can use the same ports."""

import os

__all__ = ["make_loopback_host"]

#: Lowest second octet of a host, and the number of process ids that get distinct hosts.
MIN_SECOND_OCTET = 64
N_PROCESS_HOSTS = 16384


def make_loopback_host(number: int) -> str:
    """Return a loopback address for this process; ``number`` distinguishes its hosts.

    Process ids that differ by a multiple of ``N_PROCESS_HOSTS`` get the same addresses.
    """
    pid = os.getpid() % N_PROCESS_HOSTS
    return f"127.{MIN_SECOND_OCTET + pid // 256}.{pid % 256}.{1 + number}"
