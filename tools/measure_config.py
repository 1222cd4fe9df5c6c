"""Prints the size and processor time of configuration documents; see docs/design/09-*.md."""

import time

import msgspec

from crocusvalve.base import DomainState, MemberId, Revision
from crocusvalve.config import (
    Document,
    DocumentView,
    check_change,
    check_document,
    diff_documents,
    filter_document,
    format_document,
    parse_document,
)

N_ROUNDS = 3
#: Numbers of upstreams and customers of each of the two members of a document.
SIZES = ((14, 10), (140, 100), (875, 500), (1750, 1000))
MEMBER = """
[members.{m}.operators.desk]
key_sha256 = "{key}"
[members.{m}.domains.a]
region = "r"
[members.{m}.models.small]
current = "v1"
shared_with = ["{other}"]
[members.{m}.models.small.versions.v1]
[members.{m}.models.small.versions.v2]
[members.{m}.classes.chat]
kind = "answer"
default_model = "small"
"""
UPSTREAM = """
[members.{m}.upstreams.u{i}]
domain = "a"
agent = "10.{net}.{high}.{low}:7000"
url = "http://10.{net}.{high}.{low}:8000"
serves = ["small@v1", "small@v2"]
"""
CUSTOMER = """
[members.{m}.customers.c{i}]
key_sha256 = "{key}"
allowed = ["small", "{other}/small@v1"]
classes = ["chat"]
"""


def make_text(n_upstreams, n_customers):
    """Return the TOML text of a document with two members, each of the given size."""
    parts = ['environment = "trial"']
    for net, (m, other) in enumerate((("east", "west"), ("west", "east"))):
        parts.append(MEMBER.format(m=m, other=other, key=f"{net:064x}"))
        for i in range(n_upstreams):
            parts.append(UPSTREAM.format(m=m, i=i, net=net, high=i // 250, low=i % 250 + 1))
        for i in range(n_customers):
            key = f"{net + 2:x}{i:063x}"
            parts.append(CUSTOMER.format(m=m, i=i, other=other, key=key))
    return "\n".join(parts)


def measure_ms(function, *args):
    """Return the shortest processor time of ``N_ROUNDS`` calls, in milliseconds."""
    times = []
    for _ in range(N_ROUNDS):
        start = time.process_time()
        function(*args)
        times.append(time.process_time() - start)
    return 1000 * min(times)


def take_domain_out(document):
    """Return a copy of a document in which one domain is out of service."""
    section = document.members["east"]
    domain = msgspec.structs.replace(section.domains["a"], state=DomainState.OUT)
    section = msgspec.structs.replace(section, domains={"a": domain})
    return Document(document.environment, document.members | {"east": section})


def main():
    names = ("TOML", "packed", "parse", "check", "change", "diff", "format", "filter", "view")
    print("upstreams customers " + " ".join(f"{name:>8}" for name in names) + "  (bytes, then ms)")
    for n_upstreams, n_customers in SIZES:
        text = make_text(n_upstreams, n_customers)
        document = parse_document(text, source="made")
        changed = take_domain_out(document)
        member = MemberId("east")
        figures = [len(text), len(msgspec.msgpack.encode(document))]
        figures += [
            measure_ms(lambda text=text: parse_document(text, source="made")),
            measure_ms(check_document, document),
            measure_ms(check_change, document, changed, member),
            measure_ms(diff_documents, document, changed),
            measure_ms(format_document, document),
            measure_ms(filter_document, document, member),
            measure_ms(DocumentView, document, Revision(1)),
        ]
        row = " ".join(f"{figure:8.1f}" if figure < 1e4 else f"{figure:8.0f}" for figure in figures)
        print(f"{2 * n_upstreams:9d} {2 * n_customers:9d} {row}")


if __name__ == "__main__":
    main()
