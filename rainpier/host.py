"""Opening and shutting down a node, for the sidecar and for the platform's sender."""

import asyncio
import gc
import logging
from collections.abc import Sequence
from typing import Protocol

from .config.build import Config
from .membership.source import EndpointSource
from .node.node import Node
from .observe.events import register_gauge
from .observe.process import memory_use
from .pressure.memory import MemoryPool, plan_memory
from .sinks.sink import CompletionSink
from .store.files import FolderContended, FolderInUse

log = logging.getLogger(__name__)
# The first three are s after the process was asked to stop (SIGTERM).
LISTEN_UNTIL = 0.45  # clients may open new connections for up to 0.4 s
LAST_CALL_START = 2.5  # from here on the node only waits for calls in flight
SHUTDOWN_DEADLINE = 3.2  # calls still in flight are cut off; SIGKILL follows after 3.7 s at the earliest
CLOSE_TIMEOUT = 0.4  # s for a listener to answer the requests that its connections still have pending
COLLECTOR_THRESHOLDS = (700, 5, 2)  # see gc.set_threshold
POLL_INTERVAL = 0.02  # s between checks whether the calls in flight have ended


class Listener(Protocol):
    """A listener for client connections."""

    async def close(self, within: float) -> None:
        """Stops listening; closes each connection once its requests are answered, within `within` s."""
        ...


def open_node(config: Config, source: EndpointSource, sink: CompletionSink) -> Node:
    """Opens the node on its state folder.

    Raises Unavailable if a retry may succeed, as FolderContended while another process uses the folder, and
    StoreError otherwise.
    """
    try:
        return Node(config, source, sink)
    except FolderInUse as error:
        raise FolderContended(str(error)) from error


def collect_cycles_early() -> None:
    """Has the garbage collector find reference cycles early, and leave out the objects of the program.

    Each closed transport of asyncio is such a cycle: by default some 14,000 of them, or 7 MB, gather.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def divide_memory(node: Node, config: Config) -> MemoryPool:
    """Limits what held messages may take, and returns the pool of memory for the clients of all listeners.

    To be called once the node has started, since what the process uses then is not to be divided.
    """
    collect_cycles_early()
    loop = asyncio.get_running_loop()
    connections = config.client_descriptors + (config.amqp.connections if config.amqp else 0)
    limit = config.memory - config.disk * config.files_in_memory
    plan = plan_memory(limit, memory_use().resident, config.settings.slots, connections)
    log.info("memory: %d bytes for clients, %d bytes for messages", plan.clients, plan.messages)
    node.admission.max_bytes = plan.messages
    pool = MemoryPool(plan.clients, loop.time, loop.call_later)
    register_gauge("client_bytes", lambda: pool.used)
    register_gauge("clients_without_room", lambda: len(pool.waiting))
    return pool


async def shut_down(node: Node, listeners: Sequence[Listener], requested_at: float) -> None:
    """Stops the node: accepts until LISTEN_UNTIL, then waits for calls in flight until SHUTDOWN_DEADLINE.

    It ends sooner when no call is in flight and the store is empty, or LAST_CALL_START has passed. Messages
    without a final status stay in the store for the next process. `requested_at`: loop time (s) at which the
    process was asked to stop.
    """
    loop = asyncio.get_running_loop()
    log.info("stopping: calls in flight may end within %.1f s", SHUTDOWN_DEADLINE)
    node.announce_shutdown(requested_at + SHUTDOWN_DEADLINE)
    await asyncio.sleep(LISTEN_UNTIL)
    await asyncio.gather(*(listener.close(within=CLOSE_TIMEOUT) for listener in listeners))
    while loop.time() < requested_at + SHUTDOWN_DEADLINE:
        if not node.busy and (loop.time() > requested_at + LAST_CALL_START or not node.store.entries):
            break
        await asyncio.sleep(POLL_INTERVAL)
    log.info("stopped: %d messages stay in the store", len(node.store.entries))
    node.close()
