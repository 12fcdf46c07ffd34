"""What a connection is run with. Apart, so that who only configures AMQP loads nothing of it."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Limits:
    """What one peer can make us hold."""

    frame: int = 131_072  # bytes of a frame
    channels: int = 64
    body: int = 65_536  # bytes of a content
    partial: int = 1 << 20  # bytes of contents that are not whole, over all channels
    heartbeat: int = 30  # s; what is offered, or asked for


@dataclass(slots=True, frozen=True)
class Login:
    """What a client gives at its start."""

    user: str = "guest"
    password: str = "guest"  # noqa: S105
    vhost: str = "/"
