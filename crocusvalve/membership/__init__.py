"""An entry's knowledge of the upstreams: subset, load reports, heartbeats and notices."""

from crocusvalve.membership._commands import ProbeUpstream
from crocusvalve.membership._notices import NoticeTable
from crocusvalve.membership._reports import VmStatus, mark_leaving, merge_load_report, merge_vm_list
from crocusvalve.membership._subset import choose_subset
from crocusvalve.membership._system import MembershipSystem

__all__ = [
    "MembershipSystem",
    "NoticeTable",
    "ProbeUpstream",
    "VmStatus",
    "choose_subset",
    "mark_leaving",
    "merge_load_report",
    "merge_vm_list",
]
