"""A selector for the event loop that outlives refusals to watch a descriptor.

Linux refuses EPOLL_CTL_ADD for a moment with ENOMEM (no kernel memory) and ENOSPC (the user's limit on
watches). The event loop gives up such a descriptor: a listener accepts nobody any more, and a connection
is never read. Here it counts as registered, and the system is asked again until it watches it.
"""

import errno
import selectors
import time
from collections import ChainMap
from collections.abc import Mapping

TRANSIENT = frozenset((errno.ENOMEM, errno.ENOSPC))
SHORTAGE_PAUSE = 0.005  # s: short beside any time limit, and long beside a turn of the loop
RETRY_INTERVAL = 0.02  # s that a select waits at most while a descriptor is not watched yet


class Pacing:
    """Keeps the loop from spinning on calls that fail at once and are made again at once."""

    def __init__(self) -> None:
        self.due = False

    def slow_down(self) -> None:
        """The next select comes SHORTAGE_PAUSE later."""
        self.due = True

    def pause(self) -> None:
        if self.due:
            self.due = False
            time.sleep(SHORTAGE_PAUSE)


PACING = Pacing()  # of the process's one event loop


class RetryingSelector(selectors.BaseSelector):
    """`inner`: the selector that does the work; the platform's best one by default."""

    def __init__(self, inner: selectors.BaseSelector | None = None) -> None:
        self.inner = selectors.DefaultSelector() if inner is None else inner
        self.unwatched: dict[int, selectors.SelectorKey] = {}  # by descriptor
        # What the loop calls for each of its turns and connections goes straight through.
        self.keys = ChainMap(self.unwatched, self.inner.get_map())

    def register(self, fileobj: object, events: int, data: object = None) -> selectors.SelectorKey:
        try:
            return self.inner.register(fileobj, events, data)
        except OSError as error:
            if error.errno not in TRANSIENT:
                raise
        fd = descriptor(fileobj)
        if fd in self.unwatched:
            raise KeyError(f"{fileobj!r} is registered already")
        self.unwatched[fd] = selectors.SelectorKey(fileobj, fd, events, data)
        return self.unwatched[fd]

    def unregister(self, fileobj: object) -> selectors.SelectorKey:
        if self.unwatched and (key := self.unwatched.pop(descriptor(fileobj), None)) is not None:
            return key
        return self.inner.unregister(fileobj)

    def modify(self, fileobj: object, events: int, data: object = None) -> selectors.SelectorKey:
        if self.unwatched and descriptor(fileobj) in self.unwatched:
            self.unregister(fileobj)
            return self.register(fileobj, events, data)
        return self.inner.modify(fileobj, events, data)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        PACING.pause()
        if self.unwatched:
            self.watch()
        if self.unwatched:
            timeout = RETRY_INTERVAL if timeout is None else min(timeout, RETRY_INTERVAL)
        return self.inner.select(timeout)

    def watch(self) -> None:
        """Ask the system again for what it refused."""
        for fd, key in list(self.unwatched.items()):
            try:
                self.inner.register(key.fileobj, key.events, key.data)
            except (OSError, ValueError) as error:
                if isinstance(error, OSError) and error.errno in TRANSIENT:
                    return
                # It was closed meanwhile: its owner unregisters it.
                continue
            del self.unwatched[fd]

    def close(self) -> None:
        self.unwatched.clear()
        self.inner.close()

    def get_map(self) -> Mapping:
        return self.keys

    def get_key(self, fileobj: object) -> selectors.SelectorKey:
        if self.unwatched and (key := self.unwatched.get(descriptor(fileobj))) is not None:
            return key
        return self.inner.get_key(fileobj)


def descriptor(fileobj: object) -> int:
    """The number of a descriptor, or of an object that has one; -1 where it is closed."""
    return fileobj if isinstance(fileobj, int) else fileobj.fileno()
