"""One HTTP exchange: formats the request, parses the response incrementally by httptools. No I/O."""

import asyncio
from dataclasses import dataclass

import httptools

# Bytes of a response received in a row without a byte of its body: headers, those of 1xx responses included,
# and behind the headers chunk sizes, chunk extensions and trailers.
MAX_OVERHEAD_BYTES = 16384
# The headers that are kept, those that are used: very many short ones would take many times their bytes.
USED_HEADERS = frozenset((
    b"content-length", b"transfer-encoding", b"x-retry-in-ms", b"x-load-report", b"x-no-slot", b"x-call-id",
))  # fmt: skip
PARSE_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class MalformedResponse(Exception):
    """A response that cannot be parsed, does not end in time, or exceeds its size limit."""


EXCHANGE_ERRORS = (OSError, EOFError, MalformedResponse)  # raised by connecting, sending and receiving


@dataclass(slots=True)
class Response:
    """A complete response to one request."""

    status: int
    headers: dict[str, str]  # those in USED_HEADERS, names in lower case
    body: bytes
    matched: bool = True  # false on a connection still in quarantine: may duplicate an earlier response


class Exchange:
    """Collects one response from the connection's bytes; httptools calls the on_... methods.

    `max_body`: bytes; `response_timeout`: s from the response's first byte to its last. The parser refers to
    the exchange; the exchange drops the parser with its result, so that what it holds is freed with the last
    reference to it and does not wait for the garbage collector.
    """

    def __init__(self, max_body: int, response_timeout: float) -> None:
        self.max_body, self.response_timeout = max_body, response_timeout
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.final_status = 0  # the status once the parser is dropped
        self.response: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        # Marks the exception as retrieved: where sending fails first, nobody awaits the response.
        self.response.add_done_callback(lambda f: f.cancelled() or f.exception())
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.overhead_bytes = 0  # received in a row without a byte of the body, see MAX_OVERHEAD_BYTES
        # Whether the final response's headers are complete; whether the connection may carry another exchange
        # after it; whether bytes came beyond it.
        self.in_body = self.reusable = self.extra_bytes = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def status(self) -> int:
        """Status code once the status line is parsed, even if a header after it is malformed; else 0."""
        return self.final_status if self.parser is None else self.parser.get_status_code()

    @property
    def has_response(self) -> bool:
        """Whether a complete response was received."""
        return self.response.done() and not self.response.cancelled() and self.response.exception() is None

    # --- callbacks of the parser ---

    def on_message_begin(self) -> None:
        self.extra_bytes = self.response.done()
        if not self.extra_bytes:
            self.headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        # Trailers are discarded: none is defined for these responses (RFC 9110, 6.5.1).
        name = name.lower()
        if name in USED_HEADERS and not self.in_body and not self.response.done():
            self.headers[name.decode()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        if self.response.done() or self.status < 200:
            return
        self.in_body = True
        # Bounds memory: a body announced as too long is rejected before it is received.
        length = self.headers.get("content-length", "0")
        if not length.isdigit() or int(length) > self.max_body:
            self.fail(MalformedResponse(f"Content-Length is {length[:20]} bytes, {self.max_body} at most"))

    def on_body(self, body: bytes) -> None:
        if not self.response.done():
            self.body += body
            if len(self.body) > self.max_body:
                self.fail(
                    MalformedResponse(
                        f"response body is at least {len(self.body)} bytes, {self.max_body} at most"
                    )
                )

    def on_message_complete(self) -> None:
        if self.parser is not None and self.in_body and not self.response.done():
            self.reusable = self.parser.should_keep_alive()
            self.complete()

    # --- calls from the connection ---

    def feed(self, data: bytes) -> None:
        """Parses received bytes; a response that breaks a limit fails, and later bytes count as extra."""
        if self.parser is None or self.response.done():  # such as a duplicate of the response
            self.extra_bytes = True
            return
        progress = self.progress
        try:
            self.parser.feed_data(data)
        except PARSE_ERRORS as error:
            self.extra_bytes = True
            self.fail(MalformedResponse(str(error)))
        if self.response.done():
            return
        self.overhead_bytes = 0 if self.progress > progress else self.overhead_bytes + len(data)
        if self.overhead_bytes > MAX_OVERHEAD_BYTES:
            part = "trailers or chunk framing" if self.in_body else "headers"
            self.fail(
                MalformedResponse(
                    f"response {part} take {self.overhead_bytes} bytes, the limit is {MAX_OVERHEAD_BYTES}"
                )
            )
        elif self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(
                self.response_timeout,
                self.fail,
                MalformedResponse(f"response not complete {self.response_timeout} s after its first byte"),
            )

    @property
    def progress(self) -> tuple[bool, int]:
        """How far the final response has come: whether its headers are complete, and its body's bytes."""
        return self.in_body, len(self.body)

    def eof(self) -> None:
        """Handles the end of the stream, which completes a response without a length and fails any other."""
        framed = {"content-length", "transfer-encoding"} & self.headers.keys()
        self.complete() if self.in_body and not framed else self.fail(
            EOFError("connection closed before the response was complete")
        )

    def complete(self) -> None:
        """Makes the response the exchange's result."""
        self.end()
        if not self.response.done():
            self.response.set_result(Response(self.status, self.headers, bytes(self.body)))

    def fail(self, error: Exception) -> None:
        """Makes `error` the result, unless there is one: later bytes cannot undo a complete response."""
        self.end()
        if not self.response.done():
            self.response.set_exception(error)

    def end(self) -> None:
        """Stops the parsing and the timeout; later bytes count as extra. Has no effect the second time."""
        if self.parser is not None:
            self.final_status = self.parser.get_status_code()
            self.parser = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def format_request(method: str, target: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Serializes a request. Callers pass visible ASCII only, which is checked where the values are read."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body
