"""python -m rainpier: with no words the platform's sender, whose configuration comes from the environment.

With words it is the command line: see rainpier/cli.
"""

import asyncio
import logging
import os
import signal
import sys

from .config.platform import ConfigError, load
from .config.reload import Reload
from .fronts.resp.server import Clients
from .host import finish
from .membership.platform import Discovery
from .node.node import Node
from .observe.events import record
from .sinks.notices import Notices
from .store.files import InUse
from .store.store import StoreError
from .tasks import keep

log = logging.getLogger("rainpier")


async def serve() -> None:
    loop, stop, reload = asyncio.get_running_loop(), asyncio.Event(), Reload(os.environ)
    loop.add_signal_handler(signal.SIGHUP, reload.ask)  # first: unhandled it ends the process
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    config = load(os.environ)
    record("process", "starting", pid=os.getpid(), name=config.name)
    discovery = Discovery(config.discovery, config.known, config.settings.senders)
    notices = Notices(config.discovery)
    node = Node(config, discovery, notices)
    reloading = loop.create_task(keep(lambda: reload.run(config, discovery, notices)))
    await node.start()
    clients = Clients(node.put, config.for_clients)
    await clients.listen(config.listen)
    log.info("%s serves on %s:%d", config.name, config.listen[0], clients.port)
    record("process", "serving", pid=os.getpid(), name=config.name, held=len(node.store.entries))
    log.info("%d slots, %d descriptors, %d bytes of disk", node.core.s.slots, config.sockets, config.disk)
    await stop.wait()
    await finish(node, [clients], loop.time())
    reloading.cancel()


def log_level() -> int:
    """RAINPIER_LOG=debug also logs each refused request and each ended attempt."""
    return logging.DEBUG if os.environ.get("RAINPIER_LOG", "").lower() == "debug" else logging.INFO


def main() -> int:
    """The platform's sender."""
    logging.basicConfig(stream=sys.stderr, level=log_level(), format="%(asctime)s %(levelname)s %(message)s")
    # Guards the moments before the loop's handlers and after them: SIGHUP must never end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        asyncio.run(serve())
    except (ConfigError, InUse, StoreError) as error:
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
        from .cli.main import main as command_line  # only here: the platform's sender has no use for it

        command_line(prog_name="rainpier")
    sys.exit(main())
