"""Edits of the configuration while messages are held: their effect on the policy, and which can be applied."""

import itertools
from dataclasses import replace

import pytest
from config.files import GOOD
from test_policy import KEYED, ORDERED, SAFE, UNSAFE, Rig, sends

from rainpier import interface
from rainpier.config import build, change
from rainpier.config import model as schema
from rainpier.config.check import check_text
from rainpier.config.platform import settings as platform_settings
from rainpier.config.watch import ChangeDetector

CLASSES = (SAFE, KEYED, UNSAFE, ORDERED)
EFFECTS = {"safe": SAFE, "keyed": KEYED, "unsafe": UNSAFE}


def refused_or_failed(actions):
    """Returns the (type name, message) of each Refuse and Fail among the actions."""
    return [
        (type(a).__name__, a.message) for a in actions if isinstance(a, interface.Refuse | interface.Fail)
    ]


def with_class(number, cls):
    """Returns the event that replaces the class of this number in CLASSES."""
    return interface.ClassesChange((*CLASSES[:number], cls, *CLASSES[number + 1 :]))


@pytest.mark.parametrize(("before", "after"), list(itertools.product(EFFECTS, EFFECTS)))
def test_a_message_that_may_have_run_is_repeated_only_if_the_stricter_class_permits_it(before, after):
    rig = Rig(classes=(EFFECTS[before], *CLASSES))
    rig.arrive(1)
    rig.do(interface.ClassesChange((EFFECTS[after], *CLASSES)))
    found = refused_or_failed(rig.result(1, interface.Outcome.RESET))
    if "unsafe" in (before, after):
        assert found == [("Fail", 1)] and 1 not in sends([a for _, a in rig.run(8000)])
    else:
        assert not found and 1 in sends([a for _, a in rig.run(3000)])


def test_a_held_message_that_may_have_run_fails_at_once_when_its_class_becomes_unsafe():
    rig = Rig()
    rig.arrive(1)
    rig.result(1, interface.Outcome.ERROR)
    assert refused_or_failed(rig.do(with_class(0, replace(UNSAFE, name="safe")))) == [("Fail", 1)]


def test_a_message_that_never_ran_is_sent_on_as_unsafe_when_its_class_becomes_unsafe():
    rig = Rig()
    rig.arrive(1)
    rig.result(1, interface.Outcome.FULL)
    assert not refused_or_failed(rig.do(with_class(0, replace(UNSAFE, name="safe"))))
    assert 1 in sends([a for _, a in rig.run(8000)])
    assert refused_or_failed(rig.result(1, interface.Outcome.TIMEOUT)) == [("Fail", 1)]


def test_a_message_stays_unsafe_when_its_class_becomes_safe_again():
    rig = Rig()
    rig.arrive(1, cls=2)
    for effect in (SAFE, UNSAFE, SAFE):
        rig.do(with_class(2, effect))
    assert refused_or_failed(rig.result(1, interface.Outcome.TIMEOUT)) == [("Fail", 1)]
    rig.arrive(2, cls=2)  # accepted under the class as it is now
    assert not refused_or_failed(rig.result(2, interface.Outcome.TIMEOUT))


def test_the_shorter_of_two_repeat_windows_applies():
    rig = Rig()
    rig.arrive(1, cls=1)
    rig.do(with_class(1, replace(KEYED, repeat_window=400.0)))
    rig.result(1, interface.Outcome.ERROR)
    assert 1 not in sends([a for _, a in rig.run(10_000)])
    rig.arrive(2, cls=1)
    rig.do(with_class(1, replace(KEYED, repeat_window=60_000.0)))
    assert rig.sender.messages[2].cls.repeat_window == 400.0


def test_bound_by_is_at_least_as_strict_as_either_class():
    groups = interface.GROUPS
    classes = [
        replace(SAFE, effect=e, group=g, repeat_window=w)
        for e in interface.Effect
        for g in groups
        for w in (0.0, 5.0, 9.0)
    ]
    for one, two in itertools.product(classes, classes):
        bound = one.bound_by(two.effect, two.group, two.repeat_window)
        assert bound.effect == max(one.effect, two.effect)
        for cls in (one, two):
            if cls.effect is bound.effect is interface.Effect.KEYED:
                assert bound.repeat_window <= cls.repeat_window
                assert groups.index(bound.group) >= groups.index(cls.group)


def test_a_new_class_can_be_used_and_the_others_keep_what_was_learned():
    rig = Rig()
    rig.arrive(1)
    rig.result(1, interface.Outcome.OK, after=80.0)
    learned_ms = rig.sender.usual_call_ms[0]
    rig.do(interface.ClassesChange((*CLASSES, replace(SAFE, name="new"))))
    rig.arrive(2, cls=len(CLASSES))
    rig.result(2, interface.Outcome.OK)
    assert (
        learned_ms
        and rig.sender.usual_call_ms[0] == learned_ms
        and len(rig.sender.usual_call_ms) == len(CLASSES) + 1
    )


def test_removing_a_destination_ends_held_messages_at_once_and_calls_in_flight_with_their_attempt():
    rig = Rig(endpoints=((7, 1), (8, 2)))
    rig.arrive(1, cls=2)
    rig.do(interface.Result(1, 0, 7, interface.Outcome.FULL, 5.0, wait=5000.0))
    rig.arrive(2, dest=2)
    rig.arrive(3, dest=1)
    found = refused_or_failed(rig.do(interface.DestinationsGone(frozenset({1, 2}))))
    assert sorted(found) == [("Refuse", 1), ("Refuse", 3)]
    # The class is safe, so the message is refused: submitting it again is harmless.
    assert refused_or_failed(rig.result(2, interface.Outcome.ERROR)) == [("Refuse", 2)]
    assert not rig.sender.messages and rig.sender.free_slots == 8
    assert refused_or_failed(rig.arrive(4, dest=1)) == []  # the node rejects new ones, not the policy
    # The destinations are declared again.
    assert refused_or_failed(rig.do(interface.DestinationsGone(frozenset()))) == []
    assert rig.sender.removed_destinations == frozenset()


def test_a_keys_next_message_is_sent_once_the_one_before_has_ended_with_its_destination():
    rig = Rig(endpoints=((7, 1), (8, 2)))
    rig.arrive(1, cls=3, dest=1, key=5)
    rig.arrive(2, cls=3, dest=2, key=5)
    assert refused_or_failed(rig.do(interface.DestinationsGone(frozenset({1})))) == []
    assert 2 not in rig.last
    assert refused_or_failed(rig.result(1, interface.Outcome.ERROR)) == [("Refuse", 1)]
    assert 2 in rig.last


# --- edits that can be applied while the process runs ---


def model(text=GOOD):
    """Returns the model of a configuration file's text."""
    return check_text(text, "a.toml").model


@pytest.mark.parametrize(("find", "to", "live"), [
    ('aim = "2 s"', 'aim = "3 s"', True), ('effect = "unsafe"', 'effect = "safe"', True), ("worth = 5", "worth = 6", True),
    ('rate = "50/s"', 'rate = "60/s"', True), ('"10.0.1.1:9000"', '"10.0.1.2:9000"', True), ('zone = "south" }', 'state = "draining" }', True),
    ("[destination.billing]", "[destination.bills]", True), ("slots = 32", "slots = 31", False), ("number = 2", "number = 3", False),
    ("order = true", "order = false", False), ("[class.notice]", "[class.note]", False), ("batch = 20", "batch = 10", False),
    ("6379", "6380", False), ("studio-state", "other", False), ("correct-horse", "other-password", False), ("ordinal = 0", "ordinal = 1", False),
])  # fmt: skip
def test_which_edits_can_be_applied_while_the_process_runs(find, to, live):
    found = change.changes(model(), change.keep_numbering(model(), model(GOOD.replace(find, to, 1))))
    assert found and (not change.startup_only(found)) == live


def test_classes_keep_their_numbers_whatever_order_an_edit_gives_them():
    old = model()
    head, tail = GOOD.split("[class.notice]"), GOOD.index("[class.render]")
    moved = (
        head[0]
        + GOOD[tail : GOOD.index("[kind.single]")]
        + "[class.notice]"
        + GOOD[GOOD.index("[class.notice]") + 14 : tail]
        + GOOD[GOOD.index("[kind.single]") :]
    )
    new = change.keep_numbering(old, model(moved))
    assert list(model(moved).classes) != list(old.classes) == list(new.classes)
    assert not change.changes(old, new) and build.settings(new) == build.settings(old)


def test_a_changed_file_is_read_once_two_checks_see_the_same_metadata():
    detector = ChangeDetector((1, 10, 7))
    checks = [((1, 10, 7), False), ((2, 4, 7), False), ((3, 9, 7), False), ((3, 9, 7), True), ((3, 9, 7), False),
             (None, False), (None, False), ((4, 9, 8), False), ((5, 9, 9), False), ((5, 9, 9), True), ((5, 9, 9), False)]  # fmt: skip
    for stamp, expected in checks:
        assert detector.should_read(stamp) == expected, stamp


def test_the_platforms_json_is_read_into_the_same_model():
    raw = {"classes": [{"name": "a", "semantics": "guarded", "repeat-window": 7.0}], "kinds": ["x", "y"],
           "family-info": {"workers": 3, "per-call": [1, 20], "kind-apart": [False, True], "late": "by_half"},
           "policy-limits": {"open-cap": 9, "cancelling": True}, "rules": {"drain-grace": 500.0}, "tick": 5.0, "zone": 1,
           "zones": ["a", "b"], "fleet-size": 4, "tenants": [{"name": "t", "quota-per-s": 2.0}], "weights": "rough"}  # fmt: skip
    settings = platform_settings(raw)
    assert settings == interface.Settings(
        classes=(interface.MessageClass("a", effect=interface.Effect.KEYED, repeat_window=7.0),), tenants=(interface.Tenant("t", 2.0),),
        kinds=(interface.Kind("x", 1, False), interface.Kind("y", 20, True)), senders=4, zone=1, slots=3, max_open=9, max_attempts=1_000_000,
        late_halves=True, may_cancel=True, tick=5.0, drain_grace=500.0, rates_rough=True,
    )  # fmt: skip
    assert isinstance(model(), schema.Model) and platform_settings({}).kinds == (interface.Kind(),)
