"""The sidecar process: runs a node from a configuration file, with its listeners and control socket."""

import asyncio
import logging
import os
import resource
import signal
import time
from pathlib import Path

from .config import model as m
from .config.build import Config, build_config
from .config.check import CONTROL_SOCKET_NAME
from .config.types import write_address
from .config.watch import Reloader
from .control.server import Control
from .fronts.amqp.context import build_routes, session_context
from .fronts.amqp.server import AmqpListener
from .fronts.resp.server import RespListener
from .host import divide_memory, open_node, shut_down
from .membership.file import FileSource, discovered_endpoints
from .node.node import Node
from .observe.events import counts, gauges
from .pressure.memory import MemoryPool
from .pressure.turns import Turns
from .sinks.file import FileSink
from .sinks.http import HttpSink
from .sinks.sink import CompletionSink
from .startup import StartupCancelled, retry_until_available
from .store.files import FolderInUse
from .store.store import StoreError
from .tasks import supervise

log = logging.getLogger(__name__)


class StartError(Exception):
    """The sidecar can't start; the text gives the reason in one line."""


def completion_sink(model: m.Model) -> CompletionSink:
    """Creates the completion sink that the model configures: HTTP or a file."""
    options = model.sink
    if options.kind == "http" and options.address is not None:
        return HttpSink(options.address)
    return FileSink(m.path_of(model, options.file), options.rotate_at, options.keep)


class Sidecar:
    """One sidecar process: the model of its configuration file, its node, listeners and control socket."""

    def __init__(self, model: m.Model, path: Path) -> None:
        self.model, self.path, self.started_at = model, path, time.monotonic()
        self.seed = int.from_bytes(os.urandom(8))
        self.reloader = Reloader(path, model, self.apply)
        self.stop = asyncio.Event()
        self.node: Node | None = None
        self.amqp_listener: AmqpListener | None = None

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT. Raises StartError or OSError if it can't start."""
        loop = asyncio.get_running_loop()
        # first, since an unhandled SIGHUP would end the process
        loop.add_signal_handler(signal.SIGHUP, self.reloader.request)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        config = build_config(self.model, self.seed)
        try:
            config.state.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise StartError(f"state folder {str(config.state)!r}: {error}") from error
        self.raise_descriptor_limit(config.sockets)
        try:
            await self.serve(config)
        except StartupCancelled as step:
            log.info("stopped before it was ready, at step: %s", step)
            if self.node is not None:
                await shut_down(self.node, [], loop.time())

    @staticmethod
    def raise_descriptor_limit(required: int) -> None:
        """Raises the soft limit on descriptors to `required`: the usual lower one would not suffice."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft < required:
            allowed = required if hard == resource.RLIM_INFINITY else min(required, hard)
            resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
            if allowed < required:
                log.warning(
                    "limits.sockets is %d, but the system allows this process only %d descriptors",
                    required,
                    allowed,
                )

    async def serve(self, config: Config) -> None:
        """Starts the node and its listeners, serves until stopped. Raises StartError, StartupCancelled."""
        loop, sink = asyncio.get_running_loop(), completion_sink(self.model)
        self.source = FileSource([])
        try:
            node = await retry_until_available("store", lambda: self.open(config, sink), self.stop)
        except (FolderInUse, StoreError) as error:
            raise StartError(f"state folder: {error}") from error
        self.node = node
        self.source.endpoints = discovered_endpoints(self.model, node.core.destination_ids_by_name)
        if isinstance(sink, FileSink):
            # A completion may have been written without a record in the store, but only after the deadline.
            now = node.core.now
            sink.recover(e.id for e in node.store.entries.values() if e.end or e.deadline <= now)
        await node.start()
        pool, turns = divide_memory(node, config), Turns(loop.time, loop.call_soon)
        self.resp_listener = RespListener(
            node.submit, config.client_descriptors, self.model.resp.password, pool, turns
        )
        await retry_until_available("listen", lambda: self.resp_listener.listen(config.listen), self.stop)
        await self.listen_amqp(node, config, pool, turns)
        control = Control(config.state / CONTROL_SOCKET_NAME, {"status": self.status})
        await control.listen()
        reload_task = loop.create_task(supervise(self.reloader.run))
        log.info("%s serves on %s", config.name, write_address((config.listen[0], self.resp_listener.port)))
        if self.amqp_listener is not None:
            log.info(
                "AMQP on %s", write_address((self.amqp_listener.options.listen[0], self.amqp_listener.port))
            )
        log.info(
            "configuration %s, state folder %s, %d messages recovered",
            self.path,
            config.state,
            len(node.store.entries),
        )
        await self.stop.wait()
        await shut_down(node, self.listeners, loop.time())
        reload_task.cancel()
        await control.close()

    async def open(self, config: Config, sink: CompletionSink) -> Node:
        """Opens the node. A coroutine, since retry_until_available awaits its steps."""
        return open_node(config, self.source, sink)

    async def listen_amqp(self, node: Node, config: Config, pool: MemoryPool, turns: Turns) -> None:
        """Starts the AMQP listener, if the file configures one."""
        if config.amqp is not None:
            self.amqp_listener = AmqpListener(
                session_context(node, config), config.amqp, lambda: node.admission.full, pool, turns
            )
            await self.amqp_listener.listen()

    @property
    def listeners(self) -> list[RespListener | AmqpListener]:
        """The listeners that are running."""
        return (
            [self.resp_listener] if self.amqp_listener is None else [self.resp_listener, self.amqp_listener]
        )

    def apply(self, model: m.Model) -> None:
        """Applies an edited file between two rounds, so that all its changes take effect at once."""
        assert self.node is not None
        config = build_config(model, self.seed)
        self.node.reconfigure(config)
        if self.amqp_listener is not None and config.amqp is not None:
            self.amqp_listener.context.routes = build_routes(config)
        self.source.replace(discovered_endpoints(model, self.node.core.destination_ids_by_name))
        self.model = model

    def status(self) -> dict[str, object]:
        """Returns the status that the control socket serves and `rainpier status` shows."""
        assert self.node is not None
        node, model = self.node, self.model
        ids, held_for = node.core.destination_ids_by_name, node.completions.held_for
        return {
            "name": model.sidecar.name, "pid": os.getpid(), "file": str(self.path),
            "listen": write_address((model.resp.listen[0], self.resp_listener.port)),
            "up_s": round(time.monotonic() - self.started_at, 1),
            "held": len(node.store.entries), "out": len(node.calls.by_message),
            "ends_waiting": len(node.sink.pending),
            "no_room": node.core.stalled,  # attempts can't be recorded, so that none may begin
            "clients": len(self.resp_listener.connections),
            "counters": counts(),
            "gauges": gauges(),
            "amqp": self.amqp_listener.status() if self.amqp_listener is not None else None,
            "store_bytes": node.store.size, "disk_bytes": node.core.config.disk,
            "reload": {
                "applied": self.reloader.applied, "rejected": self.reloader.rejected,
                "last": self.reloader.last.as_json() if self.reloader.last else None,
            },
            "destinations": {
                name: {
                    "number": destination.number, "held": held_for(ids[name]),
                    "endpoints": {m.endpoint_name(e): e.state for e in destination.endpoints},
                }
                for name, destination in model.destinations.items()
            },
        }  # fmt: skip
