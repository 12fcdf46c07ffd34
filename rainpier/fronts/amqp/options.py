"""An AMQP front's own settings."""

from dataclasses import dataclass

from ...amqp.options import Limits


@dataclass(slots=True, frozen=True)
class Options:
    """What `[amqp]` of the configuration says."""

    listen: tuple[str, int] = ("127.0.0.1", 0)
    user: str = ""  # "": any user may come in
    password: str = ""
    vhost: str = "/"
    exchange: str = "rainpier"
    routing_key: str = "{class}.{destination}.{key}"
    without_confirms: bool = False  # publishing without confirms is accepted
    connections: int = 32
    unanswered: int = 256  # publishes of one connection without an answer; more are not read yet
    queues: int = 64
    queue_length: int = 1000
    queue_idle: float = 600.0  # s
    limits: Limits = Limits()
