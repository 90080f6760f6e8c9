"""Stand-in for the platform's object API.

It supports versions, conditional writes, watches, rate limits and injected faults. It
can come back from an older copy; each answer names how often it has done so.
"""

import argparse
import asyncio
import json
import time
from dataclasses import dataclass, field

from aiohttp import web

MAX_VALUE_BYTES = 1_000_000
WATCH_S = 20.0
STORE = web.AppKey("store")


@dataclass(kw_only=True)
class Store:
    """Objects with their versions, call counters, and the injected faults."""

    objects: dict[tuple[str, str], tuple[int, object]] = field(default_factory=dict)
    counter: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    outage: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    writes_per_s: int = 400
    reads_per_s: int = 2_000
    calls: dict[str, int] = field(default_factory=dict)
    window: dict[str, list[float]] = field(default_factory=dict)
    era: int = 1

    def admit(self, access: str, limit: int) -> bool:
        """Return whether a call stays within the rate limit of the last second."""
        now = time.monotonic()
        recent = [t for t in self.window.get(access, []) if t > now - 1.0]
        if len(recent) >= limit:
            return False
        self.window[access] = [*recent, now]
        return True

    def put(self, key: tuple[str, str], value: object) -> int:
        """Store a value under a new version."""
        self.counter += 1
        self.objects[key] = (self.counter, value)
        self.notify()
        return self.counter

    def copy(self) -> "StoreCopy":
        """Return a copy of the objects and of the version counter."""
        return StoreCopy(objects=dict(self.objects), counter=self.counter)

    def restore(self, earlier: "StoreCopy") -> None:
        """Come back from a copy: what was written since is lost."""
        self.era += 1
        self.objects = dict(earlier.objects)
        self.counter = earlier.counter
        self.notify()

    def notify(self) -> None:
        """Wake all waiting watches."""
        self.changed.set()
        self.changed = asyncio.Event()


@dataclass(frozen=True, kw_only=True)
class StoreCopy:
    """Copy of a store's objects."""

    objects: dict[tuple[str, str], tuple[int, object]]
    counter: int


async def _name_era(request: web.Request, response: web.StreamResponse) -> None:
    response.headers["Store-Era"] = str(request.app[STORE].era)


def _key(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


def _make_response(store: Store, key: tuple[str, str]) -> web.Response:
    if key not in store.objects:
        return web.json_response({"error": "not found"}, status=404)
    version, value = store.objects[key]
    return web.json_response({"name": key[1], "version": version, "value": value})


class Api:
    """HTTP handlers of the object API."""

    def __init__(self, *, store: Store) -> None:
        self.store = store
        self.earlier = store.copy()

    @web.middleware
    async def inject_faults(self, request: web.Request, handler):
        """Count the call, enforce the rate limit and apply the injected faults."""
        store = self.store
        if request.path == "/faults":
            return await handler(request)
        if store.outage:
            request.transport.close()
            return web.Response(status=503)
        access = "write" if request.method == "PUT" else "read"
        limit = store.writes_per_s if access == "write" else store.reads_per_s
        purpose = request.headers.get("X-Purpose", "other")
        store.calls[purpose] = store.calls.get(purpose, 0) + 1
        if not store.admit(access, limit):
            return web.json_response({"error": "rate limit"}, status=429)
        await asyncio.sleep(store.slow_ms / 1000)
        response = await handler(request)
        if access == "write" and store.lose_answers > 0:
            store.lose_answers -= 1
            request.transport.close()
        return response

    async def read(self, request: web.Request) -> web.Response:
        """Return an object; with ``watch``, wait for a version above that one."""
        store, key = self.store, _key(request)
        known_version = int(request.query.get("watch", "-1"))
        if known_version > store.counter:
            return web.json_response({"error": "no such version"}, status=410)
        era = store.era
        deadline = time.monotonic() + WATCH_S
        while (
            known_version >= 0 and store.objects.get(key, (0, None))[0] <= known_version
        ):
            remaining_s = max(deadline - time.monotonic(), 0)
            try:
                await asyncio.wait_for(store.changed.wait(), remaining_s)
            except TimeoutError:
                return web.Response(status=304)
            if store.outage or store.era != era:
                request.transport.close()
                return web.Response(status=503)
        return _make_response(store, key)

    async def write(self, request: web.Request) -> web.Response:
        """Write an object if its version matches ``If-Match``, when that is sent."""
        store, key = self.store, _key(request)
        body = await request.read()
        if len(body) > MAX_VALUE_BYTES:
            return web.json_response({"error": "too large"}, status=413)
        condition = request.headers.get("If-Match")
        version = store.objects.get(key, (0, None))[0]
        if condition is not None and int(condition) != version:
            return web.json_response({"version": version}, status=412)
        return web.json_response({"version": store.put(key, json.loads(body))})

    async def list_objects(self, request: web.Request) -> web.Response:
        """List the objects of a kind."""
        kind = request.match_info["kind"]
        items = [
            {"name": name, "version": version, "value": value}
            for (k, name), (version, value) in sorted(self.store.objects.items())
            if k == kind
        ]
        return web.json_response({"items": items})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set the injected faults; for GET, return the counted calls by purpose.

        ``copy`` copies the objects, and ``restore`` goes back to the copy.
        """
        if request.method == "GET":
            return web.json_response({"calls": self.store.calls})
        faults = await request.json()
        if faults.pop("copy", False):
            self.earlier = self.store.copy()
        if faults.pop("restore", False):
            self.store.restore(self.earlier)
        for name, value in faults.items():
            setattr(self.store, name, value)
        self.store.notify()
        return web.json_response({})


def make_application(store: Store) -> web.Application:
    """Build the HTTP application of the object API."""
    api = Api(store=store)
    application = web.Application(
        middlewares=[api.inject_faults], client_max_size=MAX_VALUE_BYTES * 2
    )
    application[STORE] = store
    application.on_response_prepare.append(_name_era)
    application.router.add_get("/objects/{kind}/{name}", api.read)
    application.router.add_put("/objects/{kind}/{name}", api.write)
    application.router.add_get("/objects/{kind}", api.list_objects)
    application.router.add_route("*", "/faults", api.set_faults)
    return application


def main() -> None:
    """Serve on loopback until stopped."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    args = parser.parse_args()
    print("ready platform", flush=True)
    web.run_app(
        make_application(Store()),
        host="127.0.0.1",
        port=args.port,
        print=None,
        handle_signals=True,
        shutdown_timeout=0.1,
    )


if __name__ == "__main__":
    main()
