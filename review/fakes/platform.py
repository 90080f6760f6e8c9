"""Stand-in for the platform: its metadata store and its promotion API."""

import asyncio
import copy
import json
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from .database import Service
from .record import Record

ANSWER_S = 0.004
WATCH_STEP_S = 0.01
SILENCE_S = 60.0
# In a specification, stands for a number that Python cannot encode as JSON.
RAW_NUMBER = "@number:"
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, kw_only=True)
class Event:
    """Change of an object."""

    revision: int
    kind: str
    item: dict[str, Any]
    deleted: bool


@dataclass(frozen=True, kw_only=True)
class Order:
    """A promotion that a host ordered."""

    service: str
    backend: str
    token: int
    holder: str

    def describe(self) -> str:
        """Return the order as a line of the record."""
        return f"promote {self.backend} of {self.service} by {self.holder}"


def _encode(body: Any) -> str:
    parts = json.dumps(body).split(f'"{RAW_NUMBER}')
    return parts[0] + "".join(p.replace('"', "", 1) for p in parts[1:])


def _answer(body: Any, status: int = 200) -> web.Response:
    return web.Response(
        text=_encode(body), status=status, content_type="application/json"
    )


class Platform:
    """The platform's store and its promotion API, at one address.

    Parameters
    ----------
    record
        Record of the case.
    services
        Services whose primary a promotion changes, by name.
    delay_order
        Returns after how many seconds an order is carried out without an answer;
        None to answer it and carry it out at once.
    """

    def __init__(
        self,
        *,
        record: Record,
        services: dict[str, Service],
        delay_order: Callable[[Order], float | None] = lambda order: None,
    ) -> None:
        self.record = record
        self.services = services
        self.delay_order = delay_order
        self.revision = 7
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.events: list[Event] = []
        self.tokens: dict[str, int] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.store_port = 0
        self.promotion_port = 0

    async def start(self) -> None:
        """Listen on two free loopback ports."""
        self.store_port = await self._listen(self._handle)
        self.promotion_port = await self._listen(self._promote)

    async def _listen(self, handle: Handler) -> int:
        application = web.Application()
        application.on_response_prepare.append(self._name_era)
        application.router.add_route("*", "/{path:.*}", handle)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return runner.addresses[0][1]

    async def _name_era(self, _: web.Request, response: web.StreamResponse) -> None:
        response.headers["Store-Era"] = "1"

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run work in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # -- objects --

    def write(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object."""
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "finalizers": []}
        item = {"meta": meta, "spec": copy.deepcopy(spec), "status": {}}
        self.objects.setdefault(kind, {})[name] = item
        self._add_event(kind, item, deleted=False)

    def write_changed(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object unless it is the same already."""
        old = self.objects.get(kind, {}).get(name)
        if old is None or old["spec"] != spec:
            self.write(kind, name, spec)

    def remove(self, kind: str, name: str) -> bool:
        """Remove an object; return whether there was one."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._add_event(kind, item, deleted=True)
        return item is not None

    def _add_event(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self.events.append(
            Event(revision=self.revision, kind=kind, item=item, deleted=deleted)
        )

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(ANSWER_S)
        body = await request.json() if request.can_read_body else {}
        parts = request.path.strip("/").split("/")[2:]
        if request.method == "GET":
            return await self._get(request, parts)
        if request.method == "DELETE":
            return _answer({}, 200 if self.remove(*parts) else 404)
        return self._put(body, parts)

    async def _get(self, request: web.Request, parts: list[str]) -> web.Response:
        found = self.objects.get(parts[0], {})
        if len(parts) > 1:
            item = found.get(parts[1])
            return _answer({}, 404) if item is None else _answer(item)
        if "watch" in request.query:
            return await self._watch(request, parts[0])
        items = [found[name] for name in sorted(found)]
        return _answer(
            {"items": items, "hasMore": False, "storeRevision": self.revision}
        )

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        since = int(request.query["watch"])
        until = self.record.now() + int(request.query["waitMs"]) / 1000
        while True:
            found = [e for e in self.events if e.revision > since and e.kind == kind]
            if found or self.record.now() >= until:
                break
            await asyncio.sleep(WATCH_STEP_S)
        events = [{"object": e.item, "deleted": e.deleted} for e in found]
        return _answer({"events": events, "storeRevision": self.revision})

    def _put(self, body: dict[str, Any], parts: list[str]) -> web.Response:
        kind, name = parts[0], body["meta"]["name"]
        old = self.objects.get(kind, {}).get(name)
        expected = body["meta"].get("revision")
        if len(parts) == 1 and old is not None:
            return _answer(old, 409)
        if len(parts) > 1 and old is None:
            return _answer({}, 404)
        if old is not None and expected not in (None, old["meta"]["revision"]):
            return _answer(old, 409)
        self.write(kind, name, body["spec"])
        if kind == "handovers":
            self.record.add(f"the store wrote {name}: {body['spec']}")
        return _answer(self.objects[kind][name], 201 if len(parts) == 1 else 200)

    # -- promotions --

    async def _promote(self, request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(ANSWER_S)
        body = await request.json()
        order = Order(
            service=body["service"],
            backend=body["id"],
            token=int(request.headers["Fencing-Token"]),
            holder=request.headers["Lease-Holder"],
        )
        delay_s = self.delay_order(order)
        if delay_s is None:
            accepted = self._carry_out(order)
            self.record.show(f"{order.describe()}: {200 if accepted else 409}")
            return _answer({}, 200 if accepted else 409)
        self.record.show(f"{order.describe()}: no answer, due in {delay_s:.1f} s")
        self.spawn(self._carry_out_late(order, delay_s))
        await asyncio.sleep(SILENCE_S)
        return _answer({})

    async def _carry_out_late(self, order: Order, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        accepted = self._carry_out(order)
        result = "accepted" if accepted else "refused by its fence"
        self.record.show(f"{order.describe()}: carried out late, {result}")

    def _carry_out(self, order: Order) -> bool:
        service = self.services[order.service]
        target = service.backends.get(order.backend)
        if order.token < self.tokens.get(order.service, 0):
            return False
        if target is None or target.dark:
            return False
        self.tokens[order.service] = order.token
        if target is not service.primary:
            self.spawn(service.promote(order.backend))
        return True
