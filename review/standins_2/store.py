"""Stand-in for the platform: its object store and its promotion API, over HTTP."""

import asyncio
import copy
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

READ_LIMIT = 1 << 22
WATCH_STEP_S = 0.02

Objects = dict[str, dict[str, Any]]
Reply = tuple[int, dict[str, Any]]


@dataclass(frozen=True, kw_only=True)
class StoreCopy:
    """Copy of what a store holds."""

    kinds: dict[str, Objects]
    revision: int


class Store:
    """Objects by kind and name, with one revision counter.

    Attributes
    ----------
    promotions
        Orders of a promotion, as they came.
    is_away
        Whether connections are closed without an answer.
    era
        How often it has come back from a copy, and one more.
    """

    def __init__(self) -> None:
        self.kinds: dict[str, Objects] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = 1
        self.promotions: list[dict[str, Any]] = []
        self.is_away = False
        self.era = 1
        self.on_promote: Callable[[dict[str, Any]], int] = lambda order: 200

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object as the operator or a server does."""
        objects = self.kinds.setdefault(kind, {})
        self.revision += 1
        created = objects[name]["meta"]["created"] if name in objects else self.revision
        meta = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        objects[name] = {"meta": meta, "spec": spec, "status": None}
        self.history.append((self.revision, kind, objects[name], False))
        return objects[name]

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self.kinds.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            self.history.append((self.revision, kind, found, True))

    def copy(self) -> "StoreCopy":
        """Return a copy of what it holds now."""
        return StoreCopy(kinds=copy.deepcopy(self.kinds), revision=self.revision)

    def restore(self, earlier: "StoreCopy") -> None:
        """Come back from a copy: what was written since is gone."""
        self.kinds = copy.deepcopy(earlier.kinds)
        self.revision = earlier.revision
        self.history = [e for e in self.history if e[0] <= earlier.revision]
        self.era += 1
        self.is_away = False

    async def listen(self) -> str:
        """Listen on a free port; return the address."""
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=READ_LIMIT
        )
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ")
                headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
                size = int(headers.get("content-length", "0"))
                body = json.loads(await reader.readexactly(size)) if size else None
                if self.is_away:
                    return
                era = self.era
                status, content = await self._answer(method, target, body)
                if self.is_away or era != self.era:
                    return
                data = json.dumps(content).encode()
                lines = (
                    f"HTTP/1.1 {status} Answer",
                    "Content-Type: application/json",
                    f"Store-Era: {self.era}",
                    f"Content-Length: {len(data)}",
                )
                writer.write("\r\n".join((*lines, "", "")).encode() + data)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(self, method: str, target: str, body: Any) -> Reply:
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/promote":
            self.promotions.append(body)
            return self.on_promote(body), {}
        words = url.path.removeprefix("/-/objects/").split("/")
        kind, name = words[0], words[1] if len(words) > 1 else ""
        if method == "GET":
            return await self._read(kind, name, query)
        return self._write(method, kind, name, body, query)

    async def _read(self, kind: str, name: str, query: dict[str, str]) -> Reply:
        objects = self.kinds.get(kind, {})
        if name:
            found = objects.get(name)
            return (200, found) if found is not None else (404, {})
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]))
        after = query.get("after", "")
        items = [objects[key] for key in sorted(objects) if key > after]
        body = {"items": items, "hasMore": False, "storeRevision": self.revision}
        return 200, body

    async def _watch(self, kind: str, revision: int, wait_ms: int) -> Reply:
        if revision > self.revision:
            return 410, {}
        era = self.era
        until = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            events = [
                {"object": found, "deleted": deleted}
                for at, of, found, deleted in self.history
                if of == kind and at > revision
            ]
            is_over = self.is_away or era != self.era
            if events or is_over or asyncio.get_running_loop().time() >= until:
                return 200, {"events": events, "storeRevision": self.revision}
            await asyncio.sleep(WATCH_STEP_S)

    def _write(
        self, method: str, kind: str, name: str, body: Any, query: dict[str, str]
    ) -> Reply:
        objects = self.kinds.setdefault(kind, {})
        meta = (body or {}).get("meta", {})
        name = name or meta.get("name", "")
        found = objects.get(name)
        if method == "POST":
            if found is not None:
                return 409, found
            return 201, self.put(kind, name, body.get("spec"))
        if found is None:
            return 404, {}
        wanted = meta.get("revision", query.get("revision"))
        if wanted is not None and int(wanted) != found["meta"]["revision"]:
            return 409, found
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if found["spec"] == body.get("spec"):
            return 200, found
        return 200, self.put(kind, name, body.get("spec"))
