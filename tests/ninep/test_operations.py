"""The table of 9P operations and the errors of both dialects."""

from __future__ import annotations

from garnetlanding.decision.interface import Effect
from garnetlanding.ninep import errors
from garnetlanding.ninep.operation_table import TABLE, Op, class_for, with_unsafe_variants
from tests.support.decision_bench import READ, WRITE, make_settings

# The table of operations.


def test_operations_that_are_not_idempotent_use_a_class_without_retries() -> None:
    config = with_unsafe_variants(make_settings(), ["write"])
    assert config.classes["write/once"].effect is Effect.UNSAFE
    unsafe = {**config.classes, "hard": WRITE.__class__("hard", 1, 0, 1, 1, Effect.UNSAFE)}
    for op, spec in TABLE.items():
        got = class_for(op, "read", "write", config.classes)
        assert got == ("read" if not spec.change else "write" if spec.repeatable else "write/once")
        if spec.change:
            assert class_for(op, "read", "hard", unsafe) == "hard", "the settings have one"
    assert set(TABLE) == set(Op)
    assert with_unsafe_variants(make_settings(), ["gone"]).classes == {"read": READ, "write": WRITE}


def test_errors_of_one_dialect_translate_to_the_other() -> None:
    for number, texts in errors.TEXTS:
        for text in texts:
            assert errors.from_text(text).number == number
            assert errors.from_text(f"'/a/b': {text.capitalize()}").number == number
        assert errors.from_number(number).text == texts[0]
    assert errors.from_text("what is this") == errors.Problem(errors.EIO, "what is this")
    assert errors.from_number(4711).text == "error 4711"
