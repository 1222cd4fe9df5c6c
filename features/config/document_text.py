"""Editing of the text of a shipped document or settings file."""

from pathlib import Path

from crocusvalve.config import parse_document

ROOT = Path(__file__).resolve().parents[2]
#: Paths of the shipped documents that are not in the folder of examples, by name.
PATHS_OUTSIDE_EXAMPLES = {"trial": ROOT / "crocusvalve/demo/trial.toml"}


class DocumentText:
    """Lines of a shipped TOML file, grouped by table; ``""`` holds those before the first table.

    Parameters
    ----------
    environment : str
        Name of the environment or, for a settings file, its path below the folder of examples
        without the suffix.
    """

    def __init__(self, environment):
        self.blocks = {"": []}
        table = ""
        for line in (
            PATHS_OUTSIDE_EXAMPLES.get(environment, ROOT / f"examples/{environment}.toml")
            .read_text()
            .splitlines()
        ):
            if line.startswith("["):
                table = line.strip("[]")
                self.blocks[table] = []
            else:
                self.blocks[table].append(line)

    def set_line(self, table, line):
        key = line.partition("=")[0].strip()
        lines = self.blocks.get(table, [])
        others = [old for old in lines if old.partition("=")[0].strip() != key]
        self.blocks[table] = [*others, line]

    def remove_table(self, table):
        remaining = {name: lines for name, lines in self.blocks.items() if name != table}
        self.blocks = {n: ls for n, ls in remaining.items() if not n.startswith(f"{table}.")}

    def render(self):
        parts = [line for line in self.blocks[""]]
        for table, lines in self.blocks.items():
            if table:
                parts += [f"[{table}]", *lines]
        return "\n".join(parts)

    def parse(self):
        return parse_document(self.render(), source="shipped")
