"""The table of 9P operations and the errors of both dialects."""

from __future__ import annotations

from garnetlanding.decision.interface import Effect
from garnetlanding.ninep import errors
from garnetlanding.ninep.operation_table import (
    OPERATION_SPECS,
    OperationKind,
    request_class_for,
    with_unsafe_variants,
)
from tests.support.decision_bench import READ, WRITE, make_settings


def test_operations_that_are_not_idempotent_use_a_class_without_retries() -> None:
    settings = with_unsafe_variants(make_settings(), ["write"])
    assert settings.classes["write/once"].effect is Effect.UNSAFE
    unsafe = {**settings.classes, "hard": WRITE.__class__("hard", 1, 0, 1, 1, Effect.UNSAFE)}
    for kind, spec in OPERATION_SPECS.items():
        request_class = request_class_for(kind, "read", "write", settings.classes)
        expected = "read" if not spec.changes_tree else "write" if spec.idempotent else "write/once"
        assert request_class == expected
        if spec.changes_tree:
            request_class = request_class_for(kind, "read", "hard", unsafe)
            assert request_class == "hard", "an unsafe class needs no variant"
    assert set(OPERATION_SPECS) == set(OperationKind)
    assert with_unsafe_variants(make_settings(), ["gone"]).classes == {"read": READ, "write": WRITE}


def test_errors_of_one_dialect_translate_to_the_other() -> None:
    for errno, texts in errors.ERROR_TEXTS:
        for text in texts:
            assert errors.reply_from_text(text).errno == errno
            assert errors.reply_from_text(f"'/a/b': {text.capitalize()}").errno == errno
        assert errors.reply_from_errno(errno).text == texts[0]
    # A text that is not in the table stays for a 9P2000 client and becomes EIO for a 9P2000.L client.
    assert errors.reply_from_text("what is this") == errors.ErrorReply(errors.EIO, "what is this")
    assert errors.reply_from_errno(4711).text == "error 4711"
