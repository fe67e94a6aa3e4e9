"""The operations behind both dialects: what each does to the tree, and whether it may run twice.

Whether one is tried again is the decision module's call. This table only tells it what a repeat would do:
an operation that may not run twice reaches it under a class whose effect is UNSAFE.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from garnetlanding.decision import interface as api

TWIN = "once"  # a derived class is named CLASS/once


@dataclass(frozen=True, slots=True)
class Spec:
    change: bool  # of the tree, or of a promise about it
    repeat: bool  # running it twice leaves what running it once does


READS, SETS, ONCE = Spec(False, True), Spec(True, True), Spec(True, False)


class Op(Enum):
    """The value is the name that logs and figures use."""

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


TABLE: dict[Op, Spec] = {
    Op.ATTACH: READS,
    Op.WALK: READS,
    Op.OPEN: READS,
    Op.READ: READS,
    Op.READ_DIRECTORY: READS,
    Op.STAT: READS,
    Op.READ_LINK: READS,
    Op.STAT_FS: READS,
    # A place is given with each of these: what a second run writes is there already.
    Op.WRITE: SETS,
    Op.SET_ATTRIBUTES: SETS,
    Op.SYNC: SETS,
    Op.OPEN_TRUNCATE: SETS,
    Op.CREATE: SETS,  # opens the file that is there
    # A second run adds again, fails on its own first run, or hits what came in between.
    Op.APPEND: ONCE,
    Op.CREATE_EXCLUSIVE: ONCE,
    Op.MAKE_DIRECTORY: ONCE,
    Op.MAKE_NODE: ONCE,
    Op.SYMLINK: ONCE,
    Op.LINK: ONCE,
    Op.RENAME: ONCE,
    Op.REMOVE: ONCE,
}


def class_for(op: Op, reads: str, changes: str, classes: dict[str, api.ClassSpec]) -> str:
    """The class that an operation asks under, of an export's two."""
    spec = TABLE[op]
    if not spec.change:
        return reads
    if spec.repeat or classes[changes].effect is api.Effect.UNSAFE:
        return changes
    return f"{changes}/{TWIN}"


def with_twins(settings: api.Settings, change_classes: Iterable[str]) -> api.Settings:
    """The settings with an UNSAFE twin for each of these classes that would allow a repeat: the same worth,
    aim and deadline. Classes that the settings do not (or no longer) have are left out."""
    twins = {}
    for name in change_classes:
        spec = settings.classes.get(name)
        if spec and spec.effect is not api.Effect.UNSAFE:
            twin = f"{name}/{TWIN}"
            twins[twin] = replace(spec, name=twin, effect=api.Effect.UNSAFE)
    return replace(settings, classes=settings.classes | twins) if twins else settings
