"""One channel: what may come on it next, and the content that comes in parts. No input or output."""

from dataclasses import dataclass, field
from enum import Enum

from pamqp import base, commands

from . import codes
from .codes import ConnectionRefusal
from .frames import number, read_header

BASIC = 60  # the class of all content
Properties = commands.Basic.Properties


class State(Enum):
    OPENING = "opening"  # we asked, the peer has not answered
    OPEN = "open"
    CLOSING = "closing"  # we closed it; all that comes until close-ok is dropped


@dataclass(slots=True)
class Content:
    """A method with its whole content."""

    channel: int
    method: base.Frame
    properties: Properties
    body: bytes


@dataclass(slots=True)
class Channel:
    """Content of one channel may be interleaved with that of others, never with its own channel's frames."""

    id: int
    state: State
    method: base.Frame | None = None  # whose content is coming
    properties: Properties | None = None  # once the header has come
    size: int = 0  # bytes that the header announced
    body: bytearray = field(default_factory=bytearray)

    @property
    def mid_content(self) -> bool:
        return self.method is not None

    def drop(self) -> None:
        """Forget a content that is not whole."""
        self.method = self.properties = None
        self.size, self.body = 0, bytearray()

    def begin(self, method: base.Frame) -> None:
        self.drop()
        self.method = method

    def head(self, payload: bytes) -> Content | None:
        """The content header (specification, 2.3.5.2); the content where it has no body."""
        if self.method is None or self.properties is not None:
            raise ConnectionRefusal(codes.UNEXPECTED_FRAME, "a content header that nothing announced")
        head = read_header(payload)
        if head.class_id != BASIC:
            raise ConnectionRefusal(
                codes.UNEXPECTED_FRAME, f"a content header of class {head.class_id}", number(self.method)
            )
        assert isinstance(head.properties, Properties)
        self.properties, self.size = head.properties, head.body_size or 0
        return self.whole()

    def add(self, payload: bytes) -> Content | None:
        """A body frame; the content with the last one."""
        if self.method is None or self.properties is None:
            raise ConnectionRefusal(codes.UNEXPECTED_FRAME, "a body that nothing announced")
        left = self.size - len(self.body) - len(payload)
        if left < 0:
            raise ConnectionRefusal(
                codes.FRAME_ERROR, f"a body longer than the {self.size} bytes announced", number(self.method)
            )
        self.body += payload
        return self.whole()

    def whole(self) -> Content | None:
        """None while some is missing."""
        if len(self.body) < self.size:
            return None
        assert self.method is not None and self.properties is not None
        content = Content(self.id, self.method, self.properties, bytes(self.body))
        self.drop()
        return content
