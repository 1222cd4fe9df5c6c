"""Prometheus metrics and structured logs of a process."""

from crocusvalve.metrics._agent import AgentMetrics
from crocusvalve.metrics._context import LogContext, bind_log_context, get_log_context
from crocusvalve.metrics._entry import EntryMetrics
from crocusvalve.metrics._labels import OTHER, LabelSet
from crocusvalve.metrics._logs import setup_logging
from crocusvalve.metrics._redact import Redactor
from crocusvalve.metrics._render import render_metrics
from crocusvalve.metrics._writer import LineWriter

__all__ = [
    "OTHER",
    "AgentMetrics",
    "EntryMetrics",
    "LabelSet",
    "LineWriter",
    "LogContext",
    "Redactor",
    "bind_log_context",
    "get_log_context",
    "render_metrics",
    "setup_logging",
]
