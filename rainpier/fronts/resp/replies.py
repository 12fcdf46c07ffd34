"""The replies of one connection that are not written yet, in the order of their requests. No I/O."""

import asyncio
from collections import deque
from collections.abc import Callable

from ...submission import PendingResult
from .requests import encode_result

Reply = PendingResult | bytes  # bytes: a reply that is encoded already


class ReplyQueue:
    """Replies and pending results, and the memory that the encoded ones take."""

    def __init__(self) -> None:
        self.queue: deque[Reply] = deque()
        self.encoded_size = 0  # bytes of the encoded replies

    def __len__(self) -> int:
        """Returns the number of requests without a written reply."""
        return len(self.queue)

    def append(self, reply: Reply) -> None:
        """Adds the reply to the latest request."""
        self.queue.append(reply)
        if isinstance(reply, bytes):
            self.encoded_size += len(reply)

    def clear(self) -> None:
        """Drops all replies."""
        self.queue.clear()
        self.encoded_size = 0

    def take_ready(self, on_result: Callable[[asyncio.Future], None]) -> bytes:
        """Removes and returns the replies up to the first pending one, whose result calls `on_result`."""
        ready = []
        while self.queue:
            reply = self.queue[0]
            if isinstance(reply, asyncio.Future) and not reply.done():
                reply.add_done_callback(on_result)
                break
            self.queue.popleft()
            ready.append(self.encode(reply))
        return b"".join(ready)

    def encode(self, reply: Reply) -> bytes:
        """Returns an encoded reply as it is, and encodes a result."""
        if isinstance(reply, bytes):
            self.encoded_size -= len(reply)
            return reply
        return encode_result(reply.result() if isinstance(reply, asyncio.Future) else reply)
