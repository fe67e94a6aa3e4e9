"""The file server operations of both dialects: whether each changes the tree and is idempotent.

The decision module decides whether an operation is retried. This table only determines the request class that
an operation is submitted under: one that is not idempotent gets a class whose effect is UNSAFE.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from garnetlanding.decision import interface as api

UNSAFE_VARIANT_SUFFIX = "once"
"""The unsafe variant of the request class CLASS is named CLASS/once."""


@dataclass(frozen=True, slots=True)
class OperationSpec:
    """The effect of an operation on the tree.

    `changes_tree`: it changes the tree or, as SYNC, the durability of earlier changes. `idempotent`: running
    it twice has the same effect as running it once.
    """

    changes_tree: bool
    idempotent: bool


_READ_ONLY = OperationSpec(changes_tree=False, idempotent=True)
_IDEMPOTENT_CHANGE = OperationSpec(changes_tree=True, idempotent=True)
_NON_IDEMPOTENT_CHANGE = OperationSpec(changes_tree=True, idempotent=False)


class OperationKind(Enum):
    """The kinds of operations; the value is the name in error texts sent to clients."""

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


OPERATION_SPECS: dict[OperationKind, OperationSpec] = {
    OperationKind.ATTACH: _READ_ONLY,
    OperationKind.WALK: _READ_ONLY,
    OperationKind.OPEN: _READ_ONLY,
    OperationKind.READ: _READ_ONLY,
    OperationKind.READ_DIRECTORY: _READ_ONLY,
    OperationKind.STAT: _READ_ONLY,
    OperationKind.READ_LINK: _READ_ONLY,
    OperationKind.STAT_FS: _READ_ONLY,
    # Each writes fixed values to a fixed place, so a second run writes what is there already.
    OperationKind.WRITE: _IDEMPOTENT_CHANGE,
    OperationKind.SET_ATTRIBUTES: _IDEMPOTENT_CHANGE,
    OperationKind.SYNC: _IDEMPOTENT_CHANGE,
    OperationKind.OPEN_TRUNCATE: _IDEMPOTENT_CHANGE,
    OperationKind.CREATE: _IDEMPOTENT_CHANGE,  # opens an existing file
    # A second run appends again, fails because of the first one, or affects a change made in between.
    OperationKind.APPEND: _NON_IDEMPOTENT_CHANGE,
    OperationKind.CREATE_EXCLUSIVE: _NON_IDEMPOTENT_CHANGE,
    OperationKind.MAKE_DIRECTORY: _NON_IDEMPOTENT_CHANGE,
    OperationKind.MAKE_NODE: _NON_IDEMPOTENT_CHANGE,
    OperationKind.SYMLINK: _NON_IDEMPOTENT_CHANGE,
    OperationKind.LINK: _NON_IDEMPOTENT_CHANGE,
    OperationKind.RENAME: _NON_IDEMPOTENT_CHANGE,
    OperationKind.REMOVE: _NON_IDEMPOTENT_CHANGE,
}


def request_class_for(
    kind: OperationKind, reads: str, changes: str, classes: dict[str, api.ClassSpec]
) -> str:
    """Return the request class of an operation.

    `reads` and `changes` are the classes of an export; an operation that is not idempotent gets the unsafe
    variant of `changes`, unless that class is unsafe itself.
    """
    spec = OPERATION_SPECS[kind]
    if not spec.changes_tree:
        return reads
    if spec.idempotent or classes[changes].effect is api.Effect.UNSAFE:
        return changes
    return f"{changes}/{UNSAFE_VARIANT_SUFFIX}"


def with_unsafe_variants(settings: api.Settings, change_classes: Iterable[str]) -> api.Settings:
    """Return the settings with an unsafe variant added for each of these classes that allows retries.

    A variant has the same priority weight, latency objective and deadline. Classes that the settings do not,
    or no longer, contain are ignored.
    """
    variants = {}
    for class_name in change_classes:
        spec = settings.classes.get(class_name)
        if spec and spec.effect is not api.Effect.UNSAFE:
            variant_name = f"{class_name}/{UNSAFE_VARIANT_SUFFIX}"
            variants[variant_name] = replace(spec, name=variant_name, effect=api.Effect.UNSAFE)
    if not variants:
        return settings
    return replace(settings, classes=settings.classes | variants)
