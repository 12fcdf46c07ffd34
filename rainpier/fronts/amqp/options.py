"""Settings of the AMQP listener."""

from dataclasses import dataclass

from ...amqp.options import Limits


@dataclass(slots=True, frozen=True)
class Options:
    """Settings of the `[amqp]` table of the configuration."""

    listen: tuple[str, int] = ("127.0.0.1", 0)  # address; port 0: any free one
    user: str = ""  # "": any credentials are accepted
    password: str = ""
    vhost: str = "/"
    exchange: str = "rainpier"
    routing_key: str = "{class}.{destination}.{key}"
    without_confirms: bool = False  # publishing without confirms is accepted
    connections: int = 32  # client connections at once
    unanswered: int = 256  # publishes without a result on one connection; further ones are left unread
    queues: int = 64  # reply queues at once
    queue_length: int = 1000  # completions in one reply queue, together with those still pending for it
    queue_idle: float = 600.0  # s, after which an unused reply queue is deleted
    limits: Limits = Limits()
