"""Promotion of a member's section from one environment to another."""

import msgspec

from crocusvalve.base import MemberId
from crocusvalve.config._document import CustomerConfig, Document, MemberConfig
from crocusvalve.config._problems import Problem
from crocusvalve.exceptions import ConfigError

__all__ = ["promote_section"]


def promote_section(source: Document, target: Document, member: MemberId) -> Document:
    """Return the target document with a member's section copied from the source document.

    Models, services, customers, classes, cascades, roll-outs and policies are copied. Settings that
    are specific to an environment stay as in the target: operators, domains, upstreams and the keys
    of customers.

    Parameters
    ----------
    source, target : Document
        Documents of the two environments, as visible to the member.
    member : MemberId
        Member whose section is promoted.

    Returns
    -------
    Document
        The target with the new section, not yet validated.

    Raises
    ------
    ConfigError
        If a section is missing, or a customer has no key in the target's environment.
    """
    new = _get_section(source, member)
    old = _get_section(target, member)
    customers = _promote_customers(new, old, target.environment, member)
    section = msgspec.structs.replace(
        new,
        operators=old.operators,
        domains=old.domains,
        upstreams=old.upstreams,
        customers=customers,
    )
    return Document(target.environment, {**target.members, member: section})


def _get_section(document: Document, member: MemberId) -> MemberConfig:
    section = document.members.get(member)
    if section is None:
        allowed = f"present in environment {document.environment!r}"
        problem = Problem(f"members.{member}", "(missing)", allowed)
        raise ConfigError([str(problem)], step="promote", peer=member)
    return section


def _promote_customers(
    new: MemberConfig, old: MemberConfig, environment: str, member: MemberId
) -> dict[str, CustomerConfig]:
    allowed = f"set in environment {environment!r} before the promotion"
    missing = [
        str(Problem(f"members.{member}.customers.{name}.key_sha256", "(missing)", allowed))
        for name in new.customers
        if name not in old.customers
    ]
    if missing:
        raise ConfigError(missing, step="promote", peer=member)
    return {
        name: msgspec.structs.replace(cfg, key_sha256=old.customers[name].key_sha256)
        for name, cfg in new.customers.items()
    }
