"""One answer as its bytes come, by httptools, and the bytes of a request. No input or output."""

import asyncio
from dataclasses import dataclass

import httptools

MAX_HEAD = 16384  # bytes before an answer's body, with all 1xx heads ahead of it
UNREADABLE = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class Spoilt(Exception):
    """An answer that can't be read, does not end, or is longer than anything that is expected."""


BROKEN = (OSError, EOFError, Spoilt)  # what a connection fails with


@dataclass(slots=True)
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes
    certain: bool = True  # not so on a connection that had not settled: it may be a copy of an earlier answer


class Exchange:
    """One answer as it comes; the parser calls it back."""

    def __init__(self, most: int, rest: float) -> None:
        self.most, self.rest = most, rest
        self.parser = httptools.HttpResponseParser(self)
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.answer.add_done_callback(lambda f: f.cancelled() or f.exception())  # others may fail first
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.head = 0  # bytes until the head was whole
        self.in_body = self.reusable = self.more = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def status(self) -> int:
        """As far as it was read: also of a head that is spoilt behind its first line."""
        return self.parser.get_status_code()

    @property
    def answered(self) -> bool:
        """Whether a whole answer came."""
        return self.answer.done() and not self.answer.cancelled() and self.answer.exception() is None

    # --- the parser's side ---

    def on_message_begin(self) -> None:
        self.more = self.answer.done()
        if not self.more:
            self.headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.answer.done():
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        if self.answer.done() or self.status < 200:
            return
        self.in_body = True
        # Guards the memory: what is announced too long is refused before it comes.
        length = self.headers.get("content-length", "0")
        if not length.isdigit() or int(length) > self.most:
            self.fail(Spoilt(f"answer of {length[:20]} bytes, {self.most} at most"))

    def on_body(self, body: bytes) -> None:
        if not self.answer.done():
            self.body += body
            if len(self.body) > self.most:
                self.fail(Spoilt(f"answer longer than {self.most} bytes"))

    def on_message_complete(self) -> None:
        if self.in_body and not self.answer.done():
            self.reusable = self.parser.should_keep_alive()
            self.end()

    # --- the connection's side ---

    def feed(self, data: bytes) -> None:
        if self.answer.done():  # a second copy, or noise: it belongs to nothing
            self.more = True
            return
        try:
            self.parser.feed_data(data)
        except UNREADABLE as error:
            self.more = True
            self.fail(Spoilt(str(error)))
        if self.answer.done():
            return
        self.head += 0 if self.in_body else len(data)
        if self.head > MAX_HEAD:
            self.fail(Spoilt("a head without end"))
        elif self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(self.rest, self.fail, Spoilt("an answer without end"))

    def eof(self) -> None:
        framed = {"content-length", "transfer-encoding"} & self.headers.keys()
        self.end() if self.in_body and not framed else self.fail(EOFError("connection closed"))

    def end(self) -> None:
        self.stop_timer()
        if not self.answer.done():
            self.answer.set_result(Answer(self.status, self.headers, bytes(self.body)))

    def fail(self, error: Exception) -> None:
        """What came after a whole answer spoils no answer."""
        self.stop_timer()
        if not self.answer.done():
            self.answer.set_exception(error)

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def request(method: str, target: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """The bytes of a request; its values are visible ASCII, which their readers see to."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body
