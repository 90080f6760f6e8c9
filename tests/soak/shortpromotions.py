"""Promotions of servers below a known end, by the log and the metrics of a host."""

import re
from collections.abc import Iterable

import aiohttp

READ_TIMEOUT_S = 2.0
_LINE = re.compile(r'"step":"promotion","group":"[^"]*","short":.*')
_COUNT = re.compile(
    r"^apricotshore_short_promotions_total\{(.*)\} (\S+)$", re.MULTILINE
)


def list_short_promotions(lines: Iterable[str]) -> list[str]:
    """Return the lines of promotions with a shortfall, equal ones once."""
    found = [_LINE.search(line) for line in lines]
    return list(dict.fromkeys(match[0] for match in found if match is not None))


def list_short_counts(page: str) -> list[str]:
    """Return the labels and counts in a page of metrics that aren't 0."""
    return [
        f"{labels} {count}"
        for labels, count in _COUNT.findall(page)
        if float(count) != 0
    ]


async def read_metrics(port: int) -> str | None:
    """Return the page of metrics of a host on loopback, None without an answer."""
    timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
    url = f"http://127.0.0.1:{port}/metrics"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as response,
        ):
            response.raise_for_status()
            return await response.text()
    except (aiohttp.ClientError, TimeoutError, OSError):
        return None
