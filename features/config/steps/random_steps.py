"""Steps that check properties of random documents and random changes (Hypothesis)."""

import builtins
from typing import get_args, get_origin, get_type_hints

import msgspec
from behave import then
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from crocusvalve.base import DomainState
from crocusvalve.config import (
    Document,
    check_author,
    format_document,
    parse_document,
    read_document,
)
from crocusvalve.exceptions import ConfigError, CrocusvalveError
from features.config.document_text import DocumentText

TEXTS = st.text(st.characters(exclude_categories=["Cs"]), max_size=12)
FLOATS = st.floats(allow_nan=False, allow_infinity=False)
TABLES = ("domains", "models", "upstreams", "services", "customers", "classes", "rollouts")


class RandomSubject:
    """Checks a property with ``n`` random examples, which are the same in every run."""

    @staticmethod
    def run(n, check, **strategies):
        checks = [HealthCheck.too_slow, HealthCheck.data_too_large]
        cfg = settings(
            derandomize=True,
            database=None,
            max_examples=n,
            deadline=None,
            suppress_health_check=checks,
        )
        cfg(given(**strategies)(check))()


def make_strategy(hint):
    """Return a Hypothesis strategy for a type; structs are built field by field."""
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
        hints = get_type_hints(hint)
        return st.builds(hint, **{name: make_strategy(hints[name]) for name in hints})
    match get_origin(hint), get_args(hint):
        case builtins.dict, (_, item):
            return st.dictionaries(TEXTS, make_strategy(item), max_size=2)
        case builtins.tuple, (item, _):
            return st.lists(make_strategy(item), max_size=3).map(tuple)
    known = {str: TEXTS, float: FLOATS}
    return known[hint] if hint in known else st.from_type(hint)


def make_edit(draw, document, member):
    """Return the document with a random change: an entry, a domain's state or a new member."""
    section = document.members[member]
    table = draw.draw(st.sampled_from([name for name in TABLES if getattr(section, name)]))
    entries = dict(getattr(section, table))
    name = draw.draw(st.sampled_from(sorted(entries)))
    match draw.draw(st.sampled_from(("remove", "copy", "member", "domain"))):
        case "remove":
            del entries[name]
        case "copy":
            entries["copied"] = entries[name]
        case "member":
            members = {key: sec for key, sec in document.members.items() if key != member}
            return Document(document.environment, members | {"oran": section})
        case "domain":
            table, entries = "domains", dict(section.domains)
            name = sorted(entries)[0]
            entries[name] = msgspec.structs.replace(entries[name], state=DomainState.OUT)
    changed = msgspec.structs.replace(section, **{table: entries})
    return Document(document.environment, document.members | {member: changed})


@then("{n:d} random documents are written and read back unchanged")
def then_round_trip(context, n):
    def check(document):
        assert read_document(format_document(document), source="random") == document

    RandomSubject.run(n, check, document=make_strategy(Document))


@then("{n:d} corrupted texts give a document or a configuration error")
def then_corrupt_text_is_handled(context, n):
    text = DocumentText("trial").render()
    outcomes = {"read": 0, "refused": 0}

    def check(at, size, junk):
        try:
            parse_document(text[:at] + junk + text[at + size :], source="damaged")
            outcomes["read"] += 1
        except ConfigError as exc:
            assert exc.problems and all("damaged" in problem for problem in exc.problems)
            outcomes["refused"] += 1

    junk = st.one_of(TEXTS, st.sampled_from(['"', "[", "]", "= nan", "[[a]]", "1979-05-27", "{}"]))
    places = st.integers(0, len(text))
    RandomSubject.run(n, check, at=places, size=st.integers(0, 200), junk=junk)
    assert all(outcomes.values()), outcomes


@then("{n:d} random changes pass the author check only within the author's section")
def then_author_check_matches_section(context, n):
    old = DocumentText("trial").parse()
    outcomes = {True: 0, False: 0}

    def check(draw):
        new = old
        for _ in range(draw.draw(st.integers(1, 2))):
            edited = draw.draw(st.sampled_from(sorted(new.members)))
            new = make_edit(draw, new, edited)
        author = draw.draw(st.sampled_from(("delta", "sfax", "oran")))
        others = [{k: v for k, v in doc.members.items() if k != author} for doc in (old, new)]
        is_within = others[0] == others[1] and author in old.members and author in new.members
        try:
            check_author(old, new, author)
            is_passed = True
        except CrocusvalveError:
            is_passed = False
        assert is_passed is is_within
        outcomes[is_passed] += 1

    RandomSubject.run(n, check, draw=st.data())
    assert all(outcomes.values()), outcomes
