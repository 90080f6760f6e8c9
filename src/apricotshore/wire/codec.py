"""Conversion between Python types and Cap'n Proto structs."""

from collections import Counter
from pathlib import Path
from typing import Any

import capnp

from ..decisions.burn import Bucket, BurnKey
from ..decisions.membership import Member, MemberState
from ..events import Event, Topic
from ..groups import LogPosition
from ..identifiers import (
    BundleVersion,
    CallerId,
    DatabaseId,
    DataCentreId,
    Fingerprint,
    HostId,
    KindId,
    Position,
    RequestId,
    ServerId,
    SessionId,
    Term,
    TransactionId,
)
from ..requests import Action, Cell, Outcome, Redirect, Reply, Request
from ..verdicts import Failure, Reason, Verdict

capnp.remove_import_hook()
schema: Any = capnp.load(str(Path(__file__).with_name("peer.capnp")))


def _write_position(struct: Any, log_position: LogPosition) -> None:
    struct.term = log_position.term
    struct.position = log_position.position


def _read_position(struct: Any) -> LogPosition:
    return LogPosition(term=Term(struct.term), position=Position(struct.position))


def write_request(struct: Any, request: Request) -> None:
    """Fill a Request struct."""
    struct.caller = request.caller
    struct.database = request.database
    struct.session = request.session
    struct.sql = request.sql
    struct.action = request.action.value
    struct.fingerprint = request.fingerprint
    struct.kind = request.kind
    struct.requestId = request.request_id
    _write_position(struct.token, request.token)
    struct.hasToken = request.has_token
    struct.named = request.session_named
    struct.stalenessMs = request.staleness_ms
    struct.deadlineMs = max(request.deadline_ms, 0)
    struct.transaction = request.transaction
    struct.idempotent = request.idempotent


def read_request(struct: Any) -> Request:
    """Read a Request struct."""
    return Request(
        caller=CallerId(struct.caller),
        database=DatabaseId(struct.database),
        session=SessionId(struct.session),
        sql=struct.sql,
        action=Action(struct.action),
        fingerprint=Fingerprint(struct.fingerprint),
        kind=KindId(struct.kind),
        request_id=RequestId(struct.requestId),
        token=_read_position(struct.token),
        has_token=struct.hasToken,
        session_named=struct.named,
        staleness_ms=struct.stalenessMs,
        deadline_ms=struct.deadlineMs,
        transaction=TransactionId(struct.transaction),
        idempotent=struct.idempotent,
    )


def _write_cell(struct: Any, cell: Cell) -> None:
    if cell is None:
        struct.null = None
    elif isinstance(cell, int):
        struct.integer = cell
    elif isinstance(cell, float):
        struct.real = cell
    elif isinstance(cell, bytes):
        struct.bytes = cell
    else:
        struct.text = cell


def _read_cell(struct: Any) -> Cell:
    which = struct.which()
    return None if which == "null" else getattr(struct, which)


def _write_reply(struct: Any, reply: Reply) -> None:
    struct.columns = list(reply.columns)
    rows = struct.init("rows", len(reply.rows))
    for target, row in zip(rows, reply.rows, strict=True):
        cells = target.init("cells", len(row))
        for index, cell in enumerate(row):
            _write_cell(cells[index], cell)
    struct.affectedRows = reply.affected_rows
    struct.lastInsertId = reply.last_insert_id
    _write_position(struct.mark, reply.log_position)
    struct.server = reply.server
    struct.duplicate = reply.duplicate
    struct.transaction = reply.transaction


def _read_reply(struct: Any) -> Reply:
    return Reply(
        columns=tuple(struct.columns),
        rows=tuple(tuple(_read_cell(c) for c in row.cells) for row in struct.rows),
        affected_rows=struct.affectedRows,
        last_insert_id=struct.lastInsertId,
        log_position=_read_position(struct.mark),
        server=ServerId(struct.server),
        duplicate=struct.duplicate,
        transaction=TransactionId(struct.transaction),
    )


def write_outcome(struct: Any, outcome: Outcome) -> None:
    """Fill an Outcome struct."""
    if outcome.reply is not None:
        _write_reply(struct.init("reply"), outcome.reply)
    elif outcome.redirect is not None:
        target = struct.init("redirect")
        target.host = outcome.redirect.host
        target.address = outcome.redirect.address
    elif outcome.failure is not None:
        target = struct.init("failure")
        target.verdict = outcome.failure.verdict.value
        target.reason = outcome.failure.reason.value
        target.detail = outcome.failure.detail
        target.retryAfterMs = outcome.failure.retry_after_ms
        target.errorCode = outcome.failure.error_code


def read_outcome(struct: Any) -> Outcome:
    """Read an Outcome struct."""
    which = struct.which()
    if which == "reply":
        return Outcome(reply=_read_reply(struct.reply))
    if which == "redirect":
        target = struct.redirect
        redirect = Redirect(host=HostId(target.host), address=target.address)
        return Outcome(redirect=redirect)
    failure = struct.failure
    return Outcome(
        failure=Failure(
            verdict=Verdict(failure.verdict),
            reason=Reason(failure.reason),
            detail=failure.detail,
            retry_after_ms=failure.retryAfterMs,
            error_code=failure.errorCode,
        )
    )


def write_members(structs: Any, members: list[Member]) -> None:
    """Fill a list of Member structs of the same length."""
    for struct, member in zip(structs, members, strict=True):
        struct.host = member.host
        struct.address = member.address
        struct.dataCentre = member.data_centre
        struct.incarnation = member.incarnation
        struct.life = member.life.value
        struct.bundle = member.bundle


def read_members(structs: Any) -> list[Member]:
    """Read a list of Member structs."""
    return [
        Member(
            host=HostId(struct.host),
            address=struct.address,
            data_centre=DataCentreId(struct.dataCentre),
            incarnation=struct.incarnation,
            life=MemberState(struct.life),
            bundle=BundleVersion(struct.bundle),
        )
        for struct in structs
    ]


def write_events(structs: Any, events: list[Event]) -> None:
    """Fill a list of Event structs of the same length."""
    for struct, event in zip(structs, events, strict=True):
        struct.atMs = event.at_ms
        struct.host = event.host
        struct.topic = event.topic.value
        struct.subject = event.subject
        struct.step = event.step
        struct.detail = event.detail


def read_events(structs: Any) -> list[Event]:
    """Read a list of Event structs."""
    return [
        Event(
            at_ms=struct.atMs,
            host=HostId(struct.host),
            topic=Topic(struct.topic),
            subject=struct.subject,
            step=struct.step,
            detail=struct.detail,
        )
        for struct in structs
    ]


def write_buckets(structs: Any, buckets: list[Bucket]) -> None:
    """Fill a list of BurnBucket structs of the same length."""
    for struct, bucket in zip(structs, buckets, strict=True):
        struct.caller = bucket.key.caller
        struct.kind = bucket.key.kind
        struct.database = bucket.key.database
        struct.dataCentre = bucket.key.data_centre
        struct.startMs = bucket.start_ms
        struct.good = bucket.good
        counts = struct.init("bad", len(bucket.bad))
        for target, (reason, count) in zip(counts, bucket.bad.items(), strict=True):
            target.reason = reason
            target.count = count


def read_buckets(structs: Any) -> list[Bucket]:
    """Read a list of BurnBucket structs."""
    return [
        Bucket(
            key=BurnKey(
                caller=CallerId(struct.caller),
                kind=KindId(struct.kind),
                database=DatabaseId(struct.database),
                data_centre=DataCentreId(struct.dataCentre),
            ),
            start_ms=struct.startMs,
            good=struct.good,
            bad=Counter({c.reason: c.count for c in struct.bad}),
        )
        for struct in structs
    ]
