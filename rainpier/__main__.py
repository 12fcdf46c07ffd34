"""Runs one sender: python -m rainpier. Its configuration comes from the environment."""

import asyncio
import logging
import os
import signal
import sys

from .config import Config, ConfigError, load
from .net.clients import Clients
from .net.node import Node

log = logging.getLogger("rainpier")
SERVE_ON = 0.45  # s after SIGTERM: new connections come for up to 0.4 s
LAST_START = 2.5  # s after SIGTERM: from then on it only waits for calls that are out
END = 3.2  # s after SIGTERM; SIGKILL comes 3.7 s after it at the soonest


async def serve(config: Config) -> None:
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = Node(config)
    await node.start()
    clients = Clients(node.put, config.sockets // 2)
    await clients.listen(config.listen)
    log.info("%s serves on %s:%d", config.name, config.listen[0], clients.port)
    await stop.wait()
    await finish(node, clients, loop.time())


async def finish(node: Node, clients: Clients, begun: float) -> None:
    """Serve for as long as clients still come, then let what is out end; the rest stays in the journal."""
    loop = asyncio.get_running_loop()
    log.info("stopping")
    node.stopping(begun + END)
    await asyncio.sleep(SERVE_ON)
    await clients.close(within=0.4)
    while loop.time() < begun + END:
        if not node.busy and (loop.time() > begun + LAST_START or not node.journal.entries):
            break
        await asyncio.sleep(0.02)
    log.info("stopped: %d messages stay in the journal", len(node.journal.entries))
    node.close()


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        config = load(os.environ)
        asyncio.run(serve(config))
    except ConfigError as error:
        print(f"rainpier: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"rainpier: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
