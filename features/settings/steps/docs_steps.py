"""Steps that compare the documentation with the program."""

import re
from pathlib import Path

import msgspec
from behave import then
from prometheus_client import CollectorRegistry
from quart import Quart

from crocusvalve.admin import make_admin_blueprint
from crocusvalve.cli import make_app
from crocusvalve.exceptions import ErrorCode
from crocusvalve.gateway import GatewayObserver
from crocusvalve.metrics import AgentMetrics, EntryMetrics
from crocusvalve.settings import AgentSettings, EntrySettings, PlatformSettings
from features.config.document_text import DocumentText

ROOT = Path(__file__).resolve().parents[3]


class DocsSubject:
    """Lists the names that the documentation must contain."""

    @staticmethod
    def list_error_codes():
        return [f"`{item.code}`" for item in ErrorCode]

    @staticmethod
    def list_routes():
        app = Quart("docs")
        app.register_blueprint(make_admin_blueprint(None))
        rules = [rule for rule in app.url_map.iter_rules() if rule.rule.startswith("/admin")]
        return [
            f"`{method} {rule.rule.replace('<name>', 'NAME')}`"
            for rule in rules
            for method in rule.methods - {"HEAD", "OPTIONS"}
        ]

    @staticmethod
    def list_settings_keys():
        kinds = (EntrySettings, AgentSettings, PlatformSettings)
        return {f"`{field.name}" for kind in kinds for field in msgspec.structs.fields(kind)}

    @staticmethod
    def list_metrics():
        registry = CollectorRegistry()
        EntryMetrics(registry), AgentMetrics(registry)
        return [f"`{metric.name}" for metric in registry.collect()]

    @staticmethod
    def list_gateway_metrics():
        registry = CollectorRegistry()
        GatewayObserver(registry)
        return [f"`{metric.name}" for metric in registry.collect()]

    @staticmethod
    def list_classes():
        members = DocumentText("trial").parse().members.values()
        return [f"`{name}`" for section in members for name in section.classes]


#: Functions that list the names, by the kind in the step.
NAMES_BY_KIND = {
    "error code": DocsSubject.list_error_codes,
    "operators' route": DocsSubject.list_routes,
    "key of settings": DocsSubject.list_settings_keys,
    "metric": DocsSubject.list_metrics,
    "metric of the gateway": DocsSubject.list_gateway_metrics,
    "class of the trial": DocsSubject.list_classes,
}


@then("docs/{page} names every {kind}")
def then_page_names_all(context, page, kind):
    text = (ROOT / "docs" / page).read_text()
    names = list(NAMES_BY_KIND[kind]())
    missing = [name for name in names if name not in text]
    assert names and not missing, missing


@then('every "crocusvalve" line of the documentation is a command')
def then_commands_exist(context):
    app = make_app()
    pages = [*(ROOT / "docs").rglob("*.md"), ROOT / "examples" / "README.md"]
    text = "\n".join(page.read_text() for page in pages)
    found = set(re.findall(r"(?:^ {4,}|`)crocusvalve ([a-z]+)(?: ([a-z]+))?", text, re.MULTILINE))
    assert len(found) > 10, found
    for group, command in found:
        assert group in app, group
        if command and group in ("config", "domain", "rollout", "settings", "key", "standin"):
            assert command in app[group], (group, command)
