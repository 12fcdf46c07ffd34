"""`rainpier store` reports what is damaged and where, changes nothing unasked, and repairs what it can."""

import json

from click.testing import CliRunner

from rainpier.cli.main import main
from rainpier.store import records as codec
from rainpier.store.entry import Entry
from rainpier.store.files import Folder
from rainpier.store.store import Store

from .workload import PLACE


def create_store(folder, now=1_700_000_000_000.0):
    """Writes a store: three held messages, one of them begun, a completed one, and a route's state.

    Returns the path of its only segment.
    """
    store = Store(Folder(folder), 1_000_000, now)
    for n, (name, effect) in enumerate([("msg-a", 0), ("msg-b", 2), ("msg-c", 2), ("msg-d", 0)], 1):
        store.next_number = n + 1
        store.accept(
            Entry(
                n, name, "charge" if effect else "notice", 3, 0, "", now + 9e9, b"secret body", effect=effect
            )
        )
    store.entries[1].attempts = 1
    store.record_attempts([store.entries[1]], now, PLACE)
    store.record_retry_after("d3", now + 5000)
    store.record_outage("d3", now)
    store.record_destination_names({"thumbs": 3})
    store.record_final_status(store.entries[4], "given_up", 0)
    store.complete([store.entries[4]])
    store.close()
    (path,) = folder.glob("*.seg")
    return path


def folder_contents(folder):
    """Returns the bytes of all files by name."""
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def run_command(*arguments):
    """Runs `rainpier store` with the arguments."""
    return CliRunner().invoke(main, ["store", *map(str, arguments)])


def damage_message(path, name):
    """Flips a bit in the MESSAGE record of the message with this id; returns the record's offset."""
    data = bytearray(path.read_bytes())
    frames = codec.scan_segment(bytes(data), codec.decode_header(bytes(data))).frames
    damaged_frame = next(f for f in frames if f.kind == codec.Kind.MESSAGE and name in f.payload[:60])
    data[damaged_frame.offset + 15] ^= 8
    path.write_bytes(bytes(data))
    return damaged_frame.offset


def test_commands_inspect_an_undamaged_folder_without_changing_it(tmp_path):
    create_store(tmp_path)
    before = folder_contents(tmp_path)
    result = run_command("check", tmp_path)
    assert result.exit_code == 0 and result.output == "no damage\n"
    stats = json.loads(run_command("stat", tmp_path).output)
    assert stats["messages"] == 3 and stats["by_class"] == {"notice": 1, "charge": 2} and stats["begun"] == 1
    assert (
        stats["destinations"] == {"thumbs": 3}
        and stats["outages"]
        and stats["waits"]
        and not stats["damaged"]
    )
    rows = [json.loads(row) for row in run_command("dump", tmp_path).output.splitlines()]
    assert [row["seq"] for row in rows] == list(range(1, len(rows) + 1))
    assert {"start", "next", "class", "message", "attempt", "wait", "outage", "names", "end", "over"} == {
        row["kind"] for row in rows
    }
    assert "secret" not in run_command("dump", tmp_path).output
    assert folder_contents(tmp_path) == before


def test_check_reports_the_position_of_damage_and_the_affected_messages(tmp_path):
    path = create_store(tmp_path)
    at = damage_message(path, b"msg-b")
    before = folder_contents(tmp_path)
    result = run_command("check", tmp_path)
    assert result.exit_code == 1 and f"{path.name}:{at}: damage: " in result.output
    assert "message msg-a of class notice counts as having run" in result.output and result.output.endswith(
        "damaged\n"
    )
    result = run_command("repair", tmp_path)
    assert result.exit_code == 0 and "nothing was written" in result.output
    assert folder_contents(tmp_path) == before


def test_repair_keeps_recoverable_messages_and_moves_old_segments_aside(tmp_path):
    folder = tmp_path / "state"
    folder.mkdir()
    path = create_store(folder)
    damage_message(path, b"msg-b")
    damaged_bytes = path.read_bytes()
    result = run_command("repair", folder, "--write")
    assert result.exit_code == 0 and "2 messages kept, 1 of them count as having run" in result.output
    (aside,) = tmp_path.glob("state.damaged-*")
    assert (aside / path.name).read_bytes() == damaged_bytes
    assert run_command("check", folder).output == "no damage\n"
    store = Store(Folder(folder), 1_000_000, 1_700_000_001_000.0)
    assert [(e.id, bool(e.risky_at or e.begun)) for e in store.entries.values()] == [
        ("msg-a", True),
        ("msg-c", False),
    ]
    assert (
        store.state.destination_numbers == {"thumbs": 3}
        and store.is_known("msg-d", 1_700_000_001_000.0)
        and not store.recovered.harm
    )
    store.close()


def test_unreadable_folder_gives_one_line_and_exit_code_2(tmp_path):
    for arguments in (("check", tmp_path / "none"), ("stat", tmp_path / "none"), ("dump", tmp_path / "none")):
        result = run_command(*arguments)
        assert result.exit_code == 2 and len(result.output.strip().splitlines()) == 1, result.output


def test_repair_is_refused_while_a_process_has_locked_the_folder(tmp_path):
    store = Store(Folder(tmp_path), 1_000_000, 1000.0)
    result = run_command("repair", tmp_path, "--write")
    assert result.exit_code == 2 and "is used by process" in result.output
    store.close()
