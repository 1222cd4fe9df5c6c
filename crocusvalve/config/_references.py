"""Validation of the references between entries and between members of a document."""

import re
from collections.abc import Iterator

from crocusvalve.base import ClassKind, MemberId, RolloutState, UpstreamKind, VersionState
from crocusvalve.config._addresses import is_http_url, is_socket_address
from crocusvalve.config._document import Document, MemberConfig
from crocusvalve.config._limits import CASCADE_POLICIES, ROLLOUT_POLICIES, ROUTING_POLICIES
from crocusvalve.config._problems import Problem, show_value
from crocusvalve.config._resolver import ReferenceResolver
from crocusvalve.utils.validation import NAME_PATTERN

__all__ = ["list_key_problems", "list_reference_problems"]

SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")


def list_reference_problems(document: Document, *, only: MemberId | None = None) -> list[Problem]:
    """Return the problems of references, and of values that depend on other entries.

    Parameters
    ----------
    document : Document
        A document whose fields have the declared types.
    only : MemberId or None
        If set, check only the references of this member. Agents' addresses that several upstreams
        have are reported for all members.

    Returns
    -------
    list of Problem
    """
    resolver = ReferenceResolver(document)
    problems: list[Problem] = []
    for member, section in document.members.items():
        if only not in (None, member):
            continue
        checker = _SectionChecker(member, section, resolver)
        problems.extend(checker.run())
    problems.extend(_list_duplicate_agents(document))
    return problems


def list_key_problems(document: Document) -> list[Problem]:
    """Return a problem for each key hash that is malformed or not unique.

    A hash may belong to only one customer or operator of the whole document.
    """
    keys_by_value: dict[str, list[str]] = {}
    problems = []
    for member, section in document.members.items():
        for table in ("operators", "customers"):
            for name, cfg in getattr(section, table).items():
                key = f"members.{member}.{table}.{name}.key_sha256"
                keys_by_value.setdefault(cfg.key_sha256, []).append(key)
                if not SHA256_PATTERN.fullmatch(cfg.key_sha256):
                    allowed = "a SHA-256 in 64 lower-case hexadecimal digits"
                    problems.append(Problem(key, "(hidden)", allowed))
    for keys in keys_by_value.values():
        if len(keys) > 1:
            allowed = "a hash that no other customer or operator has"
            problems.extend(Problem(key, "(hidden)", allowed) for key in keys)
    return problems


def _list_duplicate_agents(document: Document) -> Iterator[Problem]:
    keys_by_value: dict[str, list[str]] = {}
    for member, section in document.members.items():
        for name, upstream in section.upstreams.items():
            key = f"members.{member}.upstreams.{name}.agent"
            keys_by_value.setdefault(upstream.agent, []).append(key)
    for agent, keys in keys_by_value.items():
        if len(keys) > 1:
            allowed = "an address that no other upstream has"
            yield from (Problem(key, repr(agent), allowed) for key in keys)


class _SectionChecker:
    """Checks the references in the section of one member."""

    def __init__(self, member: str, section: MemberConfig, resolver: ReferenceResolver):
        self._member = member
        self._section = section
        self._resolver = resolver
        self._prefix = f"members.{member}"

    def run(self) -> Iterator[Problem]:
        """Yield the problems of the section."""
        yield from self._check_domains()
        yield from self._check_models()
        yield from self._check_upstreams()
        yield from self._check_services()
        yield from self._check_customers()
        yield from self._check_classes()
        yield from self._check_cascades()
        yield from self._check_rollouts()
        yield from self._check_choice(
            "policy.routing", self._section.policy.routing, ROUTING_POLICIES
        )

    def _make_problem(self, key: str, value: object, allowed: str) -> Problem:
        full = f"{self._prefix}.{key}"
        return Problem(full, show_value(full, value), allowed)

    def _make_model_problem(self, key: str, ref: str, allowed: str) -> Problem:
        full = f"{self._prefix}.{key}"
        owner = ref.rpartition("/")[0]
        return Problem(full, show_value(full, ref), allowed, owner not in ("", self._member))

    def _check_choice(self, key: str, value: str, names: tuple[str, ...]) -> Iterator[Problem]:
        if value not in names:
            yield self._make_problem(key, value, "one of " + ", ".join(names))

    def _check_domains(self) -> Iterator[Problem]:
        for name, domain in self._section.domains.items():
            if not NAME_PATTERN.fullmatch(domain.region):
                allowed = f"a name like {NAME_PATTERN.pattern}"
                yield self._make_problem(f"domains.{name}.region", domain.region, allowed)

    def _check_models(self) -> Iterator[Problem]:
        for name, model in self._section.models.items():
            key = f"models.{name}"
            if not model.versions:
                yield self._make_problem(f"{key}.versions", {}, "at least one version")
            for version in model.versions:
                if not NAME_PATTERN.fullmatch(version):
                    allowed = f"a name like {NAME_PATTERN.pattern}"
                    yield self._make_problem(f"{key}.versions.{version}", version, allowed)
            current = model.versions.get(model.current)
            if current is None:
                yield self._make_problem(f"{key}.current", model.current, "a version of this model")
            for other in model.shared_with:
                if other == self._member or not self._resolver.has_member(other):
                    yield self._make_problem(f"{key}.shared_with", other, "another member's name")

    def _check_upstreams(self) -> Iterator[Problem]:
        for name, upstream in self._section.upstreams.items():
            key = f"upstreams.{name}"
            if upstream.domain not in self._section.domains:
                yield self._make_problem(
                    f"{key}.domain", upstream.domain, "a domain of this member"
                )
            if not is_socket_address(upstream.agent):
                allowed = "HOST:PORT with a port in [1, 65535]"
                yield self._make_problem(f"{key}.agent", upstream.agent, allowed)
            if not is_http_url(upstream.url):
                yield self._make_problem(
                    f"{key}.url", upstream.url, "an http or https URL with a host"
                )
            if upstream.warm_limit < upstream.cold_limit:
                allowed = f"at least cold_limit ({upstream.cold_limit})"
                yield self._make_problem(f"{key}.warm_limit", upstream.warm_limit, allowed)
            if upstream.kind is UpstreamKind.PLAIN and upstream.serves:
                yield self._make_problem(
                    f"{key}.serves", upstream.serves, "empty for a plain service"
                )
            if upstream.kind is UpstreamKind.ENGINE and not upstream.serves:
                yield self._make_problem(f"{key}.serves", (), "at least one version for an engine")
            for ref in upstream.serves:
                if not self._resolver.has_version(self._member, ref):
                    yield self._make_model_problem(
                        f"{key}.serves", ref, "MODEL@VERSION of a usable model"
                    )

    def _check_services(self) -> Iterator[Problem]:
        for name, service in self._section.services.items():
            key = f"services.{name}"
            if not service.upstreams:
                yield self._make_problem(f"{key}.upstreams", (), "at least one upstream")
            for ref in service.upstreams:
                upstream = self._section.upstreams.get(ref)
                if upstream is None or upstream.kind is not UpstreamKind.PLAIN:
                    yield self._make_problem(
                        f"{key}.upstreams", ref, "a plain upstream of this member"
                    )
            yield from self._check_service_class(key, service.class_name, service.repeatable)

    def _check_service_class(self, key: str, name: str, repeatable: bool) -> Iterator[Problem]:
        if not name:
            return
        cls = self._section.classes.get(name)
        if cls is None:
            yield self._make_problem(f"{key}.class_name", name, "a class of this member")
        elif (cls.kind is ClassKind.ORDER) is repeatable:
            kinds = "lookup, answer or durable" if repeatable else "order"
            yield self._make_problem(f"{key}.class_name", name, f"a class of kind {kinds}")

    def _check_customers(self) -> Iterator[Problem]:
        for name, customer in self._section.customers.items():
            key = f"customers.{name}"
            for pattern in customer.allowed:
                if not self._resolver.matches_any(self._member, pattern):
                    allowed = "a pattern that matches a usable model or version"
                    yield self._make_model_problem(f"{key}.allowed", pattern, allowed)
            if not customer.classes:
                yield self._make_problem(f"{key}.classes", (), "at least one class")
            for ref in customer.classes:
                if ref not in self._section.classes:
                    yield self._make_problem(f"{key}.classes", ref, "a class of this member")

    def _check_classes(self) -> Iterator[Problem]:
        for name, cls in self._section.classes.items():
            key = f"classes.{name}"
            model = cls.default_model
            if model and model not in self._section.cascades:
                if not self._resolver.has_model(self._member, model):
                    yield self._make_model_problem(
                        f"{key}.default_model", model, "a usable model or a cascade"
                    )
            if cls.alarm_before_s > cls.deadline_s:
                allowed = f"at most deadline_s ({cls.deadline_s:g})"
                yield self._make_problem(f"{key}.alarm_before_s", cls.alarm_before_s, allowed)
            if cls.hedge_after_s and cls.kind is ClassKind.ORDER:
                yield self._make_problem(
                    f"{key}.hedge_after_s", cls.hedge_after_s, "0 for an order"
                )

    def _check_cascades(self) -> Iterator[Problem]:
        for name, cascade in self._section.cascades.items():
            key = f"cascades.{name}"
            if name in self._section.models:
                yield self._make_problem(key, name, "a name that no model of this member has")
            if not cascade.steps:
                yield self._make_problem(f"{key}.steps", (), "at least one model")
            if len(set(cascade.steps)) != len(cascade.steps):
                yield self._make_problem(f"{key}.steps", cascade.steps, "without duplicates")
            for ref in cascade.steps:
                if not self._resolver.has_model(self._member, ref):
                    yield self._make_model_problem(f"{key}.steps", ref, "a usable model")
            yield from self._check_choice(f"{key}.policy", cascade.policy, CASCADE_POLICIES)

    def _check_rollouts(self) -> Iterator[Problem]:
        running: set[str] = set()
        for name, rollout in self._section.rollouts.items():
            key = f"rollouts.{name}"
            model = self._section.models.get(rollout.model)
            if model is None:
                yield self._make_problem(f"{key}.model", rollout.model, "a model of this member")
            elif rollout.version not in model.versions:
                yield self._make_problem(
                    f"{key}.version", rollout.version, "a version of the model"
                )
            elif rollout.state is RolloutState.RUNNING:
                if rollout.model in running:
                    allowed = "a model without another running roll-out"
                    yield self._make_problem(f"{key}.model", rollout.model, allowed)
                running.add(rollout.model)
                if model.versions[rollout.version].state is VersionState.WITHDRAWN:
                    yield self._make_problem(f"{key}.version", rollout.version, "an active version")
            if not _are_stages_increasing(rollout.stages):
                allowed = "fractions that increase within (0, 1]"
                yield self._make_problem(f"{key}.stages", rollout.stages, allowed)
            yield from self._check_choice(f"{key}.policy", rollout.policy, ROLLOUT_POLICIES)


def _are_stages_increasing(stages: tuple[float, ...]) -> bool:
    last = 0.0
    for stage in stages:
        if not last < stage <= 1.0:
            return False
        last = stage
    return bool(stages)
