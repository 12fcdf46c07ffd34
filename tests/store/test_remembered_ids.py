"""Ids of completed messages: a copy of a submission that comes late, or again, must not run a second time."""

import pytest

from rainpier.interface import Effect
from rainpier.store.state import RESUBMISSION_TIME_MS

from .test_store import new_entry, open_store, restart

DISK = 1_000_000
DEADLINE = 5000.0


def complete(store, name, effect, deadline=DEADLINE, **more):
    """Accepts a message and completes it."""
    message = new_entry(store, name, b"", deadline=deadline, effect=int(effect), **more)
    assert store.accept(message)
    store.complete([message])


# Picture (c) of incident 40fa21: an id ran twice when it came again after its client had left.
@pytest.mark.parametrize("effect", [Effect.UNSAFE, Effect.KEYED])
def test_ids_of_repeatable_messages_do_not_displace_one_that_must_not_run_twice(effect):
    store = open_store(size=DISK)
    complete(store, "charge", effect)
    for n in range(4000):
        complete(store, f"notice-{n}", Effect.SAFE)
        store.reclaim(1000.0)
    assert store.is_known("charge", DEADLINE - 1)
    assert restart(store, size=DISK).is_known("charge", DEADLINE - 1)


@pytest.mark.parametrize("effect", [Effect.UNSAFE, Effect.KEYED])
def test_an_id_that_may_have_run_is_known_for_a_while_beyond_its_deadline(effect):
    """Its lifetime counts from the submission, but a copy may be read late, or come again at once."""
    store = open_store(size=DISK)
    complete(store, "charge", effect)
    complete(store, "notice", Effect.SAFE)
    for opened in (store, restart(store, size=DISK)):
        assert opened.is_known("charge", DEADLINE + RESUBMISSION_TIME_MS - 1)
        assert not opened.is_known("charge", DEADLINE + RESUBMISSION_TIME_MS + 1)
        assert not opened.is_known("notice", DEADLINE + 1)


def test_a_message_that_was_handed_back_is_not_known_beyond_its_deadline():
    """It has not run, and its client was told to submit it again."""
    store = open_store(size=DISK)
    complete(store, "charge", Effect.UNSAFE, end="handed_back")
    assert not store.is_known("charge", DEADLINE + 1)


def test_no_id_is_dropped_before_its_deadline_for_another_that_must_not_run_twice():
    store = open_store(size=DISK)
    count = 0
    while store.state.can_guard(1000.0):
        complete(store, f"charge-{count}", Effect.UNSAFE)
        count += 1
    assert count > 1000
    assert all(store.is_known(f"charge-{n}", DEADLINE - 1) for n in range(count))
    assert store.state.can_guard(DEADLINE + 1)  # the oldest may go
    complete(store, "charge-next", Effect.UNSAFE)
    assert store.is_known("charge-next", 1000.0) and store.is_known("charge-1", 1000.0)


def test_remembered_ids_keep_their_kind_over_compaction_and_restarts():
    store = open_store(size=DISK)
    complete(store, "charge", Effect.UNSAFE)
    complete(store, "notice", Effect.SAFE)
    for _ in range(20):
        store.rotate(1000.0)
        store.compact(1000.0, 1 << 20)
    for opened in (store, restart(store, size=DISK)):
        assert list(opened.state.guarded_ids) == ["charge"]
        assert list(opened.state.repeatable_ids) == ["notice"]
