import json
from pathlib import Path

from tools.capacity import render_page

DOCS = Path(__file__).parent.parent / "docs"


def test_capacity_page_is_up_to_date():
    slopes = json.loads((DOCS / "slopes.json").read_text())
    assert (DOCS / "CAPACITY.md").read_text() == render_page(slopes)
