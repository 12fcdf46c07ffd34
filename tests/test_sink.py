"""The file sink: rotation, renames by other programs, torn lines, a full disk, no duplicates."""

import asyncio
import errno
import json
import os

import pytest
from peers import run_with_timeout, wait_until

from rainpier.sinks import file as file_sink
from rainpier.sinks.sink import CompletionSink
from rainpier.store.entry import Entry


def entry(number, final_status="given_up"):
    """Returns the entry of message m<number> with its final status."""
    created = Entry(number, f"m{number}", "safe", 3, 0, "", 9e12, b"body")
    created.end, created.retry = final_status, 250
    return created


def read_lines(path):
    """Returns the decoded lines of a completion file."""
    return [json.loads(row) for row in path.read_text().splitlines()]


def run_with_file_sink(tmp_path, work, rotate_at=1 << 20, keep=3, recovered_ids=()):
    """Runs `work(sink, delivered)` with a started FileSink; `delivered` grows by the entries it delivers.

    `recovered_ids`: ids that the sink looks up in the files of an earlier process.
    """

    async def run():
        delivered = []
        sink = file_sink.FileSink(tmp_path / "folder/ends.jsonl", rotate_at, keep)
        sink.recover(recovered_ids)
        sink.start(delivered.extend)
        await work(sink, delivered)
        sink.close()

    run_with_timeout(run())


def test_line_holds_the_notification_and_fields_for_operators(tmp_path):
    async def work(sink, delivered):
        sink.add(entry(1, "handed_back"))
        await wait_until(lambda: delivered)
        (row,) = read_lines(sink.path)
        assert row.pop("at") > 1e9
        assert row == {
            "message": "m1", "outcome": "handed_back", "retry_in_ms": 250, "class": "safe", "destination": 3,
            "attempts": 0, "may_have_run": False,
        }  # fmt: skip

    run_with_file_sink(tmp_path, work)


def test_rotation_keeps_the_configured_number_of_files_with_all_their_lines(tmp_path):
    async def work(sink, delivered):
        for n in range(40):
            sink.add(entry(n))
            await wait_until(lambda n=n: len(delivered) == n + 1)
        file_names = sorted(path.name for path in sink.path.parent.iterdir())
        assert file_names == ["ends.jsonl", "ends.jsonl.1", "ends.jsonl.2", "ends.jsonl.3"]
        kept = [
            row["message"] for name in reversed(file_names) for row in read_lines(sink.path.parent / name)
        ]
        assert kept == [f"m{n}" for n in range(40)][-len(kept) :] and len(kept) > 10
        # a file exceeds `rotate_at` by at most one line, which is shorter than 400 bytes
        assert all(path.stat().st_size < 600 + 400 for path in sink.path.parent.iterdir())

    run_with_file_sink(tmp_path, work, rotate_at=600)


def test_rotation_without_kept_files_starts_an_empty_file(tmp_path):
    async def work(sink, delivered):
        for n in range(20):
            sink.add(entry(n))
            await wait_until(lambda n=n: len(delivered) == n + 1)
        assert [path.name for path in sink.path.parent.iterdir()] == ["ends.jsonl"]

    run_with_file_sink(tmp_path, work, rotate_at=600, keep=0)


def test_file_renamed_or_removed_by_others_is_created_again(tmp_path):
    async def work(sink, delivered):
        for n, step in enumerate(
            (lambda: None, lambda: os.replace(sink.path, tmp_path / "old"), lambda: sink.path.unlink())
        ):
            step()
            sink.add(entry(n))
            await wait_until(lambda n=n: len(delivered) == n + 1)
            assert read_lines(sink.path)[-1]["message"] == f"m{n}"
        assert len(read_lines(tmp_path / "old")) == 1

    run_with_file_sink(tmp_path, work)


def test_torn_line_of_an_earlier_process_does_not_corrupt_later_lines(tmp_path):
    (tmp_path / "folder").mkdir()
    (tmp_path / "folder/ends.jsonl").write_text('{"message":"m1","outcome":"given_up"}\n{"message":"m2","ou')

    async def work(sink, delivered):
        sink.add(entry(1))
        sink.add(entry(2))  # its line is torn, so it is written again
        await wait_until(lambda: len(delivered) == 2)
        rows = sink.path.read_text().splitlines()
        assert [json.loads(row)["message"] for row in (rows[0], rows[2])] == ["m1", "m2"] and len(rows) == 3

    run_with_file_sink(tmp_path, work, recovered_ids=["m1", "m2"])


@pytest.mark.parametrize("written", [0, 1, 30, 200])
def test_full_disk_leaves_no_torn_line_and_completions_are_written_once_there_is_room(
    tmp_path, monkeypatch, written
):
    real_write, disk_full = os.write, [True]

    def failing_write(file, data):
        if disk_full[0] and len(data) > 20:
            if len(data) > written and written:
                real_write(file, bytes(data)[:written])
            raise OSError(errno.ENOSPC, "no space left")
        return real_write(file, data)

    async def work(sink, delivered):
        monkeypatch.setattr(file_sink.os, "write", failing_write)
        for n in range(3):
            sink.add(entry(n))
        await asyncio.sleep(0.2)
        assert not delivered and len(sink.pending) == 3
        disk_full[0] = False
        await wait_until(lambda: len(delivered) == 3)
        assert [row["message"] for row in read_lines(sink.path)] == ["m0", "m1", "m2"]

    run_with_file_sink(tmp_path, work)


def test_completion_in_the_rotated_file_of_an_earlier_process_is_not_written_again(tmp_path):
    (tmp_path / "folder").mkdir()
    (tmp_path / "folder/ends.jsonl.1").write_text('{"message":"m1","outcome":"given_up"}\n')

    async def work(sink, delivered):
        sink.add(entry(1))
        sink.add(entry(2))
        await wait_until(lambda: len(delivered) == 2)
        assert [row["message"] for row in read_lines(sink.path)] == ["m2"]
        sink.add(entry(1))  # the same id from this process is a new completion and is written
        await wait_until(lambda: len(delivered) == 3)
        assert [row["message"] for row in read_lines(sink.path)] == ["m2", "m1"]

    run_with_file_sink(tmp_path, work, recovered_ids=["m1", "m2"])


def test_partly_written_batch_that_cannot_be_truncated_corrupts_no_line_and_is_not_written_twice(
    tmp_path, monkeypatch
):
    """After a failed write and truncation, completions could share a torn line or be written twice."""
    real_write, partial_writes = os.write, [1]  # 1: writes a part; 0: fails; -1: writes all

    def write(handle, data):
        if partial_writes[0] and data.startswith(b'{"message"'):
            partial_writes[0] -= 1
            return real_write(handle, data[: len(data) * 2 // 3])
        if partial_writes == [0]:
            partial_writes[0] = -1
            raise OSError(errno.EIO, "injected")
        return real_write(handle, data)

    def truncate(handle, size):
        monkeypatch.undo()
        raise OSError(errno.EIO, "injected")

    async def work(sink, delivered):
        sink.add(entry(0))
        await wait_until(lambda: delivered)
        monkeypatch.setattr(os, "write", write)
        monkeypatch.setattr(os, "ftruncate", truncate)
        for n in range(1, 4):
            sink.add(entry(n))
        await wait_until(lambda: len(delivered) == 4)
        whole_lines = [
            json.loads(row)["message"] for row in sink.path.read_text().splitlines() if row.endswith("}")
        ]
        assert sorted(whole_lines) == ["m0", "m1", "m2", "m3"]

    run_with_file_sink(tmp_path, work)


class FailingWrites:
    """Replaces os.write and os.ftruncate: a short write, then an error, until `end` is called."""

    def __init__(self, monkeypatch, file_path, written, error, truncates):
        self.written, self.error, self.truncates = written, error, truncates
        self.file_path, self.writes, self.failures, self.failing = file_path, 0, 0, True
        self.real_write, self.real_truncate = os.write, os.ftruncate
        monkeypatch.setattr(file_sink.os, "write", self.write)
        monkeypatch.setattr(file_sink.os, "ftruncate", self.truncate)

    def end(self):
        """Lets later calls succeed."""
        self.failing = False

    def is_sink(self, file):
        """Whether the descriptor is the completion file's: the event loop writes to others."""
        return os.fstat(file).st_ino == os.stat(self.file_path).st_ino

    def write(self, file, data):
        if not self.failing or not self.is_sink(file):
            return self.real_write(file, data)
        self.writes += 1
        if self.writes == 1 and self.written:
            return self.real_write(file, bytes(data)[: self.written])
        self.failures += 1
        raise OSError(self.error, "injected")

    def truncate(self, file, size):
        if self.failing and not self.truncates and self.is_sink(file):
            raise OSError(self.error, "injected")
        return self.real_truncate(file, size)


BATCH_IDS = ["m1", "m2"]
NOW = 1796118000.123  # Unix time, s
BATCH_BYTES = len(b"".join(file_sink.encode_line(entry(n), 3, NOW) for n in (1, 2)))


# Guards against completions that are lost: after a short write the file was cut to the length of that write.
@pytest.mark.parametrize(
    "error", [errno.ENOSPC, errno.EIO, errno.EFBIG, errno.EDQUOT], ids=errno.errorcode.get
)
@pytest.mark.parametrize(
    ("truncates", "then"), [(True, "continue"), (False, "continue"), (False, "rename"), (True, "kill"), (False, "kill")]
)  # fmt: skip
def test_short_write_followed_by_an_error_loses_and_repeats_no_completion(
    tmp_path, monkeypatch, error, truncates, then
):
    """At every byte of a batch; the process goes on or is killed, or another program renames the file."""

    async def scenario():
        for written in range(BATCH_BYTES):
            folder = tmp_path / str(written)
            path = folder / "ends.jsonl"
            sink = file_sink.FileSink(path, 1 << 20, 3)
            assert await sink.deliver([entry(0)])
            with monkeypatch.context() as patch:
                patch.setattr(file_sink.time, "time", lambda: NOW)
                failing = FailingWrites(patch, path, written, error, truncates)
                assert not await sink.deliver([entry(1), entry(2)])
                assert failing.failures == 1
                failing.end()
                if then == "kill":  # the next process looks up what was written
                    sink.close_file()
                    sink = file_sink.FileSink(path, 1 << 20, 3)
                    sink.recover(BATCH_IDS)
                elif then == "rename":
                    os.replace(path, folder / "old")
                assert await sink.deliver([entry(1), entry(2)])
            sink.close_file()
            assert sorted(whole_ids(folder)) == ["m0", *BATCH_IDS], written

    run_with_timeout(scenario())


def whole_ids(folder):
    """Returns the ids of the whole lines in all files of a folder; others are torn, or empty."""
    found = []
    for path in folder.iterdir():
        for row in path.read_bytes().split(b"\n")[:-1]:
            try:
                found.append(json.loads(row)["message"])
            except ValueError:
                continue
    return found


def test_completion_is_delivered_soon_after_the_receiver_recovers():
    """Otherwise a completion waits for the end of a long retry pause although it could be delivered."""

    class RecoveringSink(CompletionSink):
        """A sink whose receiver confirms batches from `recovers_at` on."""

        async def deliver(self, batch):
            attempts.append(asyncio.get_running_loop().time())
            return attempts[-1] >= recovers_at

    async def run():
        nonlocal recovers_at
        loop = asyncio.get_running_loop()
        recovers_at = loop.time() + 0.4
        sink, delivered = RecoveringSink(), []
        sink.start(delivered.extend)
        sink.add(entry(1))
        await wait_until(lambda: delivered)
        assert attempts[-1] - recovers_at < 0.15
        sink.close()

    attempts, recovers_at = [], 0.0
    run_with_timeout(run())
