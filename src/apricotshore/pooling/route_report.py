"""Report where a request would go now, and why, from the state that routes it."""

from collections.abc import Mapping
from enum import Enum

from .. import outages
from ..decisions import placement, position_history
from ..exceptions import ApricotshoreError
from ..groups import LogPosition
from ..identifiers import DatabaseId, OrganisationId, Position, Term
from ..queries import Query, QueryKind
from ..routes import Route
from ..services.clock import read_boot_ms
from . import group_outages
from .group import Group
from .pool import ServerPool
from .preparation import ATTEMPTS, find_min_position
from .sessions import Context, Job, Session


class RequestKind(Enum):
    """Kind of a request whose route is asked for."""

    READ = "read"
    READ_TRANSACTION = "read-transaction"
    WRITE = "write"
    TRANSACTION = "transaction"


class UnknownRouteError(ApricotshoreError):
    """Request that has no route on this host."""


def parse_position(text: str) -> LogPosition:
    """Parse a log position such as ``9.3289``.

    Raises
    ------
    UnknownRouteError
        When it is none.
    """
    term, _, number = text.partition(".")
    if not (term.isdigit() and number.isdigit()):
        raise UnknownRouteError(f"expected a position such as 9.3289, got {text!r}")
    return LogPosition(term=Term(int(term)), position=Position(int(number)))


def report_route(context: Context, request: Mapping[str, str]) -> dict[str, object]:
    """Return where a request would go now, and why, without sending it.

    Parameters
    ----------
    context
        Services of the host.
    request
        ``database``; optionally ``kind``, ``organisation`` and ``position`` (the last
        commit of the session).

    Raises
    ------
    UnknownRouteError
        When the request has no route.
    """
    configuration = context.configuration()
    database = DatabaseId(request.get("database", ""))
    route = configuration.routes.get(database)
    if route is None:
        raise UnknownRouteError(f"database {database!r} has no route")
    try:
        kind = RequestKind(request.get("kind", RequestKind.READ.value))
    except ValueError:
        kinds = ", ".join(kind.value for kind in RequestKind)
        raise UnknownRouteError(f"expected a kind of {kinds}") from None
    report: dict[str, object] = {
        "host": context.host,
        "configuration_version": configuration.version,
        "database": database,
        "kind": kind.value,
        "group": route.group,
        "consistency": route.consistency.value,
        "staleness_ms": route.staleness_ms,
        "objective_ms": route.target_ms,
        "timeout_ms": route.timeout_ms,
    }
    name = request.get("organisation", "")
    if name:
        found = (configuration.organisations or {}).get(OrganisationId(name))
        if found is None:
            raise UnknownRouteError(f"organisation {name!r} is not configured")
        report |= {"organisation": name, "priority": found.priority}
    group = context.find_group(route.group)
    if group is None:
        return report | {"goes_to": None, "why": "no servers are known"}
    session = Session(database=database)
    if request.get("position"):
        session.log_position = parse_position(request["position"])
    return report | _report_group(group, session, route, kind)


def _report_group(
    group: Group, session: Session, route: Route, kind: RequestKind
) -> dict[str, object]:
    now = read_boot_ms()
    reads = kind in (RequestKind.READ, RequestKind.READ_TRANSACTION)
    needed = find_min_position(group, session, route, now) if reads else None
    ranked = group.preview_readers() if needed is not None else []
    places = {pool.server.server: place for place, pool in enumerate(ranked, 1)}
    report: dict[str, object] = {
        "sample_age_ms": position_history.find_age(group.position_history, now),
        "needed_position": f"{needed.term}.{needed.position}" if needed else None,
        "primary": _report_primary(group, now),
        "outage": _report_outage(group, route, now),
        "spillover": group.spillover and group.spillover.describe(),
        "servers": [
            _report_server(pool, places.get(server), now)
            for server, pool in sorted(
                group.pools.items(),
                key=lambda item: places.get(item[0], len(places) + 1),
            )
        ],
    }
    if ranked:
        offered = [pool.server.server for pool in ranked[:ATTEMPTS]]
        why = "the best server at or past the needed position"
        return {"goes_to": offered[0], "then": offered[1:], "why": why, **report}
    return {**_choose_primary(group, route, reads), **report}


def _choose_primary(group: Group, route: Route, reads: bool) -> dict[str, object]:
    """Return the primary as the target, or why the request would wait or be refused."""
    if not reads:
        why = "only the primary runs it"
    elif not route.reads_replicas:
        why = "its reads are the latest"
    else:
        why = "no position sample is young enough, or no server is left"
    cause, _ = group_outages.find_cause(group)
    if cause is not None:
        return {"goes_to": None, "why": f"{why}; outage: {cause.value}"}
    if not group.may_send_to_primary:
        return {"goes_to": None, "why": f"{why}; the primary is leaving"}
    return {"goes_to": group.primary, "why": why}


def _report_primary(group: Group, now: int) -> dict[str, object]:
    state = group.primary_state
    silent = state.silent_since
    return {
        "server": group.primary,
        "term": state.term,
        "confirmed_age_ms": now - state.confirmed_at if state.confirmed_at else None,
        "silent_for_ms": None if silent is None else now - silent,
    }


def _report_outage(group: Group, route: Route, now: int) -> dict[str, object] | None:
    cause, since = group_outages.find_cause(group)
    if cause is None:
        return None
    report: dict[str, object] = {
        "cause": cause.value,
        "lasts_ms": None if since is None else now - since,
        "early_rejection": group.early_rejection,
    }
    current = group.outages.current
    if group.early_rejection and current is not None:
        query = Query(kind=QueryKind.READ)
        job = Job(query=query, shape=None, route=route, arrived_at=now)
        found = group_outages.decide(group, job, now)
        report["may_end_in_ms"] = outages.list_left_ms(group.outages, current, now)
        report["decision"] = repr(found)
    return report


def _report_server(pool: ServerPool, place: int | None, now: int) -> dict[str, object]:
    load, times = pool.load, pool.times
    answered = times.answered_ms
    return {
        "rank": place,
        "server": load.server,
        "distance": load.distance.name.lower(),
        "expected_ms": round(placement.estimate_ms(load, now), 1),
        "queueing_ms": round(placement.find_delay(load, now), 1),
        "observed_age_ms": now - load.delay_at if load.delay_at else None,
        "outstanding": load.outstanding,
        "read_ms": None if answered is None else round(answered, 1),
        "read_age_ms": None if answered is None else now - times.answered_at,
        "shed": round(times.shed, 2),
        "avoided_as_behind_ms": max(0, load.behind_until - now),
        "avoided_as_silent_ms": max(0, load.silent_until - now),
        "leaving": load.leaving,
        "replaced": pool.gate.is_shut,
        "connections": {"used": len(pool.used), "idle": len(pool.idle)},
        "waiting": len(pool.wait_queue.heap),
    }


def format_report(report: Mapping[str, object], indent: str = "") -> list[str]:
    """Return a report as lines of text."""
    lines = []
    for name, value in report.items():
        if isinstance(value, Mapping):
            lines += [f"{indent}{name}:", *format_report(value, indent + "  ")]
        elif isinstance(value, list) and value and isinstance(value[0], Mapping):
            lines.append(f"{indent}{name}:")
            for entry in value:
                cells = (f"{k}={v}" for k, v in entry.items() if v not in (None, False))
                lines.append(f"{indent}  " + " ".join(cells))
        else:
            lines.append(f"{indent}{name}: {value}")
    return lines
