"""Settings of a connection, apart from the protocol code: reading a configuration does not load that."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits on what one peer can make this process hold in memory."""

    frame: int = 131_072  # bytes; largest frame
    channels: int = 64  # of one connection
    body: int = 65_536  # bytes; largest content body
    partial: int = 1 << 20  # bytes of incomplete content over all channels
    heartbeat: int = 30  # s; interval that a server offers or a client requests; 0: none


@dataclass(slots=True, frozen=True)
class Login:
    """Credentials and virtual host that a client sends."""

    user: str = "guest"
    password: str = "guest"  # noqa: S105
    vhost: str = "/"
