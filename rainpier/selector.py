"""A selector for the event loop that retries registrations which fail for transient reasons.

EPOLL_CTL_ADD can fail temporarily with ENOMEM (no kernel memory) and ENOSPC (the user's limit on watches).
The event loop would then give up the descriptor: a listening socket would accept no more connections, and a
connection would never be read. This selector treats the descriptor as registered and retries until the kernel
accepts it.
"""

import errno
import selectors
import time
from collections import ChainMap
from collections.abc import Mapping

TRANSIENT = frozenset((errno.ENOMEM, errno.ENOSPC))
SHORTAGE_PAUSE = 0.005  # s; short compared with any timeout, long compared with one loop iteration
RETRY_INTERVAL = 0.02  # s; longest wait of a select while a registration is still to be retried


class LoopThrottle:
    """Delays the event loop after a system call failed for a shortage, so that retries do not busy-loop."""

    def __init__(self) -> None:
        self.delay_requested = False

    def delay_next_select(self) -> None:
        """Delays the next select by SHORTAGE_PAUSE."""
        self.delay_requested = True

    def pause(self) -> None:
        """Blocks for SHORTAGE_PAUSE if a delay was requested."""
        if self.delay_requested:
            self.delay_requested = False
            time.sleep(SHORTAGE_PAUSE)


THROTTLE = LoopThrottle()  # of the process, which has one event loop


class RetryingSelector(selectors.BaseSelector):
    """Wraps the selector `inner`, by default the best one of the operating system."""

    def __init__(self, inner: selectors.BaseSelector | None = None) -> None:
        self.inner = selectors.DefaultSelector() if inner is None else inner
        self.unwatched: dict[int, selectors.SelectorKey] = {}  # by descriptor: failed registrations
        # A live view, built once: the event loop reads it for every operation on a connection.
        self.keys = ChainMap(self.unwatched, self.inner.get_map())

    def register(self, fileobj: object, events: int, data: object = None) -> selectors.SelectorKey:
        """Registers a file object. After a transient error it counts as registered, and is retried."""
        try:
            return self.inner.register(fileobj, events, data)
        except OSError as error:
            if error.errno not in TRANSIENT:
                raise
        fd = descriptor_of(fileobj)
        if fd in self.unwatched:
            raise KeyError(f"{fileobj!r} is already registered")
        self.unwatched[fd] = selectors.SelectorKey(fileobj, fd, events, data)
        return self.unwatched[fd]

    def unregister(self, fileobj: object) -> selectors.SelectorKey:
        """Unregisters a file object, also one whose registration is still retried."""
        if self.unwatched and (key := self.unwatched.pop(descriptor_of(fileobj), None)) is not None:
            return key
        return self.inner.unregister(fileobj)

    def modify(self, fileobj: object, events: int, data: object = None) -> selectors.SelectorKey:
        """Replaces the events and data of a file object, also of one whose registration is still retried."""
        if self.unwatched and descriptor_of(fileobj) in self.unwatched:
            self.unregister(fileobj)
            return self.register(fileobj, events, data)
        return self.inner.modify(fileobj, events, data)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Retries failed registrations, then waits for events; at most RETRY_INTERVAL if any still fails."""
        THROTTLE.pause()
        if self.unwatched:
            self.retry_registrations()
        if self.unwatched:
            timeout = RETRY_INTERVAL if timeout is None else min(timeout, RETRY_INTERVAL)
        return self.inner.select(timeout)

    def retry_registrations(self) -> None:
        """Retries the failed registrations in order, until one fails with a transient error again."""
        for fd, key in list(self.unwatched.items()):
            try:
                self.inner.register(key.fileobj, key.events, key.data)
            except (OSError, ValueError) as error:
                if isinstance(error, OSError) and error.errno in TRANSIENT:
                    return
                continue  # the descriptor was closed meanwhile; its owner will unregister it
            del self.unwatched[fd]

    def close(self) -> None:
        """Closes the inner selector; failed registrations are dropped."""
        self.unwatched.clear()
        self.inner.close()

    def get_map(self) -> Mapping:
        """Returns the registered keys, including those whose registration is still retried."""
        return self.keys

    def get_key(self, fileobj: object) -> selectors.SelectorKey:
        """Returns the key of a file object, also of one whose registration is still retried."""
        if self.unwatched and (key := self.unwatched.get(descriptor_of(fileobj))) is not None:
            return key
        return self.inner.get_key(fileobj)


def descriptor_of(fileobj: object) -> int:
    """Returns the descriptor of a file object, -1 for a closed one; a number is returned unchanged."""
    return fileobj if isinstance(fileobj, int) else fileobj.fileno()
