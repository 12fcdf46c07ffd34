"""Retries of start-up steps that fail for transient reasons; permanent errors are raised at once."""

import asyncio
import errno
import logging
import math
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from .observe.events import record
from .selector import RetryingSelector

T = TypeVar("T")
RETRY_PAUSE = 0.05  # s between attempts at the same step
LOG_INTERVAL = 1.0  # s between log records of the same step
# Caused by wrong settings or missing permissions, so that a retry cannot help. Others may be transient.
PERMANENT = frozenset(
    (errno.EACCES, errno.EPERM, errno.ENOENT, errno.ENOTDIR, errno.ELOOP, errno.ENAMETOOLONG)
)
# The address is in use by another process, which may be about to end, or not assigned yet: retried for
# ADDRESS_TIMEOUT.
CONTENDED = frozenset((errno.EADDRINUSE, errno.EADDRNOTAVAIL))
FOLDER_TIMEOUT = 5.0  # s to wait for the state folder: its lock is released when its owner ends
ADDRESS_TIMEOUT = 20.0  # s; longer, because a network interface may get its address late


class StartupCancelled(Exception):
    """The process was stopped before the step was done; the text names the step."""


class Unavailable(Exception):
    """A step failed for a reason that may be transient; the text names it."""


class ResourceContended(Unavailable):
    """Another process holds the resource that a step needs.

    `__cause__` names the resource, and is raised if it is still held after FOLDER_TIMEOUT.
    """


def is_transient(error: OSError) -> bool:
    """Whether the same call may succeed later without any change to settings or permissions."""
    return error.errno not in PERMANENT


async def retry_until_available(step: str, run: Callable[[], Awaitable[T]], stop: asyncio.Event) -> T:
    """Returns the result of `run`, which is retried while it fails for transient reasons.

    `step`: its name for the log. Raises StartupCancelled if `stop` is set first, a permanent error of `run`
    unchanged, and the error of a contended resource after its timeout.
    """
    loop = asyncio.get_running_loop()
    started_at, logged_at = loop.time(), -LOG_INTERVAL
    while not stop.is_set():
        try:
            return await run()
        except Unavailable as error:
            failure: Exception = error
            timeout = FOLDER_TIMEOUT if isinstance(error, ResourceContended) else math.inf
        except OSError as error:
            if not is_transient(error):
                raise
            failure = error
            timeout = ADDRESS_TIMEOUT if error.errno in CONTENDED else math.inf
        if loop.time() - started_at > timeout:
            raise failure.__cause__ or failure
        if loop.time() - logged_at >= LOG_INTERVAL:
            logged_at = loop.time()
            record("start_delayed", step, level=logging.WARNING, error=failure)
        await sleep_unless(stop, RETRY_PAUSE)
    raise StartupCancelled(step)


class EventLoop(asyncio.SelectorEventLoop):
    """An event loop that can be closed even if its constructor failed for lack of descriptors."""

    def __init__(self, selector: RetryingSelector) -> None:
        self.initialized = False
        super().__init__(selector)
        self.initialized = True

    def close(self) -> None:
        """Closes the loop, unless its constructor failed."""
        if self.initialized:
            super().close()


def make_loop() -> asyncio.AbstractEventLoop:
    """Creates an event loop. If that raises OSError, no descriptor stays open."""
    selector = RetryingSelector()
    try:
        return EventLoop(selector)
    except OSError:
        selector.close()
        raise


def new_loop() -> asyncio.Runner:
    """Creates a runner with an event loop; retries after transient errors, as a lack of descriptors.

    Raises OSError for permanent ones.
    """
    while True:
        runner = asyncio.Runner(loop_factory=make_loop)
        try:
            runner.get_loop()
        except OSError as error:
            if not is_transient(error):
                raise
            record("start_delayed", "event_loop", level=logging.WARNING, error=error)
            time.sleep(RETRY_PAUSE)
        else:
            return runner


async def sleep_unless(stop: asyncio.Event, seconds: float) -> None:
    """Sleeps for `seconds`, or until `stop` is set."""
    try:
        await asyncio.wait_for(stop.wait(), seconds)
    except TimeoutError:
        return
