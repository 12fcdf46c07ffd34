"""How a destination's brokers are published to."""

from dataclasses import dataclass

from ...amqp.options import Login
from ...store.entry import Entry


@dataclass(slots=True, frozen=True)
class BrokerOptions:
    """One destination's, from its own settings and those of its kind."""

    login: Login = Login()
    exchange: str = ""
    routing_key: str = "{destination}"
    destination: str = ""  # its name
    channels: int = 4  # of one connection
    unconfirmed: int = 256  # publishes without a confirm on one channel
    heartbeat: int = 30  # s
    nack_never_ran: bool = False  # a nack proves that no queue has the message

    def route(self, entry: Entry) -> str:
        """The message's routing key."""
        key = f"{entry.key:016x}" if entry.key else ""
        places = (("{class}", entry.cls), ("{destination}", self.destination), ("{key}", key))
        text = self.routing_key
        for place, value in places:
            text = text.replace(place, value)
        return text.rstrip(".") if not key else text
