"""The line that tells a promotion in short, for excerpts that cut lines off."""

import json
import os.path
from collections.abc import Sequence

from .journal import EventKind, Journal, encode_line
from .promotion_summary import SETTLED, EndSource, LogEnd, Promotion

# Longest line in bytes, without its end.
LONGEST_LINE = 189
# Promotions that are written again, and for how long.
REPEATED = 3
REPEAT_MS = 60_000
# An excerpt of 900 bytes has room for these lines after them.
FOLLOWING_BYTES = 300


def record_promotion(journal: Journal, promotion: Promotion) -> None:
    """Write the line of a promotion."""
    empty = encode_line(journal.host, EventKind.PROMOTION, {})
    room = LONGEST_LINE - len(empty)
    journal.record(EventKind.PROMOTION, **summarise(promotion, room))


def repeat_latest(journal: Journal, latest: Sequence[Promotion], now: int) -> None:
    """Write promotions again, the last of a list, once other lines have followed them.

    A host that is killed, or whose log is read while it runs, writes no last lines.
    """
    if journal.bytes_since_repeat < FOLLOWING_BYTES:
        return
    recent = [p for p in latest if now - p.ordered_at < REPEAT_MS]
    record_again(journal, recent[-REPEATED:])


def record_again(journal: Journal, promotions: Sequence[Promotion]) -> None:
    """Write the lines of promotions together."""
    for promotion in promotions:
        record_promotion(journal, promotion)
    journal.bytes_since_repeat = 0


def summarise(promotion: Promotion, room: int) -> dict[str, str | int]:
    """Return the keys of a promotion's line, the most important first.

    Parameters
    ----------
    promotion
        The promotion.
    room
        Bytes that the keys may take. The last ones are left out beyond that.
    """
    target = promotion.target
    details: dict[str, str | int] = {"group": str(promotion.group)}
    if promotion.short:
        details["short"] = promotion.short
    # Excerpts of logs are picked by words such as "lost".
    details |= {
        "to": _format_end(target),
        "lost": _format_end(promotion.former),
        "by": f"{promotion.proof} {_format_times(promotion)}",
    }
    others = sorted(
        promotion.others, key=lambda o: (o.source is EndSource.STATED, o.server)
    )
    list_room = room - _measure({**details, "held": ""})
    details["held"] = _format_others(others, target, list_room)
    # What is left is for the reason, beside the times.
    why = f" {_describe_reason(promotion)}"[: max(0, room - _measure(details))]
    details["by"] = f"{details['by']}{why}".rstrip()
    return _cut_values(details, room)


def _format_end(log_end: LogEnd) -> str:
    end = log_end.end
    text = f"{end.term}.{end.position}" if end is not None else ""
    return f"{log_end.server or 'none'}{log_end.source.value}{text}"


def _format_others(others: Sequence[LogEnd], target: LogEnd, room: int) -> str:
    """Return servers with how far their ends are behind that of the target."""
    if not others:
        return "none"
    names = [_format_other(other, target) for other in others]
    prefix = os.path.commonprefix([str(end.server) for end in (target, *others)])
    shared = len(prefix[: prefix.rfind("-") + 1])
    for listed in (names, [name[shared:] for name in names]):
        if len(text := ",".join(listed)) <= room:
            return text
    return _cut_list([name[shared:] for name in names], room)


def _format_other(other: LogEnd, target: LogEnd) -> str:
    end, longest = other.end, target.end
    if end is None or longest is None or end.term != longest.term:
        return _format_end(other)
    mark = "" if other.source is EndSource.STATED else other.source.value
    behind = end.position - longest.position
    return f"{other.server}{mark}{f'{behind:+}' if behind else '='}"


def _format_times(promotion: Promotion) -> str:
    """Return the time to the order and that to the effect, or what came instead."""
    effect = promotion.effect_ms
    shown = promotion.outcome.replace(" ", "-") if effect is None else effect
    return f"{promotion.order_ms}+{shown}"


def _describe_reason(promotion: Promotion) -> str:
    words = [promotion.reason] if promotion.reason else []
    if promotion.orders > 1:
        words.append(f"x{promotion.orders}")
    if promotion.effect_ms is not None and promotion.outcome != SETTLED:
        words.append(promotion.outcome)
    return " ".join(words)


def _cut_list(names: Sequence[str], room: int) -> str:
    """Return names as a list, those beyond the room as their number."""
    for kept in range(len(names), 0, -1):
        left = f",+{len(names) - kept}" if kept < len(names) else ""
        text = ",".join(names[:kept]) + left
        if len(text) <= room:
            return text
    return f"+{len(names)}" if names else ""


def _cut_values(details: dict[str, str | int], room: int) -> dict[str, str | int]:
    """Return keys whose last texts are cut off where even those have no room."""
    cut = dict(details)
    for key, value in reversed(details.items()):
        excess = max(0, _measure(cut) - room)
        if isinstance(value, str):
            cut[key] = value[: max(0, len(value) - excess)]
    return cut


def _measure(details: dict[str, str | int]) -> int:
    """Return the bytes that keys take in a line that has others before them."""
    return len(json.dumps(details, separators=(",", ":"))) - 1
