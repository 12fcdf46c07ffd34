"""Gauges: what the process uses beside its limits, in the log and in the status."""

import logging

from rainpier.observe import events
from rainpier.observe.process import memory_use, open_descriptors


def test_memory_and_descriptors_are_those_of_this_process(tmp_path):
    """An excess of a limit could not be found in the log: no line named memory or descriptors."""
    before, descriptors = memory_use(), open_descriptors()
    block = bytearray(32 << 20)
    block[:] = b"x" * len(block)
    with open(tmp_path / "file", "wb"):
        assert open_descriptors() == descriptors + 1
    during = memory_use()
    assert during.resident - before.resident >= 30 << 20
    assert during.peak >= during.resident


def test_gauges_are_logged_with_their_current_values(monkeypatch, caplog):
    """The periodic record must show the value at that time, not the one at the registration."""
    monkeypatch.setattr(events, "GAUGES", {})
    values = [1, 2]
    events.register_gauge("held_messages", lambda: values.pop(0))
    with caplog.at_level(logging.INFO):
        events.CounterLogger().log_counts()
        events.CounterLogger().log_counts()
    lines = [line for line in caplog.messages if line.startswith("event=gauges")]
    assert lines == ["event=gauges held_messages=1", "event=gauges held_messages=2"]
