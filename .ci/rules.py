"""Checks the table of rules in docs/ARCHITECTURE.md against the code and the measurements.

Each row links to the rule's module, names its constants in backticks, and links to the measurements
that set them, with the words of the measured row in quotation marks. Fails when a module, a constant
or a quoted row is not there, and when a constant of the gateways' decisions stands in no row.
"""

import pathlib
import re
import sys

root = pathlib.Path(__file__).resolve().parent.parent
page = root / "docs" / "ARCHITECTURE.md"
decisions = root / "crates" / "steer" / "src"
checked = [decisions / "dispatch", decisions / "common"]

CONSTANT = re.compile(r"^\s*(?:pub(?:\([a-z]+\))? )?const ([A-Z][A-Z0-9_]*):", re.M)

rows = []
is_rules = False
for line in page.read_text().split("\n"):
    if line.startswith("## "):
        is_rules = line == "## Rules"
    if is_rules and line.startswith("| ") and "](" in line:
        rows.append(line)

problems = []
named = {}
for row in rows:
    links = re.findall(r"\]\(([^)#\s]+)\)", row)
    sources = [(page.parent / link).resolve() for link in links if link.endswith(".rs")]
    pages = [(page.parent / link).resolve() for link in links if link.endswith(".md")]
    for path in sources + pages:
        if not path.exists():
            problems.append(f"no such file: {path.relative_to(root)}")
    text = "\n".join(path.read_text() for path in sources if path.exists())
    constants = set(CONSTANT.findall(text))
    for name in re.findall(r"`([A-Z][A-Z0-9_]*)`", row):
        if name not in constants:
            problems.append(f"{name} is no constant of {[path.name for path in sources]}")
        for path in sources:
            named.setdefault(path, set()).add(name)
    prose = "\n".join(path.read_text() for path in pages if path.exists())
    prose = re.sub(r"\s+", " ", prose)
    for quoted in re.findall(r'"([^"]+)"', row):
        if pages and quoted not in prose:
            problems.append(f'"{quoted}" does not stand in {[path.name for path in pages]}')

for folder in checked:
    for path in sorted(folder.rglob("*.rs")):
        for name in CONSTANT.findall(path.read_text()):
            if name not in named.get(path.resolve(), set()):
                problems.append(f"{path.relative_to(root)}: {name} stands in no row of the table")

print(f"{len(rows)} rules, {sum(len(names) for names in named.values())} constants")
if not rows:
    problems.append("the table of rules is missing")
if problems:
    sys.exit("\n".join(problems))
