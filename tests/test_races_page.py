"""docs/races.md names tests that there are."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_each_test_that_the_page_names_exists():
    page, file, named = (ROOT / "docs" / "races.md").read_text(), "", 0
    for line in page.splitlines():
        if line.startswith("## ") and (head := re.search(r"tests/\w+\.py", line)):
            file = head[0]
        for path, name in re.findall(r"`(?:(tests/\w+\.py)::)?(test_\w+)`", line):
            named += 1
            assert f"def {name}(" in (ROOT / (path or file)).read_text(), f"{path or file}::{name}"
    assert named > 60
