"""What is left of a store, from its files' bytes alone. No input or output.

Sequence numbers run through all segments without a gap, and each segment's head says with which it
begins. So a record that is missing is known to be missing: behind it a number was left out, or the next
segment begins later than it should, or the index knows of records beyond the end. The beginning of a
frame at the very end was being written when the process ended: nobody was told of it, and it is no
damage.

What can't be proven not to have run counts as having run: every message that was there before a missing
record may have been begun by it.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from . import records as r
from .clock import Reading
from .records import Head, Scan
from .state import UNKNOWN, State

SUFFIX = ".seg"


@dataclass(frozen=True, slots=True)
class Finding:
    """Something that is not as it should be."""

    file: str
    at: int  # byte offset
    text: str
    harm: bool  # records may be lost by it; else it is what a crash leaves


@dataclass
class Recovered:
    state: State
    findings: list[Finding] = field(default_factory=list)
    segments: dict[int, int] = field(default_factory=dict)  # by number: bytes
    store: int = 0  # 0: there is none yet
    next_seq: int = 1
    doubtful: list[int] = field(default_factory=list)  # messages that count as having run for want of proof
    foreign: str = ""  # a segment of another store
    now: float = 0.0  # the timeline's time at the start, ms

    @property
    def harm(self) -> bool:
        return any(finding.harm for finding in self.findings)


def segment_name(number: int) -> str:
    return f"{number:010d}{SUFFIX}"


def segment_number(name: str) -> int | None:
    stem = name.removesuffix(SUFFIX)
    return int(stem) if name.endswith(SUFFIX) and stem.isascii() and stem.isdigit() else None


@dataclass(frozen=True, slots=True)
class Index:
    """What was written last when the index was: a hint that is never needed, and never believed for more."""

    store: int
    segment: int
    size: int
    next_seq: int


def write_index(index: Index) -> bytes:
    return r.write_head(Head(index.segment, index.next_seq, index.store)) + r.KEY.pack(index.size)


def read_index(data: bytes) -> Index | None:
    try:
        head = r.read_head(data)
    except r.Unreadable:
        return None
    if head is None or len(data) != r.HEAD_SIZE + r.KEY.size:
        return None
    return Index(head.store, head.segment, r.KEY.unpack_from(data, r.HEAD_SIZE)[0], head.first)


class Recovery:
    """Reads the segments in order, and keeps account of what is missing."""

    def __init__(self, state: State) -> None:
        self.out = Recovered(state)
        self.gaps: list[int] = []  # sequence numbers up to which records may be missing

    def say(self, file: str, at: int, text: str, harm: bool) -> None:
        self.out.findings.append(Finding(file, at, text, harm))

    def run(
        self, files: Mapping[str, bytes], index: bytes | None, wall: float, reading: Reading | None
    ) -> Recovered:
        scans = self.scans(files)
        expected: int | None = None
        for n, (name, scan) in enumerate(scans):
            following = scans[n + 1][1].head.first if n + 1 < len(scans) else None
            expected = self.segment(name, scan, expected, following)
        self.out.next_seq = expected or 1
        if index is not None:
            self.compare(index)
        self.doubt()
        before = self.out.state.put_back
        self.out.now = self.out.state.time_at(reading, wall)
        self.out.state.clock(self.out.now)
        if self.out.state.put_back > before:
            back = (self.out.state.put_back - before) / 1000
            self.say("", 0, f"the clock was put back by {back:.0f} s since the last record", harm=False)
        self.out.state.entries = dict(sorted(self.out.state.entries.items()))
        return self.out

    def scans(self, files: Mapping[str, bytes]) -> list[tuple[str, Scan]]:
        """Each segment whose head can be read, in order of their numbers."""
        found: list[tuple[str, Scan]] = []
        for number, name in sorted((segment_number(name) or 0, name) for name in files):
            data = files[name]
            head = r.read_head(data)
            self.out.segments[number] = len(data)
            if head is None or head.segment != number:
                short = len(data) < r.HEAD_SIZE or not any(data)
                last = name == max(files)
                self.say(name, 0, "no head that can be read", harm=not (short and last))
                if not (short and last):
                    self.gaps.append(-1)
                continue
            if self.out.store and head.store != self.out.store:
                self.say(name, 0, "belongs to another store", harm=True)
                self.out.foreign = name
                continue
            self.out.store = head.store
            found.append((name, r.scan(data, head)))
        return found

    def segment(self, name: str, scan: Scan, expected: int | None, following: int | None) -> int:
        """Apply one segment; the sequence number that has to come next."""
        state, first = self.out.state, scan.head.first
        if expected is not None and first > expected:
            self.say(name, 0, f"{first - expected} records before it are missing", harm=True)
            self.gaps.append(first)
        expected = first
        for start, end in scan.damaged:
            self.say(name, start, f"{end - start} bytes are damaged", harm=True)
        for frame in scan.frames:
            if following is not None and frame.seq >= following:
                self.say(name, frame.at, "was refused when it was written, and does not count", harm=False)
                break
            if frame.seq > expected:
                self.say(name, frame.at, f"{frame.seq - expected} records before it are missing", harm=True)
                self.gaps.append(frame.seq)
            expected = frame.seq + 1
            try:
                state.apply(frame.kind, frame.payload, scan.head.segment, frame.seq)
            except ValueError as error:
                self.say(name, frame.at, f"a record that can't be read: {error}", harm=True)
                self.gaps.append(frame.seq)
        if scan.tail < scan.size:
            self.tail(name, scan, expected, following)
        return expected

    def tail(self, name: str, scan: Scan, expected: int, following: int | None) -> None:
        """What can't be read at the end. A crash leaves the beginning of a frame there, and nothing else."""
        size = scan.size - scan.tail
        if following is None and not scan.torn:
            self.gaps.append(expected + 1)
            return self.say(name, scan.tail, f"the last {size} bytes are damaged", harm=True)
        lost = following is not None and following > expected
        told = "" if lost else ": nobody was told of them"
        self.say(name, scan.tail, f"the last {size} bytes can't be read{told}", harm=lost)

    def compare(self, data: bytes) -> None:
        """The index may be older than the log. One that knows more proves that the log lost its end."""
        index = read_index(data)
        if index is None:
            return self.say("index", 0, "can't be read: not used", harm=False)
        if index.store != self.out.store:
            return self.say("index", 0, "belongs to another store: not used", harm=False)
        if index.next_seq > self.out.next_seq:
            lost = index.next_seq - self.out.next_seq
            self.say("index", 0, f"knows of {lost} records beyond the end of the log", harm=True)
            self.out.next_seq = index.next_seq
            self.gaps.append(index.next_seq)

    def doubt(self) -> None:
        state, last = self.out.state, max(self.gaps, default=0)
        if -1 in self.gaps:  # a whole segment that nothing is known of
            last = self.out.next_seq
        for number, entry in state.entries.items():
            if state.since[number] < last and not entry.end:
                entry.risky_at = entry.risky_at or entry.begun or UNKNOWN
                self.out.doubtful.append(number)
        if not self.gaps:
            state.orphans.clear()
        for number in sorted(state.orphans):
            self.say("", 0, f"message {number} was taken on, and its record is lost", harm=True)


def recover(
    files: Mapping[str, bytes],
    index: bytes | None,
    wall: float,
    state: State | None = None,
    reading: Reading | None = None,
) -> Recovered:
    """From the bytes of all segments, by file name. `wall`: Unix time, ms. Unreadable: a later format's."""
    return Recovery(state or State()).run(files, index, wall, reading)


def touched(found: Recovered) -> Iterable[str]:
    """The messages that damage bears on, for people."""
    for number in found.doubtful:
        entry = found.state.entries[number]
        yield f"message {entry.id} of class {entry.cls} counts as having run"
