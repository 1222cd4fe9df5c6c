"""Agent: the process that runs next to an upstream and admits, runs and bills its attempts."""

from crocusvalve.agent._admission import AdmissionSystem
from crocusvalve.agent._bills import BillHolder, compute_attempt_cost
from crocusvalve.agent._coalesce import FrameCoalescer
from crocusvalve.agent._http_upstream import HttpUpstream, make_http_client
from crocusvalve.agent._notices import NoticeRegistry
from crocusvalve.agent._process import EntryFollower, run_agent, serve_agent
from crocusvalve.agent._revisions import RevisionCache
from crocusvalve.agent._service import Agent
from crocusvalve.agent._tables import AgentTables, RunRow
from crocusvalve.agent._upstream import HealthReport, Upstream, UpstreamEnd, UpstreamError

__all__ = [
    "AdmissionSystem",
    "Agent",
    "AgentTables",
    "BillHolder",
    "EntryFollower",
    "FrameCoalescer",
    "HealthReport",
    "HttpUpstream",
    "NoticeRegistry",
    "RevisionCache",
    "RunRow",
    "Upstream",
    "UpstreamEnd",
    "UpstreamError",
    "compute_attempt_cost",
    "make_http_client",
    "run_agent",
    "serve_agent",
]
