"""The log messages of Python source text: found in its syntax tree, without running it.

Found are calls of a logger's methods, and calls of functions that pass one of their parameters on as the
message of such a call. A message or a level that cannot be read from the source is a `ValueError`: nobody
could say on a page what such a line means.
"""

from __future__ import annotations

import ast
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

LEVELS = {
    "debug": "debug",
    "info": "info",
    "warn": "warning",
    "warning": "warning",
    "error": "error",
    "exception": "error",
    "critical": "critical",
    "fatal": "critical",
}
"""The level of each method of a logger that names one."""
AT_LEAST_WARNING = frozenset({"warning", "error", "critical"})

Function = ast.FunctionDef | ast.AsyncFunctionDef


@dataclass(frozen=True, slots=True, order=True)
class LogMessage:
    """One message: its text, its level, the module that emits it, and the names of its fields."""

    text: str
    level: str
    module: str
    fields: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class _Helper:
    """A function that logs what it gets as its parameter `message`, which is the `place`-th of a call."""

    name: str
    level: str
    message: str
    place: int
    fields: frozenset[str]


@dataclass(frozen=True, slots=True)
class _LogCall:
    call: ast.Call
    level: str
    text: ast.expr
    function: Function | None  # in which the call stands


def find_messages(sources: Mapping[str, str]) -> set[LogMessage]:
    """Return every message of these modules, whose source texts are given by name."""
    trees = {module: ast.parse(source) for module, source in sources.items()}
    calls = {module: list(_logger_calls(module, tree)) for module, tree in trees.items()}
    helpers = [
        helper
        for module, found in calls.items()
        for log_call in found
        if (helper := _as_helper(log_call, trees[module]))
    ]
    messages: set[LogMessage] = set()
    for module, tree in trees.items():
        try:
            messages |= _messages_of_module(module, tree, calls[module], helpers)
        except ValueError as problem:
            raise ValueError(f"{module}: {problem}") from problem
    return messages


def _messages_of_module(
    module: str, tree: ast.Module, calls: Iterable[_LogCall], helpers: Iterable[_Helper]
) -> set[LogMessage]:
    messages: set[LogMessage] = set()
    for log_call in calls:
        if _as_helper(log_call, tree) is None:
            messages |= _messages(module, tree, log_call, _field_names(log_call, tree))
    for log_call, fields in _helper_calls(tree, helpers):
        messages |= _messages(module, tree, log_call, fields | _field_names(log_call, tree))
    return messages


def _logger_calls(module: str, tree: ast.Module) -> Iterator[_LogCall]:
    loggers = set(_logger_names(module, tree))
    for call, function in _calls(tree):
        method = call.func
        if not isinstance(method, ast.Attribute) or _last_name(method.value) not in loggers:
            continue
        if method.attr in LEVELS:
            yield _LogCall(call, LEVELS[method.attr], _argument(module, call, 0), function)
        elif method.attr == "log":
            level = _last_name(call.args[0]).lower() if call.args else ""
            if level not in LEVELS:
                raise ValueError(f"{module}:{call.lineno}: a level that is not of the logging module")
            yield _LogCall(call, LEVELS[level], _argument(module, call, 1), function)


def _logger_names(module: str, tree: ast.Module) -> Iterator[str]:
    """Yield the names that loggers are bound to; `logging` itself is one, for its functions log too."""
    yield "logging"
    bound = 0
    for node in ast.walk(tree):
        if isinstance(node, ast.Assign | ast.AnnAssign) and _is_logger(node.value):
            bound += 1
            for target in node.targets if isinstance(node, ast.Assign) else [node.target]:
                yield _last_name(target)
        elif isinstance(node, ast.arg) and node.annotation and _last_name(node.annotation) == "Logger":
            yield node.arg
    made = sum(isinstance(node, ast.Call) and _is_logger(node) for node in ast.walk(tree))
    if made != bound:
        raise ValueError(f"{module}: a logger that is bound to no name")


def _is_logger(value: ast.expr | None) -> bool:
    return isinstance(value, ast.Call) and _last_name(value.func) == "getLogger"


def _last_name(node: ast.expr) -> str:
    """Return `c` of `a.b.c`, `c` of `c`, and nothing of any other expression."""
    if isinstance(node, ast.Attribute):
        return node.attr
    return node.id if isinstance(node, ast.Name) else ""


def _calls(tree: ast.AST, function: Function | None = None) -> Iterator[tuple[ast.Call, Function | None]]:
    """Yield every call, with the innermost function that it stands in."""
    for node in ast.iter_child_nodes(tree):
        if isinstance(node, ast.Call):
            yield node, function
        yield from _calls(node, node if isinstance(node, Function) else function)


def _argument(module: str, call: ast.Call, place: int) -> ast.expr:
    if len(call.args) <= place:
        raise ValueError(f"{module}:{call.lineno}: a log call without a message")
    return call.args[place]


def _field_names(log_call: _LogCall, tree: ast.Module) -> frozenset[str]:
    """Return the keys of `extra={"kv": {...}}`."""
    extras = [keyword.value for keyword in log_call.call.keywords if keyword.arg == "extra"]
    scopes = _scopes(log_call, tree)
    names: set[str] = set()
    for extra in extras:
        for kv in _dictionaries(extra, scopes):
            for value in kv.values:
                for fields in _dictionaries(value, scopes):
                    names |= {key.value for key in fields.keys if isinstance(key, ast.Constant)}
    return frozenset(names)


def _dictionaries(node: ast.expr, scopes: Sequence[ast.AST]) -> Iterator[ast.Dict]:
    """Yield what the expression may be: a dictionary, or those bound to its name."""
    if isinstance(node, ast.Dict):
        yield node
        return
    for value in _bound_values(node, scopes):
        yield from _dictionaries(value, scopes)


def _as_helper(log_call: _LogCall, tree: ast.Module) -> _Helper | None:
    function = log_call.function
    if function is None or not isinstance(log_call.text, ast.Name):
        return None
    names = [arg.arg for arg in (*function.args.posonlyargs, *function.args.args, *function.args.kwonlyargs)]
    if log_call.text.id not in names:
        return None
    positional = [name for name in names if name not in ("self", "cls")]
    return _Helper(
        function.name,
        log_call.level,
        log_call.text.id,
        positional.index(log_call.text.id),
        _field_names(log_call, tree),
    )


def _helper_calls(tree: ast.Module, helpers: Iterable[_Helper]) -> Iterator[tuple[_LogCall, frozenset[str]]]:
    by_name = {helper.name: helper for helper in helpers}
    for call, function in _calls(tree):
        helper = by_name.get(_last_name(call.func))
        if helper is None:
            continue
        named = [keyword.value for keyword in call.keywords if keyword.arg == helper.message]
        text = named[0] if named else call.args[helper.place]
        yield _LogCall(call, helper.level, text, function), helper.fields


def _messages(module: str, tree: ast.Module, log_call: _LogCall, fields: frozenset[str]) -> set[LogMessage]:
    texts = set(_texts(log_call.text, _scopes(log_call, tree)))
    return {LogMessage(text, log_call.level, module, fields) for text in texts}


def _scopes(log_call: _LogCall, tree: ast.Module) -> Sequence[ast.AST]:
    return [tree] if log_call.function is None else [log_call.function, tree]


def _texts(node: ast.expr, scopes: Sequence[ast.AST]) -> Iterator[str]:
    """Yield what the expression may be: constants, conditions between them, names bound to them."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        yield node.value
    elif isinstance(node, ast.IfExp):
        yield from _texts(node.body, scopes)
        yield from _texts(node.orelse, scopes)
    else:
        for value in _bound_values(node, scopes):
            yield from _texts(value, scopes)


def _bound_values(node: ast.expr, scopes: Sequence[ast.AST]) -> list[ast.expr]:
    """Return what is bound to a name in the first of the scopes that binds it."""
    values = next((bound for scope in scopes if (bound := list(_bound_to(node, scope)))), [])
    if not values:
        raise ValueError(f"line {node.lineno}: a message or its fields that the source does not show")
    return values


def _bound_to(name: ast.expr, scope: ast.AST) -> Iterator[ast.expr]:
    """Yield every value that the scope assigns to the name; nothing for other expressions."""
    if not isinstance(name, ast.Name):
        return
    for node in ast.walk(scope):
        if isinstance(node, ast.Assign):
            for target in node.targets:
                if isinstance(target, ast.Name) and target.id == name.id:
                    yield node.value
