"""The operations behind both dialects: what each does to the tree, and whether it may run twice.

Whether one is tried again is the decision module's call. This table only tells it what a repeat would do:
an operation that may not run twice reaches it under a class whose effect is UNSAFE.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from garnetlanding.decision import interface as api

UNSAFE_VARIANT = "once"
"""The name of a class's unsafe variant is CLASS/once."""


@dataclass(frozen=True, slots=True)
class OperationSpec:
    """What an operation does to the tree.

    `change`: it changes the tree, or a promise about it. `repeatable`: running it twice leaves what running
    it once does.
    """

    change: bool
    repeatable: bool


_READS = OperationSpec(change=False, repeatable=True)
_SETS = OperationSpec(change=True, repeatable=True)
_ONCE = OperationSpec(change=True, repeatable=False)


class Op(Enum):
    """An operation; the value is its name in error texts to clients."""

    ATTACH = "attach"
    WALK = "walk"
    OPEN = "open"
    OPEN_TRUNCATE = "open-truncate"
    READ = "read"
    READ_DIRECTORY = "read-directory"
    STAT = "stat"
    READ_LINK = "read-link"
    STAT_FS = "stat-fs"
    WRITE = "write"
    SET_ATTRIBUTES = "set-attributes"
    SYNC = "sync"
    CREATE = "create"
    APPEND = "append"
    CREATE_EXCLUSIVE = "create-exclusive"
    MAKE_DIRECTORY = "make-directory"
    MAKE_NODE = "make-node"
    SYMLINK = "symlink"
    LINK = "link"
    RENAME = "rename"
    REMOVE = "remove"


TABLE: dict[Op, OperationSpec] = {
    Op.ATTACH: _READS,
    Op.WALK: _READS,
    Op.OPEN: _READS,
    Op.READ: _READS,
    Op.READ_DIRECTORY: _READS,
    Op.STAT: _READS,
    Op.READ_LINK: _READS,
    Op.STAT_FS: _READS,
    # Each of these names a place: what a second run writes is there already.
    Op.WRITE: _SETS,
    Op.SET_ATTRIBUTES: _SETS,
    Op.SYNC: _SETS,
    Op.OPEN_TRUNCATE: _SETS,
    Op.CREATE: _SETS,  # opens the file that is there
    # A second run adds again, fails on its own first run, or hits what came in between.
    Op.APPEND: _ONCE,
    Op.CREATE_EXCLUSIVE: _ONCE,
    Op.MAKE_DIRECTORY: _ONCE,
    Op.MAKE_NODE: _ONCE,
    Op.SYMLINK: _ONCE,
    Op.LINK: _ONCE,
    Op.RENAME: _ONCE,
    Op.REMOVE: _ONCE,
}


def class_for(op: Op, reads: str, changes: str, classes: dict[str, api.ClassSpec]) -> str:
    """Return the class that an operation is requested under.

    `reads` and `changes` are the classes of an export; an operation that may not run twice gets the unsafe
    variant of `changes`, unless that class is unsafe itself.
    """
    spec = TABLE[op]
    if not spec.change:
        return reads
    if spec.repeatable or classes[changes].effect is api.Effect.UNSAFE:
        return changes
    return f"{changes}/{UNSAFE_VARIANT}"


def with_unsafe_variants(settings: api.Settings, change_classes: Iterable[str]) -> api.Settings:
    """Return the settings with an unsafe variant of each of these classes that would allow a repeat.

    It has the same priority weight, latency objective and deadline. Classes that the settings do not have, or
    no longer, are left out.
    """
    variants = {}
    for class_name in change_classes:
        spec = settings.classes.get(class_name)
        if spec and spec.effect is not api.Effect.UNSAFE:
            variant_name = f"{class_name}/{UNSAFE_VARIANT}"
            variants[variant_name] = replace(spec, name=variant_name, effect=api.Effect.UNSAFE)
    if not variants:
        return settings
    return replace(settings, classes=settings.classes | variants)
