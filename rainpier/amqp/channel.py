"""State of one channel: which frame may come next, and assembly of content from frames. No I/O."""

from dataclasses import dataclass, field
from enum import Enum

from pamqp import base, commands

from . import codes
from .codes import ConnectionException
from .frames import method_id, read_header

BASIC_CLASS_ID = 60  # class ID of "basic", the only class whose methods have content
Properties = commands.Basic.Properties


class ChannelPhase(Enum):
    """The phase of a channel that is not closed; a closed one has no Channel object."""

    OPENING = "opening"  # this side sent channel.open and awaits open-ok
    OPEN = "open"
    CLOSING = "closing"  # this side sent channel.close; frames until close-ok are dropped


@dataclass(slots=True)
class Content:
    """A method with its complete content; also the event that it has arrived."""

    channel: int
    method: base.Frame
    properties: Properties
    body: bytes


@dataclass(slots=True)
class Channel:
    """One channel and the content that it is receiving.

    The frames of a content may be interleaved with frames of other channels, but not of the same channel.
    """

    id: int
    phase: ChannelPhase
    method: base.Frame | None = None  # the method whose content is being received
    properties: Properties | None = None  # set once the content header has arrived
    body_size: int = 0  # bytes announced by the content header
    body: bytearray = field(default_factory=bytearray)  # received so far
    header_size: int = 0  # bytes of the content header frame

    @property
    def held_bytes(self) -> int:
        """Bytes of the incomplete content that were received."""
        return self.header_size + len(self.body)

    @property
    def mid_content(self) -> bool:
        """Whether content is being received."""
        return self.method is not None

    def discard_content(self) -> None:
        """Discards incomplete content."""
        self.method = self.properties = None
        self.body_size, self.header_size, self.body = 0, 0, bytearray()

    def begin_content(self, method: base.Frame) -> None:
        """Starts to receive the content of a method; discards one that is incomplete."""
        self.discard_content()
        self.method = method

    def on_header(self, payload: bytes) -> Content | None:
        """Handles a content header (specification, 2.3.5.2); returns the content if its body is empty.

        Raises ConnectionException for a header that is out of place or of another class.
        """
        if self.method is None or self.properties is not None:
            raise ConnectionException(codes.UNEXPECTED_FRAME, "a content header that nothing announced")
        header = read_header(payload)
        if header.class_id != BASIC_CLASS_ID:
            raise ConnectionException(
                codes.UNEXPECTED_FRAME, f"a content header of class {header.class_id}", method_id(self.method)
            )
        assert isinstance(header.properties, Properties)
        self.properties, self.body_size = header.properties, header.body_size or 0
        self.header_size = len(payload)
        return self.take_complete()

    def on_body(self, payload: bytes) -> Content | None:
        """Handles a body frame; returns the content once it is complete.

        Raises ConnectionException for a frame that is out of place or exceeds the announced size.
        """
        if self.method is None or self.properties is None:
            raise ConnectionException(codes.UNEXPECTED_FRAME, "a body that nothing announced")
        missing = self.body_size - len(self.body) - len(payload)
        if missing < 0:
            raise ConnectionException(
                codes.FRAME_ERROR,
                f"a body longer than the {self.body_size} bytes announced",
                method_id(self.method),
            )
        self.body += payload
        return self.take_complete()

    def take_complete(self) -> Content | None:
        """Returns the content and prepares for the next one; None while body bytes are missing."""
        if len(self.body) < self.body_size:
            return None
        assert self.method is not None and self.properties is not None
        content = Content(self.id, self.method, self.properties, bytes(self.body))
        self.discard_content()
        return content
