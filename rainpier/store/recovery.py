"""Recovers a store's state from the bytes of its files alone. Does no I/O.

Sequence numbers run through all segments without a gap, and each segment's header holds the first one. So a
missing record is always noticed: the next frame skips a number, or the next segment starts at a later number
than expected, or the index knows of records beyond the end of the log. An incomplete frame at the very end
(a torn tail) was being written when the process ended: nothing that depends on it was confirmed to a client,
and it does not count as damage.

An attempt that can't be proven not to have run counts as having run: a missing record may have been the
start of an attempt of any message that was accepted before it.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from . import records as codec
from .clock import ClockReading
from .records import SegmentHeader, SegmentScan
from .state import UNKNOWN_TIME, State

SEGMENT_SUFFIX = ".seg"


@dataclass(frozen=True, slots=True)
class Finding:
    """An irregularity in the files. The field names appear in the log line of an imported journal."""

    file: str
    at: int  # byte offset
    text: str
    harm: bool  # True: records may be lost; False: what an ordinary crash leaves


@dataclass
class Recovered:
    """The result of a recovery."""

    state: State
    findings: list[Finding] = field(default_factory=list)
    segments: dict[int, int] = field(default_factory=dict)  # by number: bytes
    store_id: int = 0  # 0: the folder holds no segment yet
    next_seq: int = 1
    # messages that count as having run because nothing proves the contrary
    presumed_run: list[int] = field(default_factory=list)
    foreign_segment: str = ""  # file name of a segment of another store
    now: float = 0.0  # the timeline's time at this start, ms

    @property
    def harm(self) -> bool:
        """Whether any finding says that records may be lost."""
        return any(finding.harm for finding in self.findings)


def segment_name(number: int) -> str:
    """Returns a segment's file name."""
    return f"{number:010d}{SEGMENT_SUFFIX}"


def segment_number(name: str) -> int | None:
    """Returns the number in a segment's file name; None for any other file."""
    stem = name.removesuffix(SEGMENT_SUFFIX)
    return int(stem) if name.endswith(SEGMENT_SUFFIX) and stem.isascii() and stem.isdigit() else None


@dataclass(frozen=True, slots=True)
class Index:
    """The end of the log when the index was written.

    Recovery never needs it, and uses it only to notice that the log lost records at its end.
    """

    store_id: int
    segment: int
    size: int  # bytes of that segment
    next_seq: int


def encode_index(index: Index) -> bytes:
    """Encodes an index."""
    return codec.encode_header(SegmentHeader(index.segment, index.next_seq, index.store_id)) + codec.U64.pack(
        index.size
    )


def decode_index(data: bytes) -> Index | None:
    """Decodes an index; None if it is damaged, torn, or of a later format."""
    try:
        header = codec.decode_header(data)
    except codec.Unreadable:
        return None
    if header is None or len(data) != codec.HEADER_SIZE + codec.U64.size:
        return None
    return Index(
        header.store_id, header.segment, codec.U64.unpack_from(data, codec.HEADER_SIZE)[0], header.first_seq
    )


class Recovery:
    """Reads the segments in order, and tracks the gaps in the sequence numbers."""

    def __init__(self, state: State) -> None:
        self.result = Recovered(state)
        # sequence numbers below which records may be missing; -1: a whole segment is unreadable
        self.gaps: list[int] = []

    def report(self, file: str, at: int, text: str, harm: bool) -> None:
        """Adds a finding; `at`: offset in the file, bytes."""
        self.result.findings.append(Finding(file, at, text, harm))

    def run(
        self, files: Mapping[str, bytes], index: bytes | None, wall: float, reading: ClockReading | None
    ) -> Recovered:
        """Applies all segments, compares the index, and sets the timeline's time. Raises Unreadable.

        The arguments are those of recover().
        """
        scans = self.scan_segments(files)
        expected: int | None = None
        for n, (name, scan) in enumerate(scans):
            following = scans[n + 1][1].header.first_seq if n + 1 < len(scans) else None
            expected = self.apply_segment(name, scan, expected, following)
        self.result.next_seq = expected or 1
        if index is not None:
            self.compare_with_index(index)
        self.presume_run()
        earlier_rollback = self.result.state.clock_rollback_ms
        self.result.now = self.result.state.time_at(reading, wall)
        self.result.state.apply_start_time(self.result.now)
        if self.result.state.clock_rollback_ms > earlier_rollback:
            back = (self.result.state.clock_rollback_ms - earlier_rollback) / 1000
            self.report("", 0, f"the clock was put back by {back:.0f} s since the last record", harm=False)
        self.result.state.entries = dict(sorted(self.result.state.entries.items()))
        return self.result

    def scan_segments(self, files: Mapping[str, bytes]) -> list[tuple[str, SegmentScan]]:
        """Scans each segment whose header is readable, in the order of their numbers."""
        found: list[tuple[str, SegmentScan]] = []
        for number, name in sorted((segment_number(name) or 0, name) for name in files):
            data = files[name]
            header = codec.decode_header(data)
            self.result.segments[number] = len(data)
            if header is None or header.segment != number:
                # a crash may leave the newest segment empty, incomplete or filled with zeros
                unwritten = len(data) < codec.HEADER_SIZE or not any(data)
                newest = name == max(files)
                self.report(name, 0, "no head that can be read", harm=not (unwritten and newest))
                if not (unwritten and newest):
                    self.gaps.append(-1)
                continue
            if self.result.store_id and header.store_id != self.result.store_id:
                self.report(name, 0, "belongs to another store", harm=True)
                self.result.foreign_segment = name
                continue
            self.result.store_id = header.store_id
            found.append((name, codec.scan_segment(data, header)))
        return found

    def apply_segment(self, name: str, scan: SegmentScan, expected: int | None, following: int | None) -> int:
        """Applies one segment's records; returns the sequence number expected next.

        `expected`: the number expected first, None for the oldest segment. `following`: the first number of
        the next segment; frames from there on belong to a write that was reported as failed, and do not
        count.
        """
        state, first = self.result.state, scan.header.first_seq
        if expected is not None and first > expected:
            self.report(name, 0, f"{first - expected} records before it are missing", harm=True)
            self.gaps.append(first)
        expected = first
        for start, end in scan.damaged_ranges:
            self.report(name, start, f"{end - start} bytes are damaged", harm=True)
        for frame in scan.frames:
            if following is not None and frame.seq >= following:
                self.report(
                    name, frame.offset, "was refused when it was written, and does not count", harm=False
                )
                break
            if frame.seq > expected:
                self.report(
                    name, frame.offset, f"{frame.seq - expected} records before it are missing", harm=True
                )
                self.gaps.append(frame.seq)
            expected = frame.seq + 1
            try:
                state.apply(frame.kind, frame.payload, scan.header.segment, frame.seq)
            except ValueError as error:
                self.report(name, frame.offset, f"a record that can't be read: {error}", harm=True)
                self.gaps.append(frame.seq)
        if scan.tail_offset < scan.size:
            self.report_tail(name, scan, expected, following)
        return expected

    def report_tail(self, name: str, scan: SegmentScan, expected: int, following: int | None) -> None:
        """Reports an unreadable end of a segment. A crash leaves an incomplete frame there and nothing else.

        `expected`: the sequence number after the last intact frame; `following`: as in apply_segment.
        """
        size = scan.size - scan.tail_offset
        if following is None and not scan.torn_tail:
            self.gaps.append(expected + 1)
            return self.report(name, scan.tail_offset, f"the last {size} bytes are damaged", harm=True)
        lost = following is not None and following > expected
        suffix = "" if lost else ": nobody was told of them"
        self.report(name, scan.tail_offset, f"the last {size} bytes can't be read{suffix}", harm=lost)

    def compare_with_index(self, data: bytes) -> None:
        """Compares the log's end with the index.

        The index may be older than the log; one that counts later records proves that the log lost its end.
        """
        index = decode_index(data)
        if index is None:
            return self.report("index", 0, "can't be read: not used", harm=False)
        if index.store_id != self.result.store_id:
            return self.report("index", 0, "belongs to another store: not used", harm=False)
        if index.next_seq > self.result.next_seq:
            lost = index.next_seq - self.result.next_seq
            self.report("index", 0, f"knows of {lost} records beyond the end of the log", harm=True)
            self.result.next_seq = index.next_seq
            self.gaps.append(index.next_seq)

    def presume_run(self) -> None:
        """Marks messages as having run where a missing record may have been the start of their attempt."""
        state, last = self.result.state, max(self.gaps, default=0)
        if -1 in self.gaps:  # nothing is known of the records of an unreadable segment
            last = self.result.next_seq
        for number, entry in state.entries.items():
            if state.record_seq[number] < last and not entry.end:
                entry.risky_at = entry.risky_at or entry.begun or UNKNOWN_TIME
                self.result.presumed_run.append(number)
        if not self.gaps:
            state.orphans.clear()
        for number in sorted(state.orphans):
            self.report("", 0, f"message {number} was taken on, and its record is lost", harm=True)


def recover(
    files: Mapping[str, bytes],
    index: bytes | None,
    wall: float,
    state: State | None = None,
    reading: ClockReading | None = None,
) -> Recovered:
    """Recovers from the bytes of all segments, by file name, and of the index (None: there is none).

    `wall`: Unix time, ms. `state`: the empty state to fill, with the limits that apply to it. `reading`: the
    monotonic clock at the same time; None: only the wall clock is used. Raises Unreadable for segments of a
    later format.
    """
    return Recovery(state or State()).run(files, index, wall, reading)


def affected_messages(found: Recovered) -> Iterable[str]:
    """Yields a line of text for each message that damage may have affected."""
    for number in found.presumed_run:
        entry = found.state.entries[number]
        yield f"message {entry.id} of class {entry.cls} counts as having run"
