"""Runs one sender: python -m rainpier. Its configuration comes from the environment."""

import asyncio
import logging
import os
import signal
import sys

from .config.platform import ConfigError, load
from .config.reload import Reload
from .fronts.resp.server import Clients
from .membership.platform import Discovery
from .node.node import Node
from .sinks.notices import Notices
from .tasks import keep

log = logging.getLogger("rainpier")
SERVE_ON = 0.45  # s after SIGTERM: new connections come for up to 0.4 s
LAST_START = 2.5  # s after SIGTERM: from then on it only waits for calls that are out
END = 3.2  # s after SIGTERM; SIGKILL comes 3.7 s after it at the soonest


async def serve() -> None:
    loop, stop, reload = asyncio.get_running_loop(), asyncio.Event(), Reload(os.environ)
    loop.add_signal_handler(signal.SIGHUP, reload.ask)  # first: unhandled it ends the process
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    config = load(os.environ)
    discovery, notices = Discovery(config.discovery), Notices(config.discovery)
    node = Node(config, discovery, notices)
    reloading = loop.create_task(keep(lambda: reload.run(config, discovery, notices)))
    await node.start()
    clients = Clients(node.put, config.for_clients)
    await clients.listen(config.listen)
    log.info("%s serves on %s:%d", config.name, config.listen[0], clients.port)
    log.info("%d slots, %d descriptors, %d bytes of disk", node.s.slots, config.sockets, config.disk)
    await stop.wait()
    await finish(node, clients, loop.time())
    reloading.cancel()


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
    # Guards the moments before the loop's handlers and after them: SIGHUP must never end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        asyncio.run(serve())
    except ConfigError as error:
        print(f"rainpier: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"rainpier: {error}", file=sys.stderr)
        return 1
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return 0


if __name__ == "__main__":
    sys.exit(main())
