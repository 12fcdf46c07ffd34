"""Options for publishing to the brokers of one destination."""

from dataclasses import dataclass

from ...amqp.options import Login
from ...store.entry import Entry


@dataclass(slots=True, frozen=True)
class BrokerOptions:
    """Options of one destination, from its own settings and those of its kind."""

    login: Login = Login()
    exchange: str = ""  # "": the default exchange
    routing_key: str = "{destination}"  # may also contain {class} and {key}
    destination: str = ""  # its name
    channels: int = 4  # per connection
    max_unconfirmed: int = 256  # publishes awaiting a confirm on one channel
    heartbeat: int = 30  # s
    nack_never_ran: bool = False  # whether a basic.nack proves that no queue has the message

    def routing_key_for(self, entry: Entry) -> str:
        """Returns the routing key of a message.

        Its key is 16 hexadecimal digits. Without one, dots at the end of the routing key are removed.
        """
        key = f"{entry.key:016x}" if entry.key else ""
        values = (("{class}", entry.cls), ("{destination}", self.destination), ("{key}", key))
        text = self.routing_key
        for placeholder, value in values:
            text = text.replace(placeholder, value)
        return text.rstrip(".") if not key else text
