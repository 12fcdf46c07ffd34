"""The store: accepted messages in a log of segments that is compacted while traffic continues.

A change that may be refused is written to the log before it is applied to the state. A record that must not
be lost and finds no room is deferred: it is written later, in its order, and everything that depends on it
waits behind it. Until then no attempt begins, no message is accepted, and a final status is sent only after
its message's deadline (see node/completions.py).
"""

import errno
import logging
import os
import time
import zlib
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import islice

from ..interface import Outcome
from ..observe.events import record
from ..startup import Unavailable, is_transient
from . import destinations, upgrade
from . import records as codec
from .clock import ClockAnchor, ClockReading
from .entry import AttemptPlace, Entry
from .files import Files
from .records import Kind, SegmentHeader
from .recovery import Index, Recovered, affected_messages, encode_index, recover, segment_name, segment_number
from .state import KeyPause, State

log = logging.getLogger(__name__)
BLOCK_SIZE = 512  # bytes; each file's size counts rounded up to this
SEGMENTS_PER_DISK = 16  # so many segments fill the disk limit
MIN_SEGMENT_SIZE, MAX_SEGMENT_SIZE = 16 << 10, 4 << 20  # bytes
# Share of the disk limit for live messages; the rest is for their relocated copies and their progress. The
# journal of 0.1.0 accepted as much on the same disk; messages held beyond that are mostly delivered late.
LIVE_SHARE = 0.3
# Bytes for the remembered id of a completed message, and the share of the disk limit for all of them.
COMPLETED_ID_SIZE, COMPLETED_IDS_SHARE = 60, 0.05
GUARDED_IDS_SHARE = 0.1  # the same for ids of messages that must not run twice
# Bytes that a message's records take beside body, id and token, its progress and final status included, with
# three names of zones of 12 bytes.
PROGRESS_SIZE = 208
COMPACTION_SHARE = 0.6  # of the disk limit: from there on the oldest segment is compacted
COMPACTION_STEP_SIZE = 64 << 10  # bytes that a round relocates at most, unless CATCH_UP_FACTOR allows more
COMPACTION_STEP_S = 0.002  # longest time that a round spends on relocating, which blocks the event loop
CATCH_UP_FACTOR = 3  # a round may relocate this many times the bytes written since the last one, to keep up
# Routes whose retry-after deadlines and outages are remembered: one for each BYTES_PER_ROUTE of the disk
# limit, but at least 16, and up to MIN_ROUTES where the disk limit has MIN_BYTES_PER_ROUTE for each of them.
MIN_ROUTES, MIN_BYTES_PER_ROUTE = 1024, 2048
BYTES_PER_ROUTE = 16 << 10
RESERVE_RETRY_S = 1.0  # interval between attempts to allocate the reserve file again
RESERVE_FILE, INDEX_FILE = "reserve", "index"
TEMPORARY_SUFFIX = ".new"  # of a file that is not complete yet
COMPLETED_IDS_PER_STEP = 32  # remembered ids that one compaction step handles
MAX_MERGED_RECORDS = 64  # most deferred records that are combined into one write
DISK_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT)  # the disk is full of other files, which may pass
PROBE_INTERVAL_S = 0.1  # interval between checks whether the disk can be written again
ERROR_LOG_INTERVAL_S = 1.0  # further I/O errors within this time are logged at debug level
ID_AND_TOKEN_SIZE = 256  # bytes to assume for the id and token of a message that is not there yet


class StoreError(Exception):
    """The state folder can't be used; the text says why."""


class StoreUnavailable(StoreError, Unavailable):
    """A call on the folder failed in a transient way: opening it again may succeed."""


@dataclass(slots=True)
class Segment:
    """One file of the log."""

    number: int
    size: int  # bytes
    live: set[int] = field(default_factory=set)  # numbers of messages whose MESSAGE record is in this segment
    completed_ids: set[str] = field(default_factory=set)  # remembered ids that only this segment records


@dataclass(slots=True)
class DeferredRecords:
    """Records that wait for room; the state already includes them."""

    records: list[tuple[int, bytes]]  # kind and payload of each
    on_durable: Callable[[], None] | None  # called once they are durable


def round_up_to_block(size: int) -> int:
    """Returns the bytes that a file of this size takes on the disk, in whole blocks."""
    return -(-size // BLOCK_SIZE) * BLOCK_SIZE


class Store:
    """The messages, remembered ids and route states of a sidecar, kept in a state folder.

    Records are passed as pairs of kind and payload. `fsync_required`: they count as durable only once they
    are on the disk itself (see commit.py); otherwise once the operating system has them.
    """

    def __init__(
        self,
        files: Files,
        disk: int,
        now: float,
        fsync_required: bool = False,
        reading: ClockReading | None = None,
    ) -> None:
        """`disk`: limit of the folder, bytes; `now`: Unix time, ms; `reading`: monotonic clock at that time.

        Raises StoreError, files.FolderInUse.
        """
        self.files, self.disk_limit, self.fsync_required = files, disk, fsync_required
        self.segment_size = max(MIN_SEGMENT_SIZE, min(MAX_SEGMENT_SIZE, disk // SEGMENTS_PER_DISK))
        self.state, self.reading = State(), reading
        self.opened_at = now  # on the timeline, ms
        self.segments: deque[Segment] = deque()  # the oldest first
        self.segment_by_number: dict[int, Segment] = {}
        self.segment_bytes = 0  # of all segments, each rounded up to blocks
        self.live_bytes = 0  # of all messages, if each were written now with its future progress
        self.entry_sizes: dict[int, int] = {}  # by message number: its part of live_bytes
        # handle: of the active segment, -1: none is open; next_seq: sequence number of the next record
        self.handle, self.next_seq, self.store_id = -1, 1, 0
        self.unsynced_sealed: list[int] = []  # handles of sealed segments that are not synced yet
        self.deferred: deque[DeferredRecords] = deque()
        # torn_tail: a write failed and the active segment may end in a part of a record, so that the next
        # write has to rotate. degraded: the reserve file is used up, so that no message is accepted.
        self.torn_tail = self.degraded = False
        self.sync_failed = False  # what was written since the last fsync may never reach the disk
        self.syncing = False  # an fsync of the handles is running in another thread
        self.read_only = False  # no attempt can be recorded, so that none may begin; see probe_writable
        self.next_probe_at = 0.0  # monotonic time, s; of probe_writable and rewrite_all
        self.names_deferred = False  # a NAMES record is deferred; see relocate_next
        self.bytes_since_step = 0  # written since the last compaction step
        # compacted segments, removed once their relocated records are durable
        self.pending_removals: list[Segment] = []
        self.has_reserve, self.next_reserve_attempt_at = False, 0.0  # monotonic time, s
        self.last_error_logged_at = 0.0  # monotonic time, s
        self.relocated_records = self.io_error_count = 0  # counted since the start
        self.recovered: Recovered | None = None
        # calls back once everything written so far is durable; GroupCommit replaces it
        self.when_durable: Callable[[Callable[[], None]], None] = lambda on_durable: on_durable()
        self.open(now)

    # --- start ---

    def open(self, now: float) -> None:
        """Locks the folder, recovers its state and starts a segment. Raises StoreError, FolderInUse."""
        try:
            self.files.lock()
            names = self.files.names()
            self.recover(names, now)
            self.remove_temporary_files(names)
            self.adopt_reserve(names)
            self.start_log(self.opened_at)
            self.import_journal(names, self.opened_at)
        except codec.Unreadable as error:
            self.release_folder()
            raise StoreError(str(error)) from error
        except StoreError:
            self.release_folder()
            raise
        except OSError as error:
            self.release_folder()
            kind = StoreUnavailable if is_transient(error) else StoreError
            raise kind(f"the state folder can't be used: {error}") from error
        self.remove_empty_segments()
        if not self.read_only:
            self.ensure_reserve()

    def release_folder(self) -> None:
        """Closes and unlocks the folder after a failed start, so that another start can be tried."""
        if self.handle >= 0:
            self.files.close(self.handle)
            self.handle = -1
        self.files.unlock()

    def empty_state(self) -> State:
        """Returns a new state whose limits follow from the disk limit."""
        max_routes = max(
            16, self.disk_limit // BYTES_PER_ROUTE, min(MIN_ROUTES, self.disk_limit // MIN_BYTES_PER_ROUTE)
        )
        return State(
            max_completed_ids=int(COMPLETED_IDS_SHARE * self.disk_limit / COMPLETED_ID_SIZE),
            max_guarded_ids=int(GUARDED_IDS_SHARE * self.disk_limit / COMPLETED_ID_SIZE),
            max_routes=max_routes,
        )

    def recover(self, names: list[str], now: float) -> None:
        """Restores the state from the segments, and logs what recovery found.

        `names`: the folder's files; `now`: Unix time, ms. Raises StoreError.
        """
        data = {name: self.files.read(name) for name in names if segment_number(name) is not None}
        index = self.files.read(INDEX_FILE) if INDEX_FILE in names else None
        self.recovered = found = recover(data, index, now, self.empty_state(), self.reading)
        self.opened_at = found.now
        if found.foreign_segment:
            raise StoreError(f"{found.foreign_segment} belongs to another store: move it away")
        self.state, self.next_seq = found.state, found.next_seq
        self.store_id = found.store_id or int.from_bytes(os.urandom(4)) or 1
        for finding in found.findings:
            level = logging.ERROR if finding.harm else logging.WARNING
            log.log(level, "store: %s at byte %d: %s", finding.file or "log", finding.at, finding.text)
        for text in affected_messages(found):
            log.error("store: %s", text)
        self.segment_bytes = sum(round_up_to_block(size) for size in found.segments.values())
        self.segments = deque(Segment(number, size) for number, size in sorted(found.segments.items()))
        self.segment_by_number = {segment.number: segment for segment in self.segments}
        for number, entry in self.state.entries.items():
            self.segment_by_number[self.state.home_segment[number]].live.add(number)
            self.count_message(entry)
        for message_id, home in list(self.state.completed_id_segment.items()):
            self.segment_by_number[home].completed_ids.add(
                message_id
            ) if home in self.segment_by_number else None

    def import_journal(self, names: list[str], now: float) -> None:
        """Converts a journal of 0.1.0, and removes it once a segment holds all of its content.

        A journal that is still there after its conversion is only removed. Raises StoreError if the folder
        holds another one beside a store.
        """
        if upgrade.JOURNAL_FILE not in names:
            return
        data = self.files.read(upgrade.JOURNAL_FILE)
        mark = (len(data), zlib.crc32(data))
        if self.state.imported_journal is not None or self.state.entries:
            if self.state.imported_journal != mark:
                raise StoreError("the folder holds a journal of 0.1.0 beside a store: move one of them away")
        else:
            self.convert_journal(data, mark, now)
        self.files.remove(upgrade.JOURNAL_FILE)

    def convert_journal(self, data: bytes, mark: tuple[int, int], now: float) -> None:
        """Reads the journal and writes its whole state to a new segment, with `mark`: its size and CRC-32."""
        old = self.empty_state()
        for finding in upgrade.read_journal(data, old):
            log.log(logging.ERROR if finding.harm else logging.WARNING, "store: %s", finding)
        old.start_count = self.state.start_count
        old.classes = {}
        old.home_segment = {}
        old.completed_id_segment = {}
        self.state = old
        self.rotate(now, imported=mark, whole=True)
        log.info("store: converted a journal of 0.1.0 with %d messages", len(old.entries))

    def start_log(self, now: float) -> None:
        """Starts a new segment; never appends to one of an earlier process, whose last record may be torn.

        Uses the reserve file if there is no room otherwise. If the disk is full even then, the process
        starts all the same: it knows its messages, the first record that finds room starts the segment, and
        until then nothing happens that has to be recorded.
        """
        self.state.start_count += 1
        for last_try in (not self.has_reserve, True):
            try:
                return self.rotate(now)
            except OSError as error:
                if error.errno not in DISK_FULL_ERRORS:
                    raise
                self.log_io_error(error)
                if not last_try:
                    self.release_reserve()
        self.torn_tail = self.degraded = self.read_only = True
        log.error(
            "store: no room for a new segment; %d messages wait until there is", len(self.state.entries)
        )

    def remove_temporary_files(self, names: Iterable[str]) -> None:
        """Removes unfinished files of an earlier process, before a new segment needs their room."""
        for name in names:
            if name.endswith(TEMPORARY_SUFFIX):
                try:
                    self.files.remove(name)
                except OSError as error:  # harmless: a new file of that name replaces it
                    self.log_io_error(error)

    def remove_empty_segments(self) -> None:
        """Removes segments of zero bytes, as a crash may leave them."""
        for segment in list(self.segments):
            if segment.size == 0 and segment is not self.active_segment:
                self.remove_segment(segment)

    # --- segments ---

    @property
    def active_segment(self) -> Segment:
        """The segment that records are appended to: the newest."""
        return self.segments[-1]

    @property
    def used_bytes(self) -> int:
        """Bytes of the folder that count against the disk limit."""
        # the two blocks are for the lock file and the index
        return self.segment_bytes + self.reserve_size * self.has_reserve + 2 * BLOCK_SIZE

    @property
    def reserve_size(self) -> int:
        """Bytes of the reserve file: as much as a segment."""
        return self.segment_size

    def rotate(self, now: float, imported: tuple[int, int] | None = None, whole: bool = False) -> None:
        """Starts the next segment with its first records in it, and seals the active one. Raises OSError.

        The segment is written under a temporary name and renamed once it is complete. `whole`: it repeats the
        entire state; `imported`: size and checksum of the journal that the state was converted from.
        """
        number = self.segments[-1].number + 1 if self.segments else 1
        header = SegmentHeader(number, self.next_seq, self.store_id)
        segment, seed = Segment(number, 0), codec.checksum_seed(header)
        records = [
            *self.repeated_records(now),
            *([(Kind.UPGRADED, codec.UPGRADED.pack(*imported))] if imported else []),
        ]
        if whole:
            records += self.snapshot_records()
        data = codec.encode_header(header) + self.encode_frames(records, self.next_seq, seed)
        name = segment_name(number)
        handle = self.files.create(name + TEMPORARY_SUFFIX)
        try:
            self.write_all(handle, data)
            if self.fsync_required:
                self.files.sync(handle)
                if self.handle >= 0 and not self.sync_failed:
                    self.sync_before_sealing()
            # If a call fails from here on, the new segment may be there or not: the next write has to rotate
            # again, because records appended to the old segment would not count if the new one is there.
            self.torn_tail = True
            self.files.rename(name + TEMPORARY_SUFFIX, name)
            if self.fsync_required:
                self.files.sync_folder()
        except OSError:
            self.files.close(handle)
            with suppress(OSError):  # an unfinished segment must not use up the room that is left
                self.files.remove(name + TEMPORARY_SUFFIX)
            raise
        segment.size = len(data)
        self.segment_bytes += round_up_to_block(segment.size)
        self.seal(handle)
        self.segments.append(segment)
        self.segment_by_number[number] = segment
        self.checksum_seed, self.torn_tail = seed, False
        self.assign_homes(records, segment)
        self.write_index()

    def sync_before_sealing(self) -> None:
        """Syncs the active segment, so that its end lasts as long as the next one. Raises OSError."""
        try:
            self.files.sync(self.handle)
        except OSError as error:
            self.on_sync_failed(error)
            raise

    def seal(self, handle: int) -> None:
        """Makes `handle` the active segment's; the old one is closed, if needed after the next fsync."""
        if self.handle >= 0:
            if self.fsync_required:
                self.unsynced_sealed.append(self.handle)
            else:
                self.files.close(self.handle)
        self.handle = handle

    def assign_homes(self, records: list[tuple[int, bytes]], segment: Segment) -> None:
        """Makes `segment` the home of what these written records hold, and raises next_seq past them."""
        for kind, data in records:
            if kind in (Kind.MESSAGE, Kind.SEEN, Kind.NAMES):
                self.assign_home(kind, data, segment)
            self.next_seq += 1

    def assign_home(self, kind: int, data: bytes, segment: Segment) -> None:
        """Makes `segment` the home of a message, a remembered id or the names: it has their latest record."""
        state = self.state
        if kind == Kind.MESSAGE:
            number = codec.MESSAGE.unpack_from(data)[0]
            self.set_home(number, segment)
            state.record_seq[number] = self.next_seq
        elif kind == Kind.SEEN:
            message_id = data[codec.SEEN.size :].decode()
            if (
                home := self.segment_by_number.get(state.completed_id_segment.get(message_id, 0))
            ) is not None:
                home.completed_ids.discard(message_id)
            state.completed_id_segment[message_id] = segment.number
            segment.completed_ids.add(message_id)
        else:
            state.names_segment = segment.number

    def set_home(self, number: int, segment: Segment) -> None:
        """Moves a message from its former segment's live set to that of `segment`."""
        if (home := self.segment_by_number.get(self.state.home_segment.get(number, 0))) is not None:
            home.live.discard(number)
        self.state.home_segment[number] = segment.number
        segment.live.add(number)
        if number not in self.entry_sizes:
            self.count_message(self.state.entries[number])

    def repeated_records(self, now: float) -> list[tuple[int, bytes]]:
        """Returns the few records that each segment repeats, so that older segments can be removed."""
        state = self.state
        records = [
            (Kind.START, codec.START.pack(state.start_count, now)),
            (Kind.NEXT, codec.U64.pack(state.next_number)),
        ]
        if self.reading is not None and self.reading.boot:
            records.append((Kind.CLOCK, codec.encode_anchor(ClockAnchor(self.opened_at, self.reading))))
        records += [(Kind.CLASS, self.class_record(n, terms)) for n, terms in state.classes.items()]
        records += [
            (Kind.WAIT, codec.TIME.pack(t) + route.encode())
            for route, t in state.retry_after.items()
            if t > now
        ]
        records += [(Kind.OUTAGE, codec.TIME.pack(t) + route.encode()) for route, t in state.outages.items()]
        records += [
            self.key_pause_record(key, pause) for key, pause in state.key_pauses.items() if pause.until > now
        ]
        return records

    def snapshot_records(self) -> list[tuple[int, bytes]]:
        """Returns records of the whole state: all remembered ids, the names and all messages."""
        state = self.state
        records = [self.completed_id_record(message_id) for message_id in state.completed_until]
        records += [(Kind.NAMES, destinations.encode(state.destinations))] if state.destinations else []
        for entry in state.entries.values():
            number, declaration = self.class_number_of(entry)
            records += declaration
            records.append((Kind.MESSAGE, codec.encode_message(entry, number)))
        return records

    def completed_id_record(self, message_id: str) -> tuple[int, bytes]:
        """Encodes the SEEN record of a remembered id."""
        state = self.state
        head = codec.SEEN.pack(state.completed_until[message_id], message_id in state.repeatable_ids)
        return Kind.SEEN, head + message_id.encode()

    @staticmethod
    def class_record(number: int, terms: tuple[str, int, str, float]) -> bytes:
        """Encodes the payload of a CLASS record."""
        name, effect, group, window = terms
        return codec.CLASS.pack(number, effect, codec.GROUPS.index(group), window) + name.encode()

    def class_number_of(self, entry: Entry) -> tuple[int, list[tuple[int, bytes]]]:
        """Returns the number of the message's class version; if it is new, also its CLASS record."""
        return self.declare_class(entry.class_terms)

    def declare_class(self, terms: tuple[str, int, str, float]) -> tuple[int, list[tuple[int, bytes]]]:
        """Returns the number of a class version; if it is new, also its CLASS record."""
        state = self.state
        number = state.class_number(terms)
        if number is not None:
            return number, []
        number = max(state.classes, default=0) + 1
        state.classes[number] = terms
        return number, [(Kind.CLASS, self.class_record(number, terms))]

    # --- writing ---

    @staticmethod
    def encode_frames(records: list[tuple[int, bytes]], seq: int, seed: int) -> bytes:
        """Encodes records with consecutive sequence numbers from `seq` on."""
        if len(records) == 1:  # the usual case
            return codec.encode_frame(records[0][0], seq, records[0][1], seed)
        return b"".join(
            [codec.encode_frame(kind, seq + n, data, seed) for n, (kind, data) in enumerate(records)]
        )

    def write_all(self, handle: int, data: bytes) -> None:
        """Appends until all data is written. Raises OSError if a part of it can't be."""
        written = 0
        while written < len(data):
            size = self.files.append(handle, data[written:] if written else data)
            if not size:  # otherwise the loop would never end
                raise OSError(errno.EIO, f"0 of {len(data) - written} bytes were written")
            written += size

    def write(self, records: list[tuple[int, bytes]], mandatory: bool = False) -> bool:
        """Appends the records together. False: none of them counts; the OSError is logged here.

        `mandatory` records may use the whole disk limit; others leave half a segment of it free for them.
        """
        size = codec.FRAME.size * len(records)
        for _, data in records:
            size += len(data)
        try:
            if self.torn_tail or self.needs_new_segment(size):
                self.rotate(self.state.latest_time)
            active = self.segments[-1]
            limit = self.disk_limit if mandatory else self.disk_limit - self.segment_size // 2
            if self.used_bytes + size > limit:
                raise OSError(
                    errno.ENOSPC,
                    f"state folder limit reached: {self.used_bytes} bytes used, {size} more, limit {limit}",
                )
            self.append(self.encode_frames(records, self.next_seq, self.checksum_seed))
        except OSError as error:
            self.log_io_error(error)
            return False
        grown = active.size + size
        self.segment_bytes += (-(-grown // BLOCK_SIZE) - -(-active.size // BLOCK_SIZE)) * BLOCK_SIZE
        active.size = grown
        self.bytes_since_step += size
        self.next_seq += len(records)
        return True

    def needs_new_segment(self, size: int) -> bool:
        """Returns whether a write of `size` bytes has to go to a new segment.

        A segment that is less than a quarter full takes them anyway, so that a large record does not seal a
        nearly empty one.
        """
        active_size = self.segments[-1].size
        return active_size + size > self.segment_size and active_size > self.segment_size // 4

    def append(self, data: bytes) -> None:
        """Appends to the active segment. Raises OSError, and then removes the part that was written."""
        try:
            self.write_all(self.handle, data)
        except OSError:
            try:  # a torn record must not stand before the next one
                self.files.truncate(self.handle, self.active_segment.size)
            except OSError:
                # rotate instead: the new segment's first sequence number invalidates the end of this one
                self.torn_tail = True
                with suppress(OSError):
                    self.rotate(self.state.latest_time)
            raise

    def log_io_error(self, error: OSError) -> None:
        """Counts and logs an error; above debug level at most once in ERROR_LOG_INTERVAL_S."""
        self.io_error_count += 1
        now = time.monotonic()
        level = logging.ERROR if now - self.last_error_logged_at > ERROR_LOG_INTERVAL_S else logging.DEBUG
        if level == logging.ERROR:
            self.last_error_logged_at = now
        reason = errno.errorcode.get(error.errno or 0, "other")
        record("store_call_failed", reason, level=level, error=error, waiting=len(self.deferred))

    def write_optional(self, records: list[tuple[int, bytes]]) -> bool:
        """Writes records that may be refused; refuses them while others are deferred, to keep the order."""
        if self.deferred or self.sync_failed:
            return False
        return self.write(records)

    def write_or_defer(
        self, records: list[tuple[int, bytes]], on_durable: Callable[[], None] | None = None
    ) -> None:
        """Writes records that the state already includes, or defers them until there is room.

        `on_durable` is called once they are durable; whatever depends on them waits for that.
        """
        if self.deferred or self.sync_failed or not self.write_using_reserve(records):
            last = self.deferred[-1] if self.deferred else None
            if (
                last is not None
                and last.on_durable is on_durable is None
                and len(last.records) < MAX_MERGED_RECORDS
            ):
                last.records += records
            else:
                self.deferred.append(DeferredRecords(list(records), on_durable))
            return
        self.note_names_segment(records)
        if on_durable is not None:
            self.when_durable(on_durable)

    def note_names_segment(self, records: list[tuple[int, bytes]]) -> None:
        """Notes the active segment as that of the names, if one of these written records holds them."""
        if any(kind == Kind.NAMES for kind, _ in records):
            self.state.names_segment = self.active_segment.number

    def write_using_reserve(self, records: list[tuple[int, bytes]]) -> bool:
        """Writes mandatory records; gives up the reserve file if there is no room for them otherwise."""
        if self.write(records, mandatory=True):
            return True
        if not self.has_reserve:
            return False
        self.release_reserve()
        return self.write(records, mandatory=True)

    def write_deferred(self) -> None:
        """Writes the deferred records in their order, as far as there is room."""
        while self.deferred and not self.sync_failed:
            first = self.deferred[0]
            if not self.write_using_reserve(first.records):
                return
            self.deferred.popleft()
            self.note_names_segment(first.records)
            if first.on_durable is not None:
                self.when_durable(first.on_durable)
        self.names_deferred = self.names_deferred and bool(self.deferred)

    def probe_writable(self) -> None:
        """Checks whether attempts can be recorded again, by writing a record that repeats a known number."""
        if (now := time.monotonic()) >= self.next_probe_at:
            self.next_probe_at = now + PROBE_INTERVAL_S
            self.read_only = not self.write_optional([(Kind.NEXT, codec.U64.pack(self.state.next_number))])

    # --- the reserve ---

    def adopt_reserve(self, names: list[str]) -> None:
        """Takes over an earlier process's reserve file as it is.

        If it were written anew, other programs could take its room in between.
        """
        if RESERVE_FILE in names:
            self.has_reserve = len(self.files.read(RESERVE_FILE)) == self.reserve_size
            if not self.has_reserve:  # of another disk limit, or incomplete
                self.files.remove(RESERVE_FILE)

    def ensure_reserve(self) -> None:
        """Allocates the reserve file: room that this store already has when other files fill the disk."""
        now = time.monotonic()
        if (
            self.has_reserve
            or self.used_bytes + self.reserve_size > self.disk_limit
            or now < self.next_reserve_attempt_at
        ):
            return
        self.next_reserve_attempt_at = now + RESERVE_RETRY_S
        try:
            handle = self.files.create(RESERVE_FILE)
            try:
                self.write_all(handle, bytes(self.reserve_size))
                self.has_reserve, self.degraded = True, False
            finally:
                self.files.close(handle)
                if not self.has_reserve:
                    self.files.remove(RESERVE_FILE)
        except OSError as error:
            self.degraded = True
            self.log_io_error(error)

    def release_reserve(self) -> None:
        """Removes the reserve file, so that records that must not be lost find room."""
        self.has_reserve, self.degraded = False, True
        try:
            self.files.remove(RESERVE_FILE)
        except OSError as error:
            self.log_io_error(error)

    # --- messages ---

    @property
    def entries(self) -> dict[int, Entry]:
        """The stored messages by number."""
        return self.state.entries

    @property
    def numbers(self) -> dict[str, int]:
        """The numbers of the stored messages by id."""
        return self.state.numbers

    @property
    def size(self) -> int:
        """Bytes that the store uses on the disk."""
        return self.used_bytes

    @property
    def next_number(self) -> int:
        """The number of the next message."""
        return self.state.next_number

    @next_number.setter
    def next_number(self, value: int) -> None:
        self.state.next_number = value

    def is_known(self, message_id: str, now: float) -> bool:
        """Whether this id is held, or completed and remembered, so that it must not be accepted again."""
        return message_id in self.state.numbers or self.state.completed_until.get(message_id, 0.0) > now

    @staticmethod
    def message_cost(entry_size: int) -> int:
        """Returns the bytes to account for a message with so many bytes of body, id and token."""
        return entry_size + PROGRESS_SIZE

    def count_message(self, entry: Entry) -> None:
        """Adds a message's cost to the live bytes."""
        size = self.message_cost(len(entry.body) + len(entry.id) + len(entry.token))
        self.entry_sizes[entry.number] = size
        self.live_bytes += size

    def has_room(self, body: bytes, pending: int = 0) -> bool:
        """Whether one more message can be accepted, with room for all records that will follow for it.

        `pending`: cost of the messages that wait to be accepted, bytes.
        """
        if self.deferred or self.sync_failed or self.degraded:
            return False
        completed = len(self.state.completed_until) * COMPLETED_ID_SIZE
        return (
            self.live_bytes + pending + completed + self.message_cost(len(body) + ID_AND_TOKEN_SIZE)
            <= LIVE_SHARE * self.disk_limit
        )

    def accept(self, entry: Entry) -> bool:
        """Records a new message. False: it is not accepted, and the store keeps no trace of it."""
        classes_before = len(self.state.classes)
        number, declaration = self.class_number_of(entry)
        data = codec.encode_message(entry, number)
        if len(data) > codec.MAX_PAYLOAD or not self.write_optional([*declaration, (Kind.MESSAGE, data)]):
            if len(self.state.classes) > classes_before:
                del self.state.classes[number]
            return False
        self.state.add(entry, self.active_segment.number, self.next_seq - 1)
        self.active_segment.live.add(entry.number)
        self.count_message(entry)
        return True

    def record_attempts(self, entries: Iterable[Entry], now: float, place: AttemptPlace) -> bool:
        """Records attempts before their first byte is sent. False: they must not be sent.

        `now`: Unix time, ms; `place`: of the endpoint.
        """
        entries = list(entries)
        if not self.write_optional([(Kind.ATTEMPT, codec.encode_attempt(now, place, entries))]):
            self.read_only = True
            return False
        self.state.latest_time = max(self.state.latest_time, now)
        for entry in entries:
            entry.begun, entry.begun_place = now, place
        return True

    def record_outcomes(self, outcomes: list[tuple[Entry, Outcome]]) -> None:
        """Records outcomes of attempts after which the messages are not completed yet."""
        held = [(entry, outcome) for entry, outcome in outcomes if entry.number in self.state.entries]
        if held:
            for entry, outcome in held:
                entry.record_outcome(outcome)
            data = b"".join(codec.RESULT.pack(entry.number, outcome) for entry, outcome in held)
            self.write_or_defer([(Kind.RESULT, data)])

    def record_final_status(
        self, entry: Entry, end: str, retry: int, on_durable: Callable[[], None] | None = None
    ) -> None:
        """Records the decided final status.

        Before the message's deadline nobody may be notified of it until `on_durable` is called. `retry`: ms
        after which the client may submit again.
        """
        entry.end, entry.retry = end, min(max(0, retry), 0xFFFFFFFF)  # the record has 32 bits for it
        self.write_or_defer(
            [(Kind.END, codec.END.pack(entry.number, codec.ENDS.index(end), entry.retry))], on_durable
        )

    def complete(self, entries: list[Entry]) -> None:
        """Drops messages that were delivered or whose final status was received, and remembers their ids."""
        known = [entry.number for entry in entries if entry.number in self.state.entries]
        if not known:
            return
        for number in known:
            self.forget(number)
        self.write_or_defer([(Kind.OVER, codec.encode_numbers(known))])

    def forget(self, number: int) -> None:
        """Drops a completed message and its part of live_bytes; its segment remembers the id from now on."""
        state, home = self.state, self.segment_by_number.get(self.state.home_segment[number])
        message_id = state.entries[number].id
        self.live_bytes -= self.entry_sizes.pop(number)
        state.forget(number)
        if home is not None:
            home.live.discard(number)
            if message_id in state.completed_until:
                home.completed_ids.add(message_id)

    def rebind_class(self, entries: list[Entry], effect: int, group: str, window: float) -> None:
        """Applies stricter terms of a class to held messages of it; `window`: ms."""
        for name in {entry.cls for entry in entries}:
            affected = [entry for entry in entries if entry.cls == name]
            number, declaration = self.declare_class((name, effect, group, window))
            for entry in affected:
                entry.effect, entry.group, entry.window = effect, group, window
            data = codec.BIND.pack(number) + codec.encode_numbers([entry.number for entry in affected])
            self.write_or_defer([*declaration, (Kind.BIND, data)])

    def record_destination_names(self, numbers: dict[str, int], used: Iterable[int] = ()) -> None:
        """Records the destinations' names and numbers, and moves messages and routes accordingly.

        `used`: ids that messages outside of the store refer to. This is a single record, so that no crash
        moves a message twice. If there is no room for it, messages are moved in memory all the same, and
        later records are deferred behind it.
        """
        state = self.state
        in_use = state.destination_ids_in_use().union(used)
        after = destinations.assign_ids(state.destinations, numbers, in_use)
        if after != state.destinations:
            state.apply_destinations(after, state.names_segment)
            self.write_or_defer([(Kind.NAMES, destinations.encode(after))])
            self.names_deferred = self.names_deferred or bool(self.deferred)

    def record_retry_after(self, route: str, until: float) -> None:
        """Records a route's retry-after deadline, Unix ms; drops it rather than delay anything for it."""
        if self.write_optional([(Kind.WAIT, codec.TIME.pack(until) + route.encode())]):
            self.state.set_route_time(self.state.retry_after, route, until)

    def record_outage(self, route: str, since: float) -> None:
        """Records the time of a route's outage, Unix ms; 0: the outage is over."""
        if self.write_optional([(Kind.OUTAGE, codec.TIME.pack(since) + route.encode())]):
            if since:
                self.state.set_route_time(self.state.outages, route, since)
            else:
                self.state.outages.pop(route, None)

    def record_key_pause(self, key: int, pause: KeyPause) -> None:
        """Records the pause of an ordering key, in place of an earlier one of that key."""
        self.state.set_key_pause(key, pause)
        self.write_or_defer([self.key_pause_record(key, pause)])

    @staticmethod
    def key_pause_record(key: int, pause: KeyPause) -> tuple[int, bytes]:
        """Encodes the KEY_PAUSE record of a key."""
        return Kind.KEY_PAUSE, codec.KEY_PAUSE.pack(key, pause.call_end, pause.duration)

    # --- compaction ---

    def reclaim(self, now: float) -> None:
        """Does a round's maintenance: retries what failed, and compacts, bounded in bytes and time."""
        self.state.latest_time = max(self.state.latest_time, now)
        if self.sync_failed and not self.rewrite_all(now):
            return
        if self.deferred:
            self.write_deferred()
        if self.read_only:
            self.probe_writable()
        if self.degraded or not self.has_reserve:
            self.compact(now, COMPACTION_STEP_SIZE)
            self.ensure_reserve()
        elif (
            self.used_bytes > COMPACTION_SHARE * self.disk_limit or len(self.segments) > 2 * SEGMENTS_PER_DISK
        ):
            self.compact(now, max(COMPACTION_STEP_SIZE, CATCH_UP_FACTOR * self.bytes_since_step))
        self.bytes_since_step = 0

    def compact(self, now: float, budget: int) -> None:
        """Relocates live records of the oldest segments, and removes segments without any.

        `budget`: bytes to relocate. Stops after COMPACTION_STEP_S, but not before a record was relocated.
        """
        if self.sync_failed:
            return
        until, start = time.perf_counter() + COMPACTION_STEP_S, self.next_seq
        while len(self.segments) > 1 and budget > 0:
            victim = self.segments[0]
            if not victim.live and not victim.completed_ids and self.state.names_segment != victim.number:
                if not self.retire(victim):
                    return
            else:
                size = self.relocate_next(victim, now)
                if not size:
                    return
                budget -= size
            if time.perf_counter() > until and self.next_seq > start:
                return

    def unexpired_ids(self, segment: Segment, now: float) -> list[str]:
        """Returns the next ids that only this segment remembers; drops those whose time has expired."""
        state, kept = self.state, []
        for message_id in list(islice(segment.completed_ids, COMPLETED_IDS_PER_STEP)):
            if state.completed_until.get(message_id, 0.0) > now:
                kept.append(message_id)
            else:
                segment.completed_ids.discard(message_id)
                state.forget_completed(message_id)
        return kept

    def relocate_next(self, victim: Segment, now: float) -> int:
        """Relocates a live record of the oldest segment to the log's end; returns its bytes, 0: no room."""
        state = self.state
        records: list[tuple[int, bytes]] = []
        if self.names_deferred and (victim.live or not victim.completed_ids):
            # Otherwise a message could be recorded with its destination's new number while the names still
            # have the old one, and recovery would renumber it once more.
            return 0
        if victim.live:
            entry = state.entries[next(iter(victim.live))]
            number, records = self.class_number_of(entry)
            records.append((Kind.MESSAGE, codec.encode_message(entry, number)))
        elif victim.completed_ids:
            ids = self.unexpired_ids(victim, now)
            records = [self.completed_id_record(message_id) for message_id in ids]
            if not ids:
                return 1  # expired ids were dropped, which counts as progress
        else:
            records = [(Kind.NAMES, destinations.encode(state.destinations))]
        if not self.write_using_reserve(records):
            return 0
        self.next_seq -= len(records)
        self.assign_homes(records, self.active_segment)
        self.relocated_records += 1
        return sum(len(data) for _, data in records)

    def retire(self, victim: Segment) -> bool:
        """Removes a segment without live records; if fsync is required, once the relocated ones are durable.

        False: it can't be removed yet, and later segments must stay too. A segment that stays while a later
        one is removed would look like a loss of records.
        """
        if self.fsync_required:
            self.pending_removals.append(victim)
        elif not self.remove_segment_file(victim):
            return False
        self.segments.popleft()
        self.segment_bytes -= round_up_to_block(victim.size)
        self.segment_by_number.pop(victim.number, None)
        return True

    def remove_segment_file(self, segment: Segment) -> bool:
        """Removes the file of a segment; returns False, after logging the error, if that failed."""
        try:
            self.files.remove(segment_name(segment.number))
        except OSError as error:
            self.log_io_error(error)
            return False
        return True

    def begin_sync(self) -> tuple[list[int], list[Segment]]:
        """Starts a group commit; returns the handles to sync and the segments to remove after it."""
        removable, self.pending_removals = self.pending_removals, []
        self.syncing = True
        return [*self.unsynced_sealed, *([self.handle] if self.handle >= 0 else [])], removable

    def finish_sync(self, handles: list[int], removable: list[Segment]) -> None:
        """Ends a group commit: these handles are synced, and `removable` can be removed."""
        self.syncing = False
        # the last handle is that of the segment that was active when the commit began: it stays open
        for handle in self.unsynced_sealed[: len(handles) - 1]:
            self.files.close(handle)
        self.unsynced_sealed = self.unsynced_sealed[len(handles) - 1 :]
        for n, segment in enumerate(removable):
            if not self.remove_segment_file(segment):
                self.pending_removals = removable[n:] + self.pending_removals  # in their order: see retire
                return

    # --- after an fsync that failed ---

    def on_sync_failed(self, error: Exception, removable: Iterable[Segment] = ()) -> None:
        """Stops confirming and starting anything until the whole state is rewritten; see rewrite_all.

        What a failed fsync leaves on the disk is unknown, and a second one of the same file may succeed
        without writing it. `removable`: segments that would have been removed after it.
        """
        self.pending_removals = [*removable, *self.pending_removals]
        if not self.sync_failed:
            record("store", "sync_failed", level=logging.ERROR, error=error)
        self.sync_failed = True

    def rewrite_all(self, now: float) -> bool:
        """Writes the whole state to a new segment after a failed fsync. False: not done yet.

        Tried every PROBE_INTERVAL_S.
        """
        if self.syncing or (clock := time.monotonic()) < self.next_probe_at:
            return False
        self.next_probe_at = clock + PROBE_INTERVAL_S
        try:
            self.rotate(now, whole=True)
        except OSError as error:
            self.log_io_error(error)
            if error.errno in DISK_FULL_ERRORS and self.has_reserve:
                self.release_reserve()
            return False
        self.sync_failed = self.names_deferred = False
        for handle in self.unsynced_sealed:
            self.files.close(handle)
        self.unsynced_sealed = []
        deferred, self.deferred = self.deferred, deque()  # the state, and so the new segment, includes them
        record("store", "rewritten", level=logging.WARNING, messages=len(self.state.entries))
        for one in deferred:
            if one.on_durable is not None:
                self.when_durable(one.on_durable)
        return True

    def remove_segment(self, segment: Segment) -> None:
        """Removes a segment that holds no records at all."""
        self.segments.remove(segment)
        self.segment_bytes -= round_up_to_block(segment.size)
        self.segment_by_number.pop(segment.number, None)
        self.remove_segment_file(segment)

    # --- index, close ---

    def write_index(self) -> None:
        """Writes where the log ends, so that the next start notices if its end is missing."""
        index = Index(self.store_id, self.active_segment.number, self.active_segment.size, self.next_seq)
        try:
            handle = self.files.create(INDEX_FILE + TEMPORARY_SUFFIX)
            try:
                self.write_all(handle, encode_index(index))
                if self.fsync_required:
                    self.files.sync(handle)
            finally:
                self.files.close(handle)
            self.files.rename(INDEX_FILE + TEMPORARY_SUFFIX, INDEX_FILE)
        except OSError as error:
            self.log_io_error(error)

    def close(self) -> None:
        """Tries the deferred records once more, and closes the folder; the rest is left as by a crash."""
        if self.handle < 0:
            return
        self.write_deferred()
        self.write_index()
        for handle in (*self.unsynced_sealed, self.handle):
            if self.fsync_required:
                try:
                    self.files.sync(handle)
                except OSError as error:
                    self.log_io_error(error)
            self.files.close(handle)
        self.unsynced_sealed, self.handle = [], -1
        self.files.unlock()
