"""HTTP client for APIs that exchange JSON bodies."""

import json
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp

from .sockets import enable_keepalive


class NoAnswerError(Exception):
    """A call got no usable answer; the server may have executed it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class JsonAnswer:
    """Answer to a call.

    Parameters
    ----------
    status
        HTTP status.
    body
        Decoded body, an empty table when there is none.
    headers
        Headers; their names compare without regard to case.
    """

    status: int
    body: Any
    headers: Mapping[str, str]


def _open_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    raw = socket.socket(family=family, type=kind, proto=protocol)
    raw.setblocking(False)
    enable_keepalive(raw)
    return raw


class JsonClient:
    """Client of JSON APIs that keeps its connections open between calls.

    The library sends a call that may be repeated (any but ``POST``) once more if its
    connection is lost, so the server may execute it twice.

    Parameters
    ----------
    decode
        Decodes the bodies of answers; raises `ValueError` for one that is not JSON.
    """

    def __init__(self, *, decode: Callable[[bytes], Any] = json.loads) -> None:
        self._decode = decode
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(socket_factory=_open_socket)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session

    async def call(
        self, method: str, url: str, timeout_s: float, **kwargs: Any
    ) -> JsonAnswer:
        """Make a call and return its answer.

        Parameters
        ----------
        method, url
            HTTP method and URL of the call.
        timeout_s
            Time limit for the complete answer.
        **kwargs
            Arguments of the request: ``params``, ``json``, ``headers``.

        Raises
        ------
        NoAnswerError
            If the answer is missing, incomplete or not JSON.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._open().request(
                method, url, timeout=timeout, **kwargs
            ) as response:
                body = await response.read()
                return JsonAnswer(
                    status=response.status,
                    body=self._decode(body) if body else {},
                    headers=response.headers,
                )
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise NoAnswerError(repr(error)) from None
