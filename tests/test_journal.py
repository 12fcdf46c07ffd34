"""What was taken on comes back after any end of the process, and the file stays within the disk."""

import errno
import logging

import pytest

from rainpier.interface import Outcome
from rainpier.store import journal as j

DISK = 300_000


def entry(journal, name, body=b"\x00\r\n\xff", key=0, deadline=9e12):
    number, journal.next = journal.next, journal.next + 1
    return j.Entry(number, name, "safe", 3, key, "token", deadline, body)


def reopened(tmp_path, disk=DISK):
    return j.Journal(tmp_path, disk, 1000.0)


def test_messages_come_back_in_order_with_their_attempts(tmp_path):
    journal = reopened(tmp_path)
    first, second, third = (entry(journal, name, key=5) for name in ("a", "b", "c"))
    for taken in (first, second, third):
        assert journal.take(taken)
    second.attempts = 1
    journal.begin([second], 2000.0, 1)
    journal.results([(second, Outcome.RESET)])
    second.attempts = 2
    journal.begin([second, third], 3000.0, 0)
    journal.over([first])
    again = reopened(tmp_path)
    assert [e.id for e in again.entries.values()] == ["b", "c"]
    back = again.entries[second.number]
    assert (back.body, back.key, back.token, back.attempts) == (b"\x00\r\n\xff", 5, "token", 2)
    assert (back.begun, back.risky_at, back.risky_zone) == (3000.0, 2000.0, 1)
    assert again.next > third.number and again.knows("a", 5000.0) and again.knows("b", 5000.0)


def test_an_attempt_that_surely_never_ran_leaves_no_mark(tmp_path):
    journal = reopened(tmp_path)
    journal.take(one := entry(journal, "a"))
    one.attempts = 1
    journal.begin([one], 2000.0, 0)
    journal.results([(one, Outcome.FULL)])
    back = reopened(tmp_path).entries[one.number]
    assert (back.attempts, back.begun, back.risky_at) == (1, 0.0, 0.0)


@pytest.mark.parametrize("cut", [1, 20, 60])
def test_a_torn_last_record_is_passed_over(tmp_path, cut):
    journal = reopened(tmp_path)
    journal.take(entry(journal, "a"))
    journal.take(entry(journal, "b"))
    path = tmp_path / "journal"
    path.write_bytes(path.read_bytes()[:-cut])
    again = reopened(tmp_path)
    assert [e.id for e in again.entries.values()] == ["a"]
    again.take(entry(again, "c"))
    assert [e.id for e in reopened(tmp_path).entries.values()] == ["a", "c"]


@pytest.mark.parametrize("junk", [b"", b"\x00\xff", b"00000000 []", b"zz", b"[1]"])
def test_damage_is_logged_and_the_rest_is_read(tmp_path, caplog, junk):
    journal = reopened(tmp_path)
    for name in ("a", "b", "c"):
        journal.take(entry(journal, name))
    path = tmp_path / "journal"
    lines = path.read_bytes().split(b"\n")
    lines[2] = lines[2][:30] + junk
    path.write_bytes(b"\n".join(lines))
    with caplog.at_level(logging.ERROR):
        assert [e.id for e in reopened(tmp_path).entries.values()] == ["a", "c"]
    assert "damaged" in caplog.text


def test_half_a_rewrite_is_not_taken_for_the_journal(tmp_path):
    journal = reopened(tmp_path)
    journal.take(entry(journal, "a"))
    (tmp_path / "journal.new").write_bytes(b"half of a new fi")
    assert [e.id for e in reopened(tmp_path).entries.values()] == ["a"]
    assert not (tmp_path / "journal.new").exists()


def test_old_and_new_file_fit_the_disk_together_at_any_time(tmp_path, monkeypatch):
    journal, most, rewrites = reopened(tmp_path), 0, 0
    replace = j.os.replace

    def watched(source, target):
        nonlocal most, rewrites
        sizes = [-(-(tmp_path / name).stat().st_size // 512) * 512 for name in ("journal", "journal.new")]
        most, rewrites = max(most, sum(sizes)), rewrites + 1
        replace(source, target)

    monkeypatch.setattr(j.os, "replace", watched)
    taken, refused = [], 0
    for n in range(3000):
        body = b"x" * (n * 37 % 5000)
        if journal.room(body):
            one = entry(journal, f"m{n}", body, deadline=1000.0 + n)
            assert journal.take(one)
            taken.append(one)
        else:
            refused += 1
            journal.over([taken.pop(0)])
        journal.tidy(float(n))
    assert rewrites > 3 and refused > 10 and most <= DISK
    assert [e.id for e in reopened(tmp_path).entries.values()] == [e.id for e in taken]


@pytest.mark.parametrize("short", [0, 1, 2, 10])
def test_a_disk_that_is_full_takes_nothing_on_and_tears_no_later_record(tmp_path, monkeypatch, short):
    """However many bytes of the refused record were written, all but its line's end included."""
    journal = reopened(tmp_path)
    journal.take(entry(journal, "a"))
    write, full = j.os.write, []

    def torn(file, data):
        if not full and len(data) > short:
            full.append(write(file, data[: len(data) - short] if short else data[:1]))
            return full[0]
        raise OSError(errno.ENOSPC, "no space left")

    monkeypatch.setattr(j.os, "write", torn)
    assert not journal.take(entry(journal, "b"))
    monkeypatch.setattr(j.os, "write", write)
    assert journal.take(entry(journal, "c"))
    assert [e.id for e in reopened(tmp_path).entries.values()] == ["a", "c"]
