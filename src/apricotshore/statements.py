"""Classification of SQL statements with regular expressions.

There is no full SQL parser because this is the hot path of every statement. Tags
in comments follow the sqlcommenter format, ``/* key='value',... */``.
"""

import re
from dataclasses import dataclass
from functools import lru_cache
from urllib.parse import unquote

from .identifiers import Fingerprint
from .requests import Action

MAX_STATEMENT_BYTES = 1 << 20
FINGERPRINT_CHARACTERS = 512
CACHED_STATEMENTS = 4_096

_COMMENT = re.compile(r"/\*(.*?)\*/", re.DOTALL)
_TAG = re.compile(r"([A-Za-z0-9_.%-]+)\s*=\s*'((?:[^'\\]|\\.)*)'")
_LITERAL = re.compile(
    r"'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\"|\b\d+(?:\.\d+)?\b"
)
_SPACE = re.compile(r"\s+")
_COMMENT_OR_LITERAL = re.compile(f"{_COMMENT.pattern}|{_LITERAL.pattern}", re.DOTALL)
_LIST = re.compile(r"\(\s*\?(?:\s*,\s*\?)*\s*\)")
_LOCKING_READ = re.compile(r"\bfor\s+(update|share)\b|\block\s+in\s+share\b", re.I)
_BEGIN = re.compile(r"^(begin|start\s+transaction)\b", re.I)
_FIRST_KEYWORD = re.compile(r"^\(*\s*([a-z]+)", re.I)

_READ_KEYWORDS = frozenset({"select", "show", "explain", "describe", "desc", "with"})
_WRITE_KEYWORDS = frozenset(
    {"insert", "update", "delete", "replace", "create", "alter"}
)
_WRITE_KEYWORDS |= {"drop", "truncate"}


_YES_NO = {"yes": True, "no": False}


class StatementError(ValueError):
    """A statement that the proxy rejects."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Tags:
    """Request options that a caller sets in the comments of a statement.

    Parameters
    ----------
    kind
        Request kind; empty when not given.
    request_id
        Idempotency key; empty when not given.
    idempotent
        Whether the request is idempotent; None when not given.
    deadline_ms, staleness_ms
        Milliseconds; None when not given.
    session
        Session name; empty when not given.
    """

    kind: str = ""
    request_id: str = ""
    idempotent: bool | None = None
    deadline_ms: int | None = None
    staleness_ms: int | None = None
    session: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Statement:
    """A classified statement, as needed for routing."""

    text: str
    action: Action | None
    fingerprint: Fingerprint
    tags: Tags


def _parse_duration(name: str, text: str) -> int:
    if not text.isdigit() or len(text) > 9:
        raise StatementError(f"tag {name}: expected whole milliseconds, got {text!r}")
    return int(text)


def _read_tags(comments: str) -> Tags:
    found = {unquote(k): unquote(v) for k, v in _TAG.findall(comments)}
    deadline = found.get("deadline_ms")
    staleness = found.get("staleness_ms")
    return Tags(
        kind=found.get("kind", ""),
        request_id=found.get("request_id", ""),
        idempotent=_YES_NO.get(found.get("idempotent", "")),
        deadline_ms=_parse_duration("deadline_ms", deadline) if deadline else None,
        staleness_ms=_parse_duration("staleness_ms", staleness) if staleness else None,
        session=found.get("session", ""),
    )


def _find_action(without_comments: str) -> Action | None:
    if _BEGIN.match(without_comments):
        return Action.BEGIN
    match = _FIRST_KEYWORD.match(without_comments)
    keyword = match.group(1).lower() if match else ""
    if keyword == "commit":
        return Action.COMMIT
    if keyword == "rollback":
        return Action.ROLLBACK
    if keyword in _WRITE_KEYWORDS or (
        keyword in _READ_KEYWORDS and _LOCKING_READ.search(without_comments)
    ):
        return Action.WRITE
    if keyword == "with" and re.search(
        r"\b(insert|update|delete)\b", without_comments, re.I
    ):
        return Action.WRITE
    return Action.READ if keyword in _READ_KEYWORDS else None


@lru_cache(maxsize=CACHED_STATEMENTS)
def _fingerprint(without_comments: str) -> Fingerprint:
    text = _LITERAL.sub("?", without_comments)
    text = _LIST.sub("(?)", text)
    return Fingerprint(_SPACE.sub(" ", text).lower()[:FINGERPRINT_CHARACTERS])


def _split_comments(sql: str) -> tuple[str, str]:
    # Literals are matched as well, so that '/*' inside one does not start a comment.
    without_comments: list[str] = []
    comments: list[str] = []
    index = 0
    for match in _COMMENT_OR_LITERAL.finditer(sql):
        if match.group(0).startswith("/*"):
            without_comments.append(sql[index : match.start()])
            comments.append(match.group(1))
            index = match.end()
    without_comments.append(sql[index:])
    return " ".join(without_comments).strip().rstrip(";").strip(), ",".join(comments)


def read_statement(sql: str) -> Statement:
    """Classify a statement.

    Parameters
    ----------
    sql
        Statement text as the caller sent it.

    Returns
    -------
    Statement
        ``action`` is None for statements that the proxy answers itself or
        rejects.

    Raises
    ------
    StatementError
        When the text is too long, contains an executable or an unterminated
        comment, several statements or a malformed tag.
    """
    if len(sql) > MAX_STATEMENT_BYTES:
        raise StatementError(f"statement is longer than {MAX_STATEMENT_BYTES} bytes")
    if "/*!" in sql:
        raise StatementError("executable comments are refused")
    without_comments, comments = _split_comments(sql)
    without_literals = _LITERAL.sub("?", without_comments)
    if "/*" in without_literals:
        raise StatementError("unterminated comment")
    if ";" in without_literals:
        raise StatementError("several statements in one request")
    return Statement(
        text=sql,
        action=_find_action(without_comments),
        fingerprint=_fingerprint(without_comments),
        tags=_read_tags(comments),
    )
