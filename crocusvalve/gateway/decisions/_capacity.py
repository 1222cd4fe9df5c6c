"""Speeds of upstreams, learned from their responses."""

from msgspec import Struct

from crocusvalve.gateway.decisions._closures import UpstreamRun

__all__ = ["SpeedReport"]


class SpeedReport(Struct, frozen=True, array_like=True):
    """Speed of one run of an upstream as a gateway knows it.

    Attributes
    ----------
    run : UpstreamRun
        The run of the upstream's process.
    log_speed : float
        Natural logarithm of the speed, relative to what is expected of any upstream.
    weight : float
        Weight of the samples behind the speed.
    age_ms : int
        Time since the last sample, in milliseconds.
    """

    run: UpstreamRun
    log_speed: float
    weight: float
    age_ms: int
