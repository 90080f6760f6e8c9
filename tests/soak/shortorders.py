"""Orders of servers with too short logs, by the log of the host that gave them."""

import json
from collections.abc import Iterable

PROMOTION = '"step":"promotion"'
SHORT = '"short":'


def list_short_orders(lines: Iterable[str]) -> list[str]:
    """Return the lines of promotions of servers that lacked known commits."""
    rows = (json.loads(line) for line in lines if PROMOTION in line and SHORT in line)
    return [
        f"{row.get('group')} {row.get('server')}, {row['short']} commits too short"
        for row in rows
        if row.get("short")
    ]
