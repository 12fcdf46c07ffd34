"""Runs instances of the policy for the simulator, over its binary protocol on stdin and stdout.

It only translates between records and the types in interface.py; all decisions are made in policy.py.
"""

import json
import struct
import sys
import traceback
from collections.abc import Callable
from typing import BinaryIO

from . import interface as i
from .config.platform import settings
from .policy import Sender

# Numbers of records, their fields and status codes are those of the simulator's protocol, big-endian.
OUTCOMES = {  # by status code
    0: i.Outcome.OK, 255: i.Outcome.ERROR, 254: i.Outcome.FULL, 253: i.Outcome.TIMEOUT,
    252: i.Outcome.CONNECT_FAILED, 251: i.Outcome.RESET, 250: i.Outcome.CANCELLED, 249: i.Outcome.MOOT,
}  # fmt: skip
# A batch: number, bytes with this header, number of records, time in ms. A reply: the same without the time.
# A record: code, bytes of its fields.
BATCH_HEADER, REPLY_HEADER, RECORD_HEADER = (
    struct.Struct(">IIId"),
    struct.Struct(">III"),
    struct.Struct(">BI"),
)
# Endpoint, zone, kind, destination, condition, rating (a rate in calls a second), Unix time of its start.
ENDPOINT_ENTRY = struct.Struct(">IHHHBfd")
ALL_PEERS = 0xFFFFFFFF  # peer number that addresses all other senders
# Codes of the event records that change the host itself; the others are in EVENT_READERS.
ENDPOINT_LIST, START, CRASH = 4, 5, 6
FAILURE = 73  # code of the reply record for an instance that raised an exception
MAX_FAILURE_TEXT = 1000  # bytes
REPEATED_FLAG, INHERITED_FLAG = 2, 16  # bits of an arrival's flags


class WireError(Exception):
    """The input violates the protocol; ends the process."""


class Fields:
    """A reader of the fields of one record, in sequence. WireError if the record is too short."""

    def __init__(self, data: bytes) -> None:
        self.data, self.position = data, 0

    def unpack(self, layout: str) -> tuple:
        """Unpacks the next fields; `layout` is a struct format, big-endian and without its prefix."""
        fields = struct.Struct(">" + layout)
        if self.position + fields.size > len(self.data):
            raise WireError(
                f"record truncated: needs {self.position + fields.size} bytes, has {len(self.data)}"
            )
        self.position += fields.size
        return fields.unpack_from(self.data, self.position - fields.size)

    def read_bytes(self, size: int) -> bytes:
        """Reads the next `size` bytes."""
        if self.position + size > len(self.data):
            raise WireError(f"record truncated: needs {self.position + size} bytes, has {len(self.data)}")
        self.position += size
        return self.data[self.position - size : self.position]

    def read_report(self) -> tuple[float, ...]:
        """Reads a load report: a count, then as many floats."""
        (count,) = self.unpack("B")
        return self.unpack(f"{count}f")


class Instance:
    """One instance of the policy, and whether the ratings in its endpoint lists are rates."""

    def __init__(self, seed: int, raw: dict) -> None:
        self.sender = Sender(settings(raw), seed)
        self.has_rates = raw.get("weights", "off") != "off"

    def endpoint_entry(self, entry: tuple) -> i.EndpointEntry:
        """Converts an unpacked ENDPOINT_ENTRY; the rate is None if ratings are not rates."""
        endpoint, zone, kind, destination, condition, rating, added = entry
        rate = rating if self.has_rates else None
        return i.EndpointEntry(endpoint, destination, zone, kind, i.Condition(condition), rate, added)


def encode(sender: int, action: i.Action) -> bytes:
    """Encodes an action as one record of a reply. TypeError if it has no record."""

    def record(code: int, layout: str, *values: float, tail: bytes = b"") -> bytes:
        """Packs a record: the sender, the values by struct format `layout`, then the tail."""
        fields = struct.pack(">I" + layout, sender, *values) + tail
        return RECORD_HEADER.pack(code, len(fields)) + fields

    match action:
        case i.Send(message, endpoint, timeout):
            return record(64, "QId", message, endpoint, timeout)
        case i.Refuse(message, retry_after):
            return record(65, "Qd", message, retry_after)
        case i.Fail(message):
            return record(66, "Q", message)
        case i.Cancel(message, attempt):
            return record(67, "QH", message, attempt)
        case i.SetTimer(token, delay):
            return record(68, "Id", token, delay)
        case i.Probe(endpoint):
            return record(69, "I", endpoint)
        case i.CloseIdle(endpoint):
            return record(70, "I", endpoint)
        case i.TellPeer(peer, data):
            return record(71, "IH", ALL_PEERS if peer is None else peer, len(data), tail=data)
        case i.Log(text):
            encoded = text.encode()
            return record(72, "H", len(encoded), tail=encoded)
        case i.WatchList(active):
            return record(74, "B", active)
        case i.ReadList():
            return record(75, "")
    raise TypeError(f"action without a record: {action!r}")


def encode_failure(sender: int, error: BaseException) -> bytes:
    """Encodes the reply record for an instance that raised `error`."""
    text = repr(error).encode()[:MAX_FAILURE_TEXT]
    fields = struct.pack(">IH", sender, len(text)) + text
    return RECORD_HEADER.pack(FAILURE, len(fields)) + fields


class InstanceHost:
    """All instances in this process, and the numbered endpoint lists that they share."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}  # by sender
        self.endpoint_lists: dict[int, list[tuple]] = {}  # by number: unpacked ENDPOINT_ENTRY
        self.pending: dict[int, list[i.Event]] = {}  # by sender: events of the current batch
        self.reply_records: list[bytes] = []  # of the current batch
        self.now = 0.0  # time of the current batch, ms

    def deliver_events(self, sender: int) -> None:
        """Passes the events of this batch to an instance and encodes its actions, or its exception."""
        events = self.pending.pop(sender, None)
        instance = self.instances.get(sender)
        if events is None or instance is None:
            return
        try:
            actions = instance.sender.handle(self.now, events)
            # Forget and OutageChange concern the state on disk, which a simulated instance does not have.
            encodable = (a for a in actions if not isinstance(a, i.Forget | i.OutageChange))
            self.reply_records.extend(encode(sender, a) for a in encodable)
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            self.reply_records.append(encode_failure(sender, error))

    def apply_batch(self, now: float, records: list[tuple[int, bytes]]) -> list[bytes]:
        """Applies the event records of one batch in order, at time `now` (ms); returns the reply records.

        Each instance gets its events in one round. WireError for an unknown code or list, or a short record.
        """
        self.now, self.reply_records = now, []
        for code, data in records:
            reader = EVENT_READERS.get(code)
            if reader is None:
                raise WireError(f"unknown event code {code}")
            fields = Fields(data)
            if code == ENDPOINT_LIST:
                number, size = fields.unpack("BI")
                self.endpoint_lists[number] = [
                    ENDPOINT_ENTRY.unpack(fields.read_bytes(ENDPOINT_ENTRY.size)) for _ in range(size)
                ]
                continue
            (sender,) = fields.unpack("I")
            if code in (START, CRASH):  # earlier events of this batch were for the previous instance
                self.pending.pop(sender, None)
                self.instances.pop(sender, None)
                if code == START:
                    seed, size = fields.unpack("QI")
                    try:
                        raw = json.loads(fields.read_bytes(size))
                        self.instances[sender] = Instance(seed, raw)
                        self.pending[sender] = []
                    except WireError:
                        raise
                    except Exception as error:
                        traceback.print_exc(file=sys.stderr)
                        self.reply_records.append(encode_failure(sender, error))
            elif sender in self.instances:
                self.pending.setdefault(sender, []).append(reader(self, self.instances[sender], fields))
        for sender in list(self.pending):
            self.deliver_events(sender)
        return self.reply_records

    def read_list_change(self, instance: Instance, fields: Fields) -> i.Event:
        """Reads the change of an instance's endpoint list: a reference to one of `endpoint_lists`."""
        _, list_number, scope = fields.unpack("IBB")
        kind = i.ListKind(scope)
        if kind is i.ListKind.FAILED:
            return i.ListChange(kind)
        if list_number not in self.endpoint_lists:
            raise WireError(f"unknown endpoint list {list_number}")
        return i.ListChange(
            kind, tuple(instance.endpoint_entry(entry) for entry in self.endpoint_lists[list_number])
        )

    def read_arrival(self, _: Instance, fields: Fields) -> i.Event:
        """Reads a submission; its hint has no meaning for the policy."""
        message, cls, tenant, key, deadline, _hint, destination, flags = fields.unpack("QHIQddfH")
        return i.Arrival(
            message,
            cls,
            int(destination),
            deadline,
            key,
            tenant,
            bool(flags & REPEATED_FLAG),
            bool(flags & INHERITED_FLAG),
        )

    def read_result(self, _: Instance, fields: Fields) -> i.Event:
        """Reads the result of an attempt; only refusals have a retry-after time."""
        message, attempt, endpoint, status, elapsed, completed, retry_after_ms = fields.unpack("QHIHdBI")
        outcome = OUTCOMES[status]
        wait = retry_after_ms if outcome is i.Outcome.FULL else 0
        return i.Result(
            message, attempt, endpoint, outcome, elapsed, bool(completed), wait, fields.read_report()
        )

    def read_probe_result(self, _: Instance, fields: Fields) -> i.Event:
        """Reads the result of a probe call."""
        status, elapsed, endpoint = fields.unpack("HdI")
        return i.ProbeResult(endpoint, OUTCOMES[status], elapsed, fields.read_report())

    def read_peer_note(self, _: Instance, fields: Fields) -> i.Event:
        """Reads data from another sender."""
        peer, size = fields.unpack("HH")
        return i.PeerNote(peer, fields.read_bytes(size))


def _not_dispatched(_host: InstanceHost, _instance: Instance, _fields: Fields) -> i.Event:
    """Stands in EVENT_READERS for the codes of records that are no events of an instance."""
    raise AssertionError("record is handled by InstanceHost.apply_batch itself")


EVENT_READERS: dict[int, Callable[[InstanceHost, Instance, Fields], i.Event]] = {  # by record code
    0: lambda _h, _i, fields: i.TimerDue(*fields.unpack("I")),
    1: InstanceHost.read_peer_note,
    2: InstanceHost.read_list_change,
    3: InstanceHost.read_probe_result,
    ENDPOINT_LIST: _not_dispatched,
    START: _not_dispatched,
    CRASH: _not_dispatched,
    7: InstanceHost.read_result,
    8: lambda _h, _i, fields: i.Withdrawn(*fields.unpack("Q")),
    9: InstanceHost.read_arrival,
    10: lambda _h, _i, fields: i.StreamOpened(*fields.unpack("QHId")),
}


def read_batch(input_stream: BinaryIO) -> tuple[int, float, list[tuple[int, bytes]]] | None:
    """Reads a batch: its number, its time (ms) and its records (code, fields); None at the end of input.

    WireError if the input ends within a batch, or if the sizes do not match.
    """
    header = input_stream.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError(f"batch header truncated: got {len(header)} of {BATCH_HEADER.size} bytes")
    number, size, count, now = BATCH_HEADER.unpack(header)
    if size < BATCH_HEADER.size:
        raise WireError(f"batch of {size} bytes is shorter than its header of {BATCH_HEADER.size}")
    body = input_stream.read(size - BATCH_HEADER.size)
    if len(body) < size - BATCH_HEADER.size:
        raise WireError(f"batch truncated: got {len(body)} of {size - BATCH_HEADER.size} bytes")
    records, offset = [], 0
    for _ in range(count):
        if offset + RECORD_HEADER.size > len(body):
            raise WireError(f"batch of {len(body)} bytes is too short for {count} records")
        code, length = RECORD_HEADER.unpack_from(body, offset)
        offset += RECORD_HEADER.size
        if offset + length > len(body):
            raise WireError(f"record of {length} bytes exceeds the batch of {len(body)}")
        records.append((code, body[offset : offset + length]))
        offset += length
    if offset != len(body):
        raise WireError(f"batch of {len(body)} bytes is longer than its records of {offset} bytes")
    return number, now, records


def serve(input_stream: BinaryIO, output_stream: BinaryIO) -> int:
    """Replies to batches until the input ends; returns the exit code, 2 for a WireError."""
    host = InstanceHost()
    try:
        while (batch := read_batch(input_stream)) is not None:
            number, now, records = batch
            reply_records = host.apply_batch(now, records)
            body = b"".join(reply_records)
            output_stream.write(
                REPLY_HEADER.pack(number, REPLY_HEADER.size + len(body), len(reply_records)) + body
            )
            output_stream.flush()
    except (WireError, KeyError, ValueError) as error:
        print(f"rainpier.simhost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
