"""Supervision of background tasks that run for the life of the process."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

log = logging.getLogger(__name__)
RESTART_DELAY = 0.1  # s; without it a task that fails at once would keep the event loop busy


async def supervise(run: Callable[[], Awaitable[None]]) -> None:
    """Runs a background task until it is cancelled: logs each exception, and calls `run` again.

    Otherwise an exception would silently end a task that the delivery of all messages depends on.
    """
    while True:
        try:
            await run()
        except Exception:
            log.exception("background task failed; restarting it in %.1f s", RESTART_DELAY)
            await asyncio.sleep(RESTART_DELAY)
