"""Client of the platform's object API."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import Any

from ..exceptions import PlatformConflictError, PlatformError
from .eras import EraTracker, read_era
from .jsonapi import JsonClient, NoAnswerError

CALL_TIMEOUT_S = 3.0
# A watch may wait for a version that a restored platform has yet to give out again,
# so it is not waited for longer than a change may take to be in force.
WATCH_TIMEOUT_S = 8.0
WRITE_TRIES = 5
RETRY_S = 0.2


class Purpose(Enum):
    """Purpose of a call; counted, for comparison with the platform's call rates."""

    SIGN_OFF = "sign-off"
    ROLLOUT = "rollout"
    EVIDENCE = "evidence"
    MEMBERSHIP = "membership"
    FAILOVER = "failover"
    REPORT = "report"


class ObjectKind(Enum):
    """Kinds of object that the fleet stores in the platform."""

    BUNDLE = "bundle"
    PIECE = "piece"
    PROPOSAL = "proposal"
    HISTORY = "history"
    EVIDENCE = "evidence"
    HOST = "host"


@dataclass(frozen=True, kw_only=True, slots=True)
class Stored:
    """An object as the platform stores it, with its version."""

    name: str
    version: int
    value: str


class PlatformClient:
    """Client of the object API over HTTP; counts its calls by purpose.

    Parameters
    ----------
    address
        ``ip:port`` of the API.
    """

    def __init__(self, *, address: str) -> None:
        self.base = f"http://{address}/objects"
        self.calls: Counter[Purpose] = Counter()
        self.eras = EraTracker()
        self._client = JsonClient()

    async def close(self) -> None:
        """Close every connection."""
        await self._client.close()

    async def _call(
        self,
        method: str,
        path: str,
        purpose: Purpose,
        timeout_s: float = CALL_TIMEOUT_S,
        **kwargs: Any,
    ) -> tuple[int, Any]:
        self.calls[purpose] += 1
        headers = {"X-Purpose": purpose.value, **kwargs.pop("headers", {})}
        try:
            answer = await self._client.call(
                method, f"{self.base}/{path}", timeout_s, headers=headers, **kwargs
            )
        except NoAnswerError as error:
            raise PlatformError(f"the platform did not answer: {error}") from None
        if not self.eras.accept(read_era(answer.headers)):
            raise PlatformError("the platform answered from before it was restored")
        return answer.status, answer.body

    async def read(
        self, kind: ObjectKind, name: str, purpose: Purpose
    ) -> Stored | None:
        """Read an object; return None if it does not exist."""
        status, body = await self._call("GET", f"{kind.value}/{name}", purpose)
        return self._parse_object(status, body)

    async def watch(
        self, kind: ObjectKind, name: str, seen: int, purpose: Purpose
    ) -> Stored | None:
        """Wait for a version of an object above ``seen``; None on timeout.

        Raises
        ------
        PlatformError
            If the platform did not answer, or has not given out ``seen`` (any more).
        """
        path = f"{kind.value}/{name}?watch={seen}"
        status, body = await self._call("GET", path, purpose, WATCH_TIMEOUT_S)
        return None if status == 304 else self._parse_object(status, body)

    async def list(self, kind: ObjectKind, purpose: Purpose) -> list[Stored]:
        """List the objects of a kind."""
        status, body = await self._call("GET", kind.value, purpose)
        if status != 200:
            raise PlatformError(
                f"the platform answered {status} to a list of {kind.value!r} objects"
            )
        return [self._parse_item(item) for item in body["items"]]

    async def write(
        self,
        kind: ObjectKind,
        name: str,
        value: str,
        purpose: Purpose,
        version: int | None = None,
    ) -> int:
        """Write an object and return its new version.

        Parameters
        ----------
        kind, name, value
            Object to write.
        purpose
            Purpose of the call.
        version
            Version that the object must have: 0 if it must not exist, None for
            any.

        Raises
        ------
        PlatformConflictError
            If the object has another version.
        PlatformError
            If the platform rejected the write, or did not answer, which leaves
            the outcome unknown.
        """
        headers = {} if version is None else {"If-Match": str(version)}
        status, body = await self._call(
            "PUT", f"{kind.value}/{name}", purpose, headers=headers, json=value
        )
        if status == 412:
            raise PlatformConflictError(int(body["version"]))
        if status != 200:
            raise PlatformError(
                f"the platform answered {status} to a write of {kind.value} {name!r}: "
                f"{body}"
            )
        return int(body["version"])

    async def write_repeatedly(
        self, kind: ObjectKind, name: str, value: str, purpose: Purpose
    ) -> None:
        """Write an object whose name determines its content, with retries."""
        for attempt in range(WRITE_TRIES):
            try:
                await self.write(kind, name, value, purpose)
                return
            except PlatformError:
                if attempt == WRITE_TRIES - 1:
                    raise
                await asyncio.sleep(RETRY_S)

    def _parse_object(self, status: int, body: Any) -> Stored | None:
        if status == 404:
            return None
        if status != 200:
            raise PlatformError(f"the platform answered {status} to a read: {body}")
        return self._parse_item(body)

    def _parse_item(self, item: Any) -> Stored:
        return Stored(
            name=str(item["name"]),
            version=int(item["version"]),
            value=str(item["value"]),
        )
