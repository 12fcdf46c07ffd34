"""Connects the AMQP sessions to a node: submissions go in, completions come back to the reply queues."""

import asyncio

from ...config.build import Config
from ...node.node import Node
from ...store.entry import Entry
from .messages import Routes, compile_routing_key
from .queues import Queues, make_reply
from .session import SessionContext


def build_routes(config: Config) -> Routes:
    """Builds the routes of a configuration; raises ValueError for an invalid routing key pattern."""
    assert config.amqp is not None
    classes = {message_class.name: message_class for message_class in config.settings.classes}
    return Routes(
        config.amqp.exchange, compile_routing_key(config.amqp.routing_key), classes, config.destinations
    )


def session_context(node: Node, config: Config) -> SessionContext:
    """Creates the context that all sessions share, and has completions delivered to the reply queues."""
    options, clock = config.amqp, asyncio.get_running_loop().time
    assert options is not None
    completions = node.completions
    queues = Queues(
        options.queues, options.queue_length, options.queue_idle, completions.pending_replies.__getitem__
    )

    def notify(entry: Entry, outcome: str) -> None:
        """Delivers the completion of a message to its reply queue."""
        retry_after_ms = entry.retry if outcome == "handed_back" else 0
        queues.deliver(
            entry.reply_to, make_reply(entry.id, outcome, entry.correlation, retry_after_ms), clock()
        )

    def held_for(number: int) -> int:
        """Returns the number of messages that are held for the destination that clients call `number`."""
        destination = node.core.destination_id(number)
        return 0 if destination is None else completions.held_for(destination)

    completions.reply_listener = notify
    return SessionContext(
        build_routes(config), queues, node.submit, held_for, clock, options.without_confirms
    )
