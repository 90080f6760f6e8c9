"""Search over every order of events around a stop, each run with the real classes."""

import asyncio
import json
from collections.abc import Callable, Iterator, Mapping

from .stepping import SteppedLoop
from .stopping_host import StoppingHost

Order = tuple[str, ...]
# Returns False where the event can't happen now.
Event = Callable[[StoppingHost], bool | None]
_SHOWN = (bool, int, str, type(None))


def find_faults(
    loop: SteppedLoop,
    make: Callable[[], StoppingHost],
    events: Mapping[str, Event],
    depth: int,
) -> Iterator[tuple[Order, list[str]]]:
    """Run every order of events up to a length, then the stop to its end.

    Yield each order and its faults. Orders that lead to the same state are followed
    once. Tasks can't be copied, so each order is run from its beginning.
    """
    orders: list[Order] = [()]
    seen: set[str] = set()
    for _ in range(depth):
        longer = []
        for order in orders:
            for name in events:
                host = _run(loop, make, events, (*order, name))
                if host is None:
                    continue
                state = describe(loop, host)
                if state in seen:
                    continue
                seen.add(state)
                longer.append((*order, name))
                host.finish()
                yield (*order, name), host.list_faults(has_ended=True)
        orders = longer


def _run(
    loop: SteppedLoop,
    make: Callable[[], StoppingHost],
    events: Mapping[str, Event],
    order: Order,
) -> StoppingHost | None:
    loop.cancel_all()
    loop.reset()
    host = make()
    for name in order:
        if events[name](host) is False:
            return None
    return host


def describe(loop: SteppedLoop, host: StoppingHost) -> str:
    """Return all that what follows depends on."""
    tasks = sorted(asyncio.all_tasks(loop), key=lambda t: int(t.get_name()[5:]))
    numbers = {task: number for number, task in enumerate(tasks)}
    return json.dumps(
        [
            loop.now_ms,
            [_describe_task(task) for task in tasks],
            [_describe_handle(handle, numbers) for handle in loop._ready],
            sorted(
                (round(t._when * 1_000), *_describe_handle(t, numbers))
                for t in loop._scheduled
                if not t._cancelled
            ),
            [
                (r.unread.decode(), r.read.decode(), r.answered.decode(), r.is_closed)
                for r in host.sockets
            ],
            [_describe_session(session) for session in host.callers.sessions],
            [_describe_reader(t) for t in loop.transports],
            [host.drain.began_at, host.drain.exiting, host.readiness.is_loaded],
            [len(host.raw.backlog), host.raw.is_closed, host.metrics.count_cuts()],
            [len(host.server.running), host.intake.gate.taken, len(loop.errors)],
            host.configuration.version,
        ],
        default=str,
    )


def _describe_task(task: asyncio.Task) -> list[object]:
    found: list[object] = [task._must_cancel, _is_done(task._fut_waiter)]
    waits = task.get_coro()
    while waits is not None and hasattr(waits, "cr_frame"):
        frame = waits.cr_frame
        if frame is None:
            break
        values = {
            name: value
            for name, value in frame.f_locals.items()
            if isinstance(value, _SHOWN)
        }
        found.append([frame.f_code.co_name, frame.f_lasti, values])
        waits = waits.cr_await
    return found


def _is_done(future: asyncio.Future | None) -> bool | None:
    return None if future is None else future.done()


def _describe_handle(handle: asyncio.Handle, numbers: dict) -> list[object]:
    callback = handle._callback
    owner = getattr(callback, "__self__", None)
    number = numbers.get(owner, -1) if isinstance(owner, asyncio.Task) else -1
    name = getattr(callback, "__qualname__", type(callback).__name__)
    return [name, type(owner).__name__, number]


def _describe_session(session) -> list[object]:
    transaction, work = session.session.transaction, session.at_work
    return [
        session.idle,
        session.ended_operation,
        session.operations,
        session.quiet_since,
        session.opened_at,
        session.session.revoked,
        transaction and (transaction.failed, transaction.abort_reason),
        work and (work.query.request, work.stage, work.arrived_at),
    ]


def _describe_reader(transport) -> list[object]:
    reader = transport.protocol.reader
    waiter = reader._waiter
    account = reader.account
    return [
        len(reader._buffer),
        reader.ends_when_empty,
        reader.closed_for,
        _is_done(waiter),
        transport.is_paused,
        transport.has_ended,
        account and (account.connection.phase, account.connection.due_at),
    ]
