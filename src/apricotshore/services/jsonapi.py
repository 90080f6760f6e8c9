"""HTTP client for APIs that exchange JSON bodies."""

import json
import socket
from typing import Any

import aiohttp

from .sockets import enable_keepalive


class NoAnswerError(Exception):
    """A call got no usable answer; it may have been carried out."""


def _open_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    raw = socket.socket(family=family, type=kind, proto=protocol)
    raw.setblocking(False)
    enable_keepalive(raw)
    return raw


class JsonClient:
    """Calls JSON APIs over connections that are kept between calls."""

    def __init__(self) -> None:
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
    ) -> tuple[int, Any]:
        """Make a call and return the status and the decoded body.

        Parameters
        ----------
        method, url
            What to call.
        timeout_s
            Longest time for the whole answer.
        **kwargs
            Passed on: ``params``, ``json``, ``headers``.

        Raises
        ------
        NoAnswerError
            When no whole answer came, or one that is not JSON.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._open().request(
                method, url, timeout=timeout, **kwargs
            ) as response:
                body = await response.read()
                return response.status, json.loads(body) if body else {}
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise NoAnswerError(repr(error)) from None
