"""The commands of `rainpier store`: inspect a state folder without changing it, or repair it on request."""

import json
import os
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict
from pathlib import Path

from . import records as codec
from .clock import ClockReading
from .files import Folder
from .recovery import Recovered, affected_messages, recover, segment_name, segment_number
from .store import INDEX_FILE, RESERVE_FILE, TEMPORARY_SUFFIX, Store

REPAIR_DISK_LIMIT = 1 << 40  # bytes: a repair is not bound by the sidecar's configured limit


def inspect(folder: Path, now: float | None = None) -> Recovered:
    """Recovers the folder's state as a start would, without writing or locking anything.

    `now`: Unix time, ms. Raises OSError, codec.Unreadable.
    """
    files = Folder(folder)
    names = files.names()
    data = {name: files.read(name) for name in names if segment_number(name) is not None}
    index = files.read(INDEX_FILE) if INDEX_FILE in names else None
    wall = time.time() * 1000 if now is None else now
    return recover(data, index, wall, reading=ClockReading.now() if now is None else None)


def check(folder: Path) -> Iterator[str]:
    """Yields a line for each finding, and for each message that damage may have affected."""
    found = inspect(folder)
    for finding in found.findings:
        position = f"{finding.file}:{finding.at}: " if finding.file else ""
        yield f"{position}{'damage' if finding.harm else 'note'}: {finding.text}"
    yield from affected_messages(found)
    if found.presumed_run:
        yield "unsafe ones among these are given up at the next start, keyed ones where their window is over"


def stat(folder: Path) -> dict[str, object]:
    """Returns the counts and names that `store stat` prints as JSON."""
    found = inspect(folder)
    state = found.state
    return {
        "segments": len(found.segments), "bytes": sum(found.segments.values()), "starts": state.start_count,
        "messages": len(state.entries), "by_class": dict(Counter(e.cls for e in state.entries.values())),
        "begun": sum(e.begun > 0 for e in state.entries.values()),
        "may_have_run": sum(e.risky_at > 0 for e in state.entries.values()),
        "ended_untold": sum(bool(e.end) for e in state.entries.values()),
        "ids_remembered": len(state.completed_until), "waits": state.retry_after, "outages": state.outages,
        "key_pauses": len(state.key_pauses),
        "destinations": state.destination_numbers, "next_message": state.next_number,
        "next_record": found.next_seq,
        "findings": len(found.findings), "damaged": found.harm,
    }  # fmt: skip


def dump(folder: Path) -> Iterator[str]:
    """Yields each intact record with its position as a line of JSON; of message bodies only the size."""
    files = Folder(folder)
    classes: dict[int, tuple] = {}
    for name in files.names():
        if segment_number(name) is None:
            continue
        data = files.read(name)
        header = codec.decode_header(data)
        for frame in codec.scan_segment(data, header).frames if header else ():
            position = {
                "file": name,
                "at": frame.offset,
                "seq": frame.seq,
                "kind": codec.Kind(frame.kind).name.lower(),
            }
            yield json.dumps(position | describe_frame(frame, classes))


def describe_frame(frame: codec.Frame, classes: dict[int, tuple]) -> dict[str, object]:
    """Returns the fields of a record as `store dump` prints them; adds declared classes to `classes`.

    Of kinds that are not listed here, only the position is printed.
    """
    data = frame.payload
    match frame.kind:
        case codec.Kind.CLASS:
            number, effect, group, window = codec.CLASS.unpack_from(data)
            classes[number] = (data[codec.CLASS.size :].decode(), effect, codec.GROUPS[group], window)
            return {"number": number, "name": classes[number][0], "effect": effect}
        case codec.Kind.MESSAGE:
            entry = codec.decode_message(data, classes)
            return asdict(entry) | {"body": len(entry.body)}
        case codec.Kind.BEGIN | codec.Kind.ATTEMPT:
            record = codec.decode_attempt(frame.kind, data)
            return {"time": record.time, **asdict(record.place), "messages": record.attempts}
        case codec.Kind.RESULT:
            return {"messages": list(codec.unpack_items(data, codec.RESULT))}
        case codec.Kind.END:
            number, end, retry = codec.END.unpack(data)
            return {"number": number, "end": codec.ENDS[end], "retry": retry}
        case codec.Kind.OVER:
            return {"numbers": codec.decode_numbers(data)}
        case codec.Kind.START:
            return dict(zip(("start", "time"), codec.START.unpack(data), strict=True))
        case codec.Kind.WAIT | codec.Kind.OUTAGE:
            return {"time": codec.TIME.unpack_from(data)[0], "route": data[codec.TIME.size :].decode()}
        case codec.Kind.KEY_PAUSE:
            return dict(zip(("key", "call_end", "duration"), codec.KEY_PAUSE.unpack(data), strict=True))
        case codec.Kind.NAMES:
            return {"names": json.loads(data)}
    return {}


def repair(folder: Path) -> str:
    """Writes everything that can be recovered to a new segment, and moves the old segments to another folder.

    Raises FolderInUse, StoreError, OSError.
    """
    old_segments = [name for name in Folder(folder).names() if segment_number(name) is not None]
    store = Store(Folder(folder), REPAIR_DISK_LIMIT, time.time() * 1000, reading=ClockReading.now())
    aside = folder.with_name(f"{folder.name}.damaged-{int(time.time())}")
    try:
        store.release_reserve()
        presumed = len(store.recovered.presumed_run) if store.recovered else 0
        entries = len(store.entries)
        store.segment_size = REPAIR_DISK_LIMIT
        store.rotate(store.state.latest_time, whole=True)
        aside.mkdir()
        # the last one: the segment that was started when the store was opened
        for name in [*old_segments, segment_name(store.active_segment.number - 1)]:
            os.replace(folder / name, aside / name)
    finally:
        store.close()
    for name in Folder(folder).names():
        if name == RESERVE_FILE or name.endswith(TEMPORARY_SUFFIX):
            (folder / name).unlink(missing_ok=True)
    return f"{entries} messages kept, {presumed} of them count as having run; the old segments lie in {aside}"
