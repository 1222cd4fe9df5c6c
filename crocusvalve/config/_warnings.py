"""Rules that determine which changes of a document are dangerous."""

from typing import Any

from crocusvalve.base import DomainState, RolloutState, VersionState
from crocusvalve.config._document import Document, MemberConfig

__all__ = ["find_warning"]

REMOVAL_WARNINGS = {
    "models": "requests for this model are refused from now on",
    "upstreams": "this upstream takes no new work from now on",
    "services": "calls of this service are refused from now on",
    "customers": "this customer's requests are refused from now on",
    "classes": "requests of this class are refused from now on",
    "cascades": "requests for this cascade are refused from now on",
    "operators": "this operator's key is refused from now on",
}


def find_warning(path: tuple[str, ...], old: Any, new: Any, document: Document) -> str:
    """Return why a change is dangerous, or an empty string.

    Parameters
    ----------
    path : tuple of str
        Keys from the root of the document.
    old, new : object
        Values before and after the change; None for an entry that was added or removed.
    document : Document
        The complete document before the change.
    """
    match path:
        case ("members", _):
            return "all of this member's requests are refused from now on" if new is None else ""
        case ("members", member, table, name):
            return _find_removal_warning(document.members[member], table, name, old, new)
        case ("members", member, "models", model, "versions", version, *rest):
            section = document.members[member]
            return _find_version_warning(section, model, version, rest, new)
        case ("members", _, table, _, field):
            return _find_field_warning(table, field, old, new)
    return ""


def _find_removal_warning(section: MemberConfig, table: str, name: str, old: Any, new: Any) -> str:
    if new is not None or old is None:
        return ""
    if table == "domains":
        n_upstreams = sum(upstream.domain == name for upstream in section.upstreams.values())
        return f"{n_upstreams} upstreams are in this domain" if n_upstreams else ""
    return REMOVAL_WARNINGS.get(table, "")


def _find_version_warning(
    section: MemberConfig, model: str, version: str, rest: list[str], new: Any
) -> str:
    if rest == ["state"] and new is VersionState.ACTIVE:
        return "a withdrawn version takes new work again"
    is_removed = not rest and new is None
    is_withdrawn = rest == ["state"] and new is VersionState.WITHDRAWN
    if not is_removed and not is_withdrawn:
        return ""
    if section.models[model].current == version:
        return "this is the model's current version"
    return "sessions on this version are refused from now on"


def _find_field_warning(table: str, field: str, old: Any, new: Any) -> str:
    match table, field:
        case "domains", "state" if new is DomainState.OUT:
            return "this domain takes no new work from now on"
        case "domains", "state" if new is DomainState.IN:
            return "a domain that was out of service takes new work again"
        case "rollouts", "state" if new is RolloutState.RUNNING:
            return "a roll-out that had ended runs again"
        case "models", "current":
            return "all new sessions and requests outside sessions move at once, with no roll-out"
        case "models", "shared_with" if set(old) - set(new):
            return "a member loses access to this model"
        case "customers", "allowed" | "classes" if set(old) - set(new):
            return "some of this customer's requests are refused from now on"
        case "customers" | "operators", "key_sha256":
            return "the old key is refused from now on"
        case "classes", "kind":
            return "requests of this class are handled in a different way"
        case "services", "repeatable" if new:
            return "a call of this service may be sent twice"
        case "upstreams", "cold_limit" if new > old:
            return "a freshly started upstream may be overloaded"
        case "upstreams", "honours_fencing" if new:
            return "the agent no longer fences orders for this engine"
    return ""
