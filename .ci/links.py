"""Fails when a Markdown file links to a file of the project that is not there."""

import pathlib
import re
import sys

root = pathlib.Path(__file__).resolve().parent.parent
pages = [p for p in root.rglob("*.md") if "target" not in p.relative_to(root).parts]
broken = []
for page in pages:
    text = re.sub(r"```.*?```", "", page.read_text(), flags=re.S)
    for target in re.findall(r"\]\(([^)#\s]+)", text):
        if "://" in target:
            continue
        if not (page.parent / target).exists():
            broken.append(f"{page.relative_to(root)}: {target}")
print(f"{len(pages)} pages, {len(broken)} broken links")
if broken:
    sys.exit("\n".join(broken))
