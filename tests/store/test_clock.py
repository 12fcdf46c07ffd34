"""The timeline across restarts: by the monotonic clock within a boot, otherwise by the wall clock."""

import pytest
from standins.disk import Disk

from rainpier.store.clock import BOOT_ID_SIZE, ClockReading
from rainpier.store.entry import Entry
from rainpier.store.state import UNKNOWN_TIME
from rainpier.store.store import Store

from .workload import PLACE

DISK = 256 << 10  # bytes
BOOT, OTHER_BOOT = b"a" * BOOT_ID_SIZE, b"b" * BOOT_ID_SIZE
WALL, MONOTONIC = 10_000_000.0, 500.0  # ms, at the first start
HOUR = 3_600_000.0  # ms


def store_at(files, wall, monotonic, boot=BOOT):
    """Opens a store on a copy of the files while both clocks and the boot id have these values."""
    return Store(Disk(files), DISK, wall, reading=ClockReading(monotonic, boot))


@pytest.fixture
def stored_files():
    """The files of a store with one message that was never attempted and one that may have run."""
    store = store_at(None, WALL, MONOTONIC)
    for number, name in ((1, "untried"), (2, "begun")):
        store.accept(Entry(number, name, "safe", 3, 0, "", WALL + 20_000, b"x"))
    store.record_attempts([store.entries[2]], WALL + 3_000, PLACE)
    return store.files.image()


@pytest.mark.parametrize("step", [-24 * HOUR, -HOUR, -7_000.0, -900.0, 900.0, 7_000.0, HOUR, 24 * HOUR])
def test_wall_clock_step_within_a_boot_changes_no_recorded_time(stored_files, step):
    """Otherwise a step of the wall clock would extend, end or lose deadlines and repeat windows."""
    second = store_at(stored_files, WALL + 5_000 + step, MONOTONIC + 5_000)
    assert second.opened_at == WALL + 5_000
    assert second.entries[1].deadline == second.entries[2].deadline == WALL + 20_000
    assert second.entries[2].begun == WALL + 3_000
    # a second step, in the other direction
    third = store_at(second.files.image(), WALL - step, MONOTONIC + 9_000)
    assert third.opened_at == WALL + 9_000 and third.entries[2].begun == WALL + 3_000


@pytest.mark.parametrize(
    ("boot", "monotonic"), [(OTHER_BOOT, MONOTONIC + 5_000), (BOOT, MONOTONIC - 1), (b"", MONOTONIC + 5_000)]
)
def test_after_a_reboot_the_wall_clock_is_used_and_a_clock_set_back_leaves_no_window_open(
    stored_files, boot, monotonic
):
    later = store_at(stored_files, WALL + 5_000, monotonic, boot)
    assert later.opened_at == WALL + 5_000 and later.entries[2].begun == WALL + 3_000
    earlier = store_at(stored_files, WALL - HOUR, monotonic, boot)
    assert earlier.opened_at == WALL - HOUR and earlier.entries[2].begun == UNKNOWN_TIME
    assert earlier.entries[1].deadline == WALL - HOUR + 17_000


def test_later_segments_keep_the_clock_anchor(stored_files):
    store = store_at(stored_files, WALL + 5_000, MONOTONIC + 5_000)
    for n in range(3):
        store.rotate(WALL + 6_000 + n)
        store.compact(WALL + 6_000, 1_000_000)
    assert len(store.segments) == 1
    second = store_at(store.files.image(), WALL - HOUR, MONOTONIC + 8_000)
    assert second.opened_at == WALL + 8_000
