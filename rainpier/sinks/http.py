"""Completions sent over HTTP: POST, one JSON object a line, answered by 204 (protocol page, Notices)."""

import json
import logging

from ..carriers.http.client import Client
from ..carriers.http.exchange import EXCHANGE_ERRORS
from ..store.entry import Entry
from .sink import CompletionSink, notification

log = logging.getLogger(__name__)
# s; the receiver answers at once. A completion is first sent a few rounds before its message's deadline, and
# has to arrive within 300 ms after it: a request on a silent connection can still be repeated on a new one.
REQUEST_TIMEOUT = 0.2
MAX_RESPONSE_BODY = 4096  # bytes
TARGET = "/reports"


class HttpSink(CompletionSink):
    """Sends completions to the HTTP server at `address`."""

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__()
        self.client = Client(address, MAX_RESPONSE_BODY)

    def close(self) -> None:
        """Stops the delivery and closes all connections."""
        super().close()
        self.client.drop()

    def move(self, address: tuple[str, int]) -> None:
        """Switches to another address at once. Completions without an answer are sent to it again."""
        self.close()
        self.client = Client(address, MAX_RESPONSE_BODY)
        self.start_task()

    async def deliver(self, batch: list[Entry]) -> bool:
        """Posts a batch. Returns True only for status 204 that certainly answers this request.

        On a connection still in quarantine it may be a duplicate of an earlier answer (`unconfirmed`).
        """
        self.unconfirmed = False
        body = b"".join(json.dumps(notification(entry)).encode() + b"\n" for entry in batch)
        try:
            response = await self.client.request("POST", TARGET, body, REQUEST_TIMEOUT)
        except (*EXCHANGE_ERRORS, TimeoutError) as error:
            log.warning(
                "completion sink %s:%d: %r; sending %d completions again",
                *self.client.address,
                error,
                len(batch),
            )
            return False
        self.unreadable = response.status == 400
        self.unconfirmed = response.status == 204 and not response.matched
        if response.status != 204:
            log.warning(
                "completion sink %s:%d: answered %d; sending %d completions again",
                *self.client.address,
                response.status,
                len(batch),
            )
        return response.status == 204 and response.matched
