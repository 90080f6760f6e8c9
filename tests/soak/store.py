"""Stand-in for the platform's object store and promotion API, with faults."""

import asyncio
import copy
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from aiohttp import web

from .model import Checker, Group, Order, Server, TargetStops, now

SILENCE_S = 60.0
SLOW_ANSWER_S = 0.4
# From a promotion that was accepted to an answer that comes late.
LATE_PROMOTION_S = (0.1, 1.5)
ANSWER_S = 0.004
WATCH_POLL_S = 0.01
LEASES = "handovers"
# Before the name of a host that has left its lease to the others.
LEFT_BY = "left-by:"
# Age at which a lease may be taken by another host, and by the next process of one.
LEASE_S = 6.0
NEXT_PROCESS_S = 2.0


class StoreMode(Enum):
    """How the store answers the requests of a host."""

    NORMAL = "well"
    SILENT = "silent"
    BUSY = "busy"
    RATE_LIMITED = "many"
    RESET = "reset"
    SLOW = "slow"
    LOSES_ANSWERS = "loses-answers"


@dataclass(frozen=True, kw_only=True)
class StoreCopy:
    """Copy of the store's content at one time."""

    revision: int
    oldest_revision: int
    objects: dict[str, dict[str, dict[str, Any]]]
    events: tuple["Event", ...]


@dataclass(kw_only=True)
class Event:
    """Change of an object, as watches report it."""

    revision: int
    kind: str
    item: dict[str, Any]
    deleted: bool


@dataclass(kw_only=True)
class Store:
    """Versioned objects, served to each host at an address of its own.

    Parameters
    ----------
    groups
        Groups whose primary a promotion changes.
    checker
        Records violations.
    random
        Source of lost answers and of the delay of late promotions.
    modes
        Mode for each host; the default is normal.
    late_promotions
        Whether promotions get no answer in time and also take effect late.
    addresses
        Address at which a host reaches a server, by the names of both; by
        an empty name and that of a host, the address at which its peers reach it.
    era
        Number of times that it came back from an older copy, plus one.
    away
        Whether it resets every connection.
    restored_at
        When it last came back, in seconds of the soak's clock.
    calls
        Number of calls of the promotion API, by group.
    accepted
        Servers whose promotion was accepted, by group, in order.
    """

    groups: dict[str, Group]
    checker: Checker
    random: random.Random
    modes: dict[str, StoreMode] = field(default_factory=dict)
    late_promotions: bool = False
    addresses: dict[tuple[str, str], str] = field(default_factory=dict)
    era: int = 1
    away: bool = False
    restored_at: float = 0.0
    revision: int = 7
    oldest_revision: int = 0
    objects: dict[str, dict[str, dict[str, Any]]] = field(default_factory=dict)
    events: list[Event] = field(default_factory=list)
    tokens: dict[str, tuple[int, str]] = field(default_factory=dict)
    calls: Counter[str] = field(default_factory=Counter)
    accepted: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    leased_at: dict[str, float] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def listen(self, host: str) -> int:
        """Serve one host; returns the port."""

        async def handle(request: web.Request) -> web.StreamResponse:
            return await self._handle(host, request)

        async def name_era(_: web.Request, response: web.StreamResponse) -> None:
            response.headers["Store-Era"] = str(self.era)

        application = web.Application()
        application.on_response_prepare.append(name_era)
        application.router.add_route("*", "/{path:.*}", handle)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return runner.addresses[0][1]

    # -- changes by the operator and the servers --

    def write(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Create or replace an object unless it is unchanged."""
        old = self.objects.setdefault(kind, {}).get(name)
        if old is not None and old["spec"] == spec:
            return
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "finalizers": []}
        item = {"meta": meta, "spec": spec, "status": {}}
        self.objects[kind][name] = item
        self.events.append(
            Event(revision=self.revision, kind=kind, item=item, deleted=False)
        )

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is None:
            return
        self.revision += 1
        self.events.append(
            Event(revision=self.revision, kind=kind, item=item, deleted=True)
        )

    def copy(self) -> StoreCopy:
        """Return a copy of the content."""
        return StoreCopy(
            revision=self.revision,
            oldest_revision=self.oldest_revision,
            objects=copy.deepcopy(self.objects),
            events=tuple(self.events),
        )

    def restore(self, earlier: StoreCopy) -> None:
        """Come back from an earlier copy; what was written since is lost."""
        self.era += 1
        self.revision = earlier.revision
        self.oldest_revision = earlier.oldest_revision
        self.objects = copy.deepcopy(earlier.objects)
        self.events = list(earlier.events)
        self.restored_at = now()
        self.away = False

    def drop_history(self) -> None:
        """Drop the history of changes, so that watches must start again."""
        self.oldest_revision = self.revision
        self.events.clear()

    # -- requests --

    async def _handle(self, host: str, request: web.Request) -> web.StreamResponse:
        mode = self.modes.get(host, StoreMode.NORMAL)
        if mode is StoreMode.SILENT:
            await asyncio.sleep(SILENCE_S)
        if mode is StoreMode.RESET and request.transport is not None:
            request.transport.abort()
        if self.away and request.path != "/promote":
            return _reset(request)
        if mode in (StoreMode.BUSY, StoreMode.RATE_LIMITED):
            return web.Response(status=503 if mode is StoreMode.BUSY else 429)
        await asyncio.sleep(SLOW_ANSWER_S if mode is StoreMode.SLOW else ANSWER_S)
        body = await request.json() if request.can_read_body else {}
        if request.path == "/promote":
            return await self._handle_promotion(request, body)
        parts = request.path.strip("/").split("/")[2:]
        if request.method == "GET":
            answer = await self._get(host, request, parts)
        elif request.method == "DELETE":
            self.remove(*parts)
            answer = web.json_response({})
        else:
            answer = self._put(host, body, parts)
            if mode is StoreMode.LOSES_ANSWERS and self.random.random() < 0.4:
                await asyncio.sleep(SILENCE_S)
        return answer

    def _substitute_address(self, host: str, item: dict[str, Any]) -> dict[str, Any]:
        """Return an item with the address of the proxy between it and the host."""
        if item["spec"].get("members"):
            return self._substitute_members(host, item)
        name = item["meta"]["name"]
        for seen_by, key in ((host, "address"), ("", "peerAddress")):
            address = self.addresses.get((seen_by, name))
            if address is not None and key in item["spec"]:
                break
        else:
            return item
        copied = copy.deepcopy(item)
        copied["spec"][key] = address
        return copied

    def _substitute_members(self, host: str, item: dict[str, Any]) -> dict[str, Any]:
        """Return an item with the addresses at which a host reaches its members."""
        if not item["spec"].get("members"):
            return item
        copied = copy.deepcopy(item)
        for member in copied["spec"]["members"]:
            key = (host, member["id"])
            member["address"] = self.addresses.get(key, member["address"])
        return copied

    async def _get(
        self, host: str, request: web.Request, parts: list[str]
    ) -> web.Response:
        found = self.objects.get(parts[0], {})
        if len(parts) > 1:
            item = found.get(parts[1])
            if item is None:
                return web.Response(status=404)
            return web.json_response(self._substitute_address(host, item))
        if "watch" in request.query:
            return await self._watch(host, request, parts[0])
        items = [self._substitute_address(host, item) for item in found.values()]
        return web.json_response(
            {"items": items, "hasMore": False, "storeRevision": self.revision}
        )

    async def _watch(self, host: str, request: web.Request, kind: str) -> web.Response:
        since, era = int(request.query["watch"]), self.era
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query["waitMs"]) / 1000
        while True:
            if self.away or era != self.era:
                return _reset(request)
            if not self.oldest_revision <= since <= self.revision:
                return web.Response(status=410)
            if self.modes.get(host, StoreMode.NORMAL) is StoreMode.SILENT:
                await asyncio.sleep(SILENCE_S)
            found = [e for e in self.events if e.revision > since and e.kind == kind]
            if found or loop.time() >= until:
                break
            await asyncio.sleep(WATCH_POLL_S)
        events = [
            {"object": self._substitute_address(host, e.item), "deleted": e.deleted}
            for e in found
        ]
        return web.json_response({"events": events, "storeRevision": self.revision})

    def _put(self, host: str, body: dict[str, Any], parts: list[str]) -> web.Response:
        kind, name = parts[0], body["meta"]["name"]
        old = self.objects.get(kind, {}).get(name)
        expected_revision = body["meta"].get("revision")
        if len(parts) == 1 and old is not None:
            return web.json_response(self._substitute_members(host, old), status=409)
        if len(parts) > 1 and old is None:
            return web.Response(status=404)
        if old is not None and expected_revision not in (None, old["meta"]["revision"]):
            return web.json_response(self._substitute_members(host, old), status=409)
        if kind == LEASES:
            self._check_lease(name, old["spec"] if old else {}, body["spec"])
        self.write(kind, name, body["spec"])
        item = self._substitute_members(host, self.objects[kind][name])
        return web.json_response(item)

    def _check_lease(self, name: str, old: dict[str, Any], new: dict[str, Any]) -> None:
        """Record a violation if a host writes over the lease that another holds."""
        target = f", target {new['target']}" if new.get("target") else ""
        state = "open" if new["open"] else "released"
        self.checker.add_note(f"lease {name}: {new['holder']} {state}{target}")
        before, after = (s.get("holder", "").rpartition("/")[0] for s in (old, new))
        age_s = now() - self.leased_at.get(name, 0.0)
        # A host that stops may leave its lease to whoever takes it first.
        writer = new["holder"].removeprefix(LEFT_BY)
        is_held = old.get("open") and not old["holder"].startswith(LEFT_BY)
        is_taken = is_held and old["holder"] != writer
        if is_taken and age_s < (NEXT_PROCESS_S if before == after else LEASE_S):
            detail = (
                f"{after} wrote over the lease {name} of {before}, {age_s:.3f} s old"
            )
            self.checker.add_violation("ONE", detail)
        self.leased_at[name] = now()

    async def _handle_promotion(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.StreamResponse:
        promotion = (
            body["service"],
            body["id"],
            int(request.headers["Fencing-Token"]),
            request.headers["Lease-Holder"],
        )
        group = self.groups[body["service"]]
        self.calls[group.name] += 1
        lost_share = group.leeway.unanswered_promotion_share
        if self.late_promotions or (lost_share and self.random.random() < lost_share):
            self._spawn(self._promote_late(*promotion))
            await asyncio.sleep(SILENCE_S)
        stopped = self._stop_at_call(group, body["id"])
        await asyncio.sleep(self.random.uniform(*group.leeway.acceptance_s))
        is_accepted = self._accept_promotion(*promotion)
        if stopped is not None and not is_accepted:
            stopped.is_ordered = False
        status = 200 if is_accepted else 409
        late_share = group.leeway.late_promotion_share
        if late_share and self.random.random() < late_share:
            await asyncio.sleep(self.random.uniform(*LATE_PROMOTION_S))
        return web.json_response({}, status=status)

    def _stop_at_call(self, group: Group, name: str) -> Server | None:
        """Return the server that receives nothing from now on, None without one."""
        server = group.servers.get(name)
        is_early = group.leeway.target_stops is TargetStops.AT_CALL
        if server is None or server.is_ordered or not is_early:
            return None
        if group.is_present(server):
            return None
        server.is_ordered = True
        return server

    async def _promote_late(self, *promotion: Any) -> None:
        unanswered_s = self.groups[promotion[0]].leeway.unanswered_s
        await asyncio.sleep(self.random.uniform(*unanswered_s))
        self._accept_promotion(*promotion)

    def _accept_promotion(
        self, service: str, name: str, token: int, holder: str
    ) -> bool:
        group = self.groups[service]
        highest, accepted_holder = self.tokens.get(service, (0, ""))
        server = group.servers.get(name)
        order = f"order of {name} by {holder} with {token}"
        if token < highest or server is None or not server.up:
            self.checker.add_note(f"{order}, refused")
            return False
        self.checker.add_note(order)
        if token == highest and accepted_holder not in ("", holder):
            self.checker.add_violation(
                "ONE", f"{accepted_holder} and {holder} promote with {token}"
            )
        self.tokens[service] = (token, holder)
        self.accepted[service].append(name)
        accepted = group.accept(name)
        if not group.is_present(server):
            if group.leeway.call_ends_pauses:
                for each in group.servers.values():
                    each.paused_term = 0
            server.is_ordered = group.leeway.target_stops is not TargetStops.AT_EFFECT
            self._spawn(self._finish_promotion(group, accepted))
        return True

    async def _finish_promotion(self, group: Group, order: Order) -> None:
        await asyncio.sleep(group.draw_promotion())
        group.promote(order.server, order)

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _reset(request: web.Request) -> web.Response:
    """Reset a request's connection; the response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)
