"""HTTP client for APIs that exchange JSON bodies."""

import asyncio
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import SplitResult, quote, urlencode, urlsplit

import h11

from .sockets import enable_keepalive

READ_BYTES = 1 << 16
# Bounds the memory of one answer. Lists that are read whole have several MB.
MAX_BODY_BYTES = 1 << 25
DEFAULT_PORT = 80
# Idle connections to one server; further ones are closed after their call.
MAX_IDLE = 8
# Characters that a path or a query keeps as they are.
SAFE_CHARACTERS = "/?&=%:@-._~!$'()*+,;"


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
        Headers, by their names in lower case.
    """

    status: int
    body: Any
    headers: Mapping[str, str]


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A call as it is sent.

    Parameters
    ----------
    method, target
        HTTP method, and path with the query.
    headers, body
        Headers and body.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes

    @property
    def may_be_repeated(self) -> bool:
        """Whether the server may execute it twice."""
        return self.method != "POST"


@dataclass(kw_only=True)
class HttpConnection:
    """An open connection to a server.

    Parameters
    ----------
    reader, writer
        Stream of the connection.
    state
        State of the protocol on it.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    state: h11.Connection = field(
        default_factory=lambda: h11.Connection(our_role=h11.CLIENT)
    )

    @property
    def is_open(self) -> bool:
        """Whether the server has not closed it."""
        return not (self.reader.at_eof() or self.writer.is_closing())


class _ConnectionClosedError(OSError):
    """Close of a connection by the server before any byte of an answer."""


async def _connect(host: str, port: int) -> HttpConnection:
    reader, writer = await asyncio.open_connection(host, port)
    enable_keepalive(writer.get_extra_info("socket"))
    return HttpConnection(reader=reader, writer=writer)


def _make_request(
    method: str,
    url: SplitResult,
    params: Mapping[str, str] | None,
    content: Any,
    headers: Mapping[str, str] | None,
) -> Request:
    query = "&".join(q for q in (url.query, urlencode(params or {})) if q)
    target = (url.path or "/") + (f"?{query}" if query else "")
    fields = [("Host", url.netloc), *(headers or {}).items()]
    body = b""
    if content is not None:
        body = json.dumps(content).encode()
        fields.append(("Content-Type", "application/json"))
    if body or method in ("POST", "PUT"):
        fields.append(("Content-Length", str(len(body))))
    return Request(
        method=method,
        target=quote(target, safe=SAFE_CHARACTERS),
        headers=fields,
        body=body,
    )


async def _exchange(
    link: HttpConnection, request: Request
) -> tuple[h11.Response, bytes]:
    """Send a request and return the head and the body of its answer.

    Raises
    ------
    _ConnectionClosedError
        When the server closed the connection before it answered anything.
    OSError, h11.ProtocolError
        When the connection was lost or the answer is malformed.
    """
    link.writer.write(_encode(link.state, request))
    response: h11.Response | None = None
    body = bytearray()
    received = False
    while True:
        event = link.state.next_event()
        if event is h11.NEED_DATA:
            link.state.receive_data(await _read(link, is_first=not received))
            received = True
        elif isinstance(event, h11.Response):
            response = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise h11.RemoteProtocolError("the body of the answer is too large")
        elif isinstance(event, h11.EndOfMessage) and response is not None:
            return response, bytes(body)
        elif isinstance(event, h11.ConnectionClosed):
            raise OSError("closed amid an answer")


def _encode(state: h11.Connection, request: Request) -> bytes:
    head = h11.Request(
        method=request.method, target=request.target, headers=request.headers
    )
    parts = [state.send(head)]
    if request.body:
        parts.append(state.send(h11.Data(data=request.body)))
    parts.append(state.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)


async def _read(link: HttpConnection, *, is_first: bool) -> bytes:
    """Read a part of an answer, empty at the end of the connection."""
    if not is_first:
        return await link.reader.read(READ_BYTES)
    try:
        data = await link.reader.read(READ_BYTES)
    except OSError as error:
        raise _ConnectionClosedError(repr(error)) from None
    if not data:
        raise _ConnectionClosedError("closed before an answer")
    return data


class JsonClient:
    """Client of JSON APIs that keeps its connections open between calls.

    A call that may be repeated (any but ``POST``) is sent once more if the connection
    is closed before an answer, so the server may execute it twice.

    Parameters
    ----------
    decode
        Decodes the bodies of answers; raises `ValueError` for one that is not JSON.
    """

    def __init__(self, *, decode: Callable[[bytes], Any] = json.loads) -> None:
        self._decode = decode
        self._idle: dict[str, list[HttpConnection]] = {}
        self._closed = False

    async def close(self) -> None:
        """Close the idle connections, and the others after their calls."""
        self._closed = True
        for links in self._idle.values():
            for link in links:
                link.writer.close()
        self._idle.clear()

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        *,
        params: Mapping[str, str] | None = None,
        json: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> JsonAnswer:
        """Make a call and return its answer.

        Parameters
        ----------
        method, url
            HTTP method and URL of the call.
        timeout_s
            Time limit for the complete answer.
        params, json, headers
            Query, content of the body and headers.

        Raises
        ------
        NoAnswerError
            If the answer is missing, incomplete or not JSON.
        """
        parts = urlsplit(url)
        request = _make_request(method, parts, params, json, headers)
        try:
            async with asyncio.timeout(timeout_s):
                response, body = await self._send(parts, request)
            return JsonAnswer(
                status=response.status_code,
                body=self._decode(body) if body else {},
                headers={k.decode(): v.decode("latin-1") for k, v in response.headers},
            )
        except (h11.ProtocolError, TimeoutError, OSError, ValueError) as error:
            raise NoAnswerError(repr(error)) from None

    async def _send(
        self, url: SplitResult, request: Request
    ) -> tuple[h11.Response, bytes]:
        link = self._take_idle(url.netloc)
        if link is None:
            return await self._send_on_new(url, request)
        try:
            return await self._run(url.netloc, link, request)
        except _ConnectionClosedError:
            if not request.may_be_repeated:
                raise
            return await self._send_on_new(url, request)

    async def _send_on_new(
        self, url: SplitResult, request: Request
    ) -> tuple[h11.Response, bytes]:
        link = await _connect(url.hostname or "", url.port or DEFAULT_PORT)
        return await self._run(url.netloc, link, request)

    async def _run(
        self, server: str, link: HttpConnection, request: Request
    ) -> tuple[h11.Response, bytes]:
        """Make a call on a connection; keep that only if it can be used again."""
        is_reusable = False
        try:
            answer = await _exchange(link, request)
            is_reusable = self._may_reuse(server, link)
        finally:
            if is_reusable:
                link.state.start_next_cycle()
                self._idle.setdefault(server, []).append(link)
            else:
                link.writer.close()
        return answer

    def _may_reuse(self, server: str, link: HttpConnection) -> bool:
        """Return whether to keep a connection after an answer.

        What follows the answer would be taken for that of the next call.
        """
        state = link.state
        is_done = state.our_state is h11.DONE and state.their_state is h11.DONE
        has_room = len(self._idle.get(server, [])) < MAX_IDLE
        return is_done and has_room and not state.trailing_data[0] and not self._closed

    def _take_idle(self, server: str) -> HttpConnection | None:
        links = self._idle.get(server, [])
        while links:
            link = links.pop()
            if link.is_open:
                return link
            link.writer.close()
        return None
