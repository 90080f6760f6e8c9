"""Orders of servers with too short logs, by the log of the host that gave them."""

import json
from collections.abc import Iterable

PROMOTION = '"step":"promotion"'
SHORT = '"short":'


def list_short_orders(lines: Iterable[str]) -> list[str]:
    """Return the promotions of servers that lacked known commits.

    A host writes a promotion more than once: each is listed once.
    """
    rows = (json.loads(line) for line in lines if PROMOTION in line and SHORT in line)
    return sorted(
        {
            f"{row.get('group')} to {row.get('to')}, {row['short']} commits too short"
            for row in rows
            if row.get("short")
        }
    )
