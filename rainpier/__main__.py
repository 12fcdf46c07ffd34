"""`python -m rainpier`: without arguments runs the platform's sender, configured by environment variables.

With arguments it is the command line: see rainpier/cli.
"""

import sys

if __name__ == "__main__":
    # asyncio would load OpenSSL, which takes 5 MB and is never used: no listener and no client speaks TLS.
    sys.modules["ssl"] = None  # type: ignore[assignment]

import asyncio
import logging
import os
import signal
from collections.abc import Callable
from typing import TypeVar

from .config.platform import ConfigError, load
from .config.reload import Reload
from .fronts.resp.server import RespListener
from .host import divide_memory, open_node, shut_down
from .membership.platform import Discovery
from .observe.events import record
from .sinks.http import HttpSink
from .startup import StartupCancelled, new_loop, retry_until_available
from .store.files import FolderInUse
from .store.store import StoreError
from .tasks import supervise

log = logging.getLogger("rainpier")
T = TypeVar("T")


async def serve() -> None:
    """Runs the sender until SIGTERM or SIGINT; SIGHUP reloads its configuration.

    Raises ConfigError, FolderInUse, StoreError or OSError if it cannot start.
    """
    loop, stop, reload = asyncio.get_running_loop(), asyncio.Event(), Reload(os.environ)
    loop.add_signal_handler(signal.SIGHUP, reload.request)  # first: without a handler SIGHUP ends the process
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    try:
        await run(reload, stop)
    except StartupCancelled as step:
        record("process", "stopped_before_ready", step=step)


async def run(reload: Reload, stop: asyncio.Event) -> None:
    """Starts the node and its listener, serves until `stop` is set and shuts down.

    Raises StartupCancelled if `stop` is set before the listener is open.
    """
    loop = asyncio.get_running_loop()
    config = await retry_until_available("configuration", lambda: in_loop(lambda: load(os.environ)), stop)
    record("process", "starting", pid=os.getpid(), name=config.name)
    discovery = Discovery(config.discovery, config.known, config.settings.senders, config.memory)
    sink = HttpSink(config.discovery)
    node = await retry_until_available(
        "store", lambda: in_loop(lambda: open_node(config, discovery, sink)), stop
    )
    reload_task = loop.create_task(supervise(lambda: reload.run(config, discovery, sink)))
    await node.start()
    listener = RespListener(node.submit, config.client_descriptors, pool=divide_memory(node, config))
    try:
        await retry_until_available("listen", lambda: listener.listen(config.listen), stop)
    except StartupCancelled:
        await shut_down(node, [], loop.time())
        raise
    log.info("%s serves on %s:%d", config.name, config.listen[0], listener.port)
    record("process", "serving", pid=os.getpid(), name=config.name, held=len(node.store.entries))
    log.info(
        "limits: %d calls in flight, %d descriptors, %d bytes of disk, %d bytes of memory",
        node.core.settings.slots,
        config.sockets,
        config.disk,
        config.memory,
    )
    await stop.wait()
    await shut_down(node, [listener], loop.time())
    reload_task.cancel()


async def in_loop(step: Callable[[], T]) -> T:
    """Runs a blocking step in the event loop: at this point of the start no other task has work to do."""
    return step()


def log_level() -> int:
    """Returns the log level: DEBUG with RAINPIER_LOG=debug, which adds rejected requests and attempts."""
    return logging.DEBUG if os.environ.get("RAINPIER_LOG", "").lower() == "debug" else logging.INFO


def main() -> int:
    """Runs the platform's sender. Exit code 2: configuration or store error; 1: OSError; otherwise 0."""
    logging.basicConfig(stream=sys.stderr, level=log_level(), format="%(asctime)s %(levelname)s %(message)s")
    # SIGHUP must not end the process before the event loop has its handlers, nor after it has closed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        new_loop().run(serve())
    except (ConfigError, FolderInUse, StoreError) as error:
        print(f"rainpier: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"rainpier: {error}", file=sys.stderr)
        return 1
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return 0


if __name__ == "__main__":
    if len(sys.argv) > 1:
        # Imported here, because the platform's sender does not need it.
        from .cli.main import main as command_line

        command_line(prog_name="rainpier")
    sys.exit(main())
