"""Finds the log messages of Python source text by static analysis of its syntax tree.

It finds calls of a logger's methods, and calls of functions that pass one of their parameters on as the
message of such a call. A message or level that is not evident from the source raises `ValueError`, since such
a message could not be documented.
"""

from __future__ import annotations

import ast
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

# The level of each logger method that implies one.
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
AT_LEAST_WARNING = frozenset({"warning", "error", "critical"})

Function = ast.FunctionDef | ast.AsyncFunctionDef


@dataclass(frozen=True, slots=True, order=True)
class LogMessage:
    """The text and level of a message, the module that emits it, and the names of its fields."""

    text: str
    level: str
    module: str
    fields: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class _LogFunction:
    """A function that logs the argument of one of its parameters, which is at `position` in a call."""

    name: str
    level: str
    parameter: str
    position: int
    fields: frozenset[str]


@dataclass(frozen=True, slots=True)
class _LogCall:
    call: ast.Call
    level: str
    text: ast.expr
    function: Function | None  # the innermost function that contains the call


def find_messages(sources: Mapping[str, str]) -> set[LogMessage]:
    """Return every message of modules, given their source texts by module name."""
    trees = {module: ast.parse(source) for module, source in sources.items()}
    calls = {module: list(_logger_calls(module, tree)) for module, tree in trees.items()}
    log_functions = [
        log_function
        for module, module_calls in calls.items()
        for log_call in module_calls
        if (log_function := _as_log_function(log_call, trees[module]))
    ]
    messages: set[LogMessage] = set()
    for module, tree in trees.items():
        try:
            messages |= _messages_of_module(module, tree, calls[module], log_functions)
        except ValueError as error:
            raise ValueError(f"{module}: {error}") from error
    return messages


def _messages_of_module(
    module: str, tree: ast.Module, calls: Iterable[_LogCall], log_functions: Iterable[_LogFunction]
) -> set[LogMessage]:
    messages: set[LogMessage] = set()
    for log_call in calls:
        if _as_log_function(log_call, tree) is None:
            messages |= _messages(module, tree, log_call, _field_names(log_call, tree))
    for log_call, fields in _log_function_calls(tree, log_functions):
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
                raise ValueError(f"{module}:{call.lineno}: level is not a constant of the logging module")
            yield _LogCall(call, LEVELS[level], _argument(module, call, 1), function)


def _logger_names(module: str, tree: ast.Module) -> Iterator[str]:
    """Yield the names that loggers are bound to, and `logging`, whose functions log too."""
    yield "logging"
    bound = 0
    for node in ast.walk(tree):
        if isinstance(node, ast.Assign | ast.AnnAssign) and _is_logger(node.value):
            bound += 1
            for target in node.targets if isinstance(node, ast.Assign) else [node.target]:
                yield _last_name(target)
        elif isinstance(node, ast.arg) and node.annotation and _last_name(node.annotation) == "Logger":
            yield node.arg
    created = sum(isinstance(node, ast.Call) and _is_logger(node) for node in ast.walk(tree))
    if created != bound:
        raise ValueError(f"{module}: a logger is not bound to a name")


def _is_logger(value: ast.expr | None) -> bool:
    return isinstance(value, ast.Call) and _last_name(value.func) == "getLogger"


def _last_name(node: ast.expr) -> str:
    """Return `c` for `a.b.c` and for `c`, and an empty text for any other expression."""
    if isinstance(node, ast.Attribute):
        return node.attr
    return node.id if isinstance(node, ast.Name) else ""


def _calls(tree: ast.AST, function: Function | None = None) -> Iterator[tuple[ast.Call, Function | None]]:
    """Yield every call, with the innermost function that contains it."""
    for node in ast.iter_child_nodes(tree):
        if isinstance(node, ast.Call):
            yield node, function
        yield from _calls(node, node if isinstance(node, Function) else function)


def _argument(module: str, call: ast.Call, position: int) -> ast.expr:
    if len(call.args) <= position:
        raise ValueError(f"{module}:{call.lineno}: log call has no message")
    return call.args[position]


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
    """Yield the dictionaries that the expression can evaluate to: itself, or those bound to its name."""
    if isinstance(node, ast.Dict):
        yield node
        return
    for value in _bound_values(node, scopes):
        yield from _dictionaries(value, scopes)


def _as_log_function(log_call: _LogCall, tree: ast.Module) -> _LogFunction | None:
    """Return the function that makes this call, if the message is one of its parameters."""
    function = log_call.function
    if function is None or not isinstance(log_call.text, ast.Name):
        return None
    names = [arg.arg for arg in (*function.args.posonlyargs, *function.args.args, *function.args.kwonlyargs)]
    if log_call.text.id not in names:
        return None
    positional = [name for name in names if name not in ("self", "cls")]
    return _LogFunction(
        function.name,
        log_call.level,
        log_call.text.id,
        positional.index(log_call.text.id),
        _field_names(log_call, tree),
    )


def _log_function_calls(
    tree: ast.Module, log_functions: Iterable[_LogFunction]
) -> Iterator[tuple[_LogCall, frozenset[str]]]:
    by_name = {log_function.name: log_function for log_function in log_functions}
    for call, function in _calls(tree):
        log_function = by_name.get(_last_name(call.func))
        if log_function is None:
            continue
        named = [keyword.value for keyword in call.keywords if keyword.arg == log_function.parameter]
        text = named[0] if named else call.args[log_function.position]
        yield _LogCall(call, log_function.level, text, function), log_function.fields


def _messages(module: str, tree: ast.Module, log_call: _LogCall, fields: frozenset[str]) -> set[LogMessage]:
    texts = set(_texts(log_call.text, _scopes(log_call, tree)))
    return {LogMessage(text, log_call.level, module, fields) for text in texts}


def _scopes(log_call: _LogCall, tree: ast.Module) -> Sequence[ast.AST]:
    return [tree] if log_call.function is None else [log_call.function, tree]


def _texts(node: ast.expr, scopes: Sequence[ast.AST]) -> Iterator[str]:
    """Yield the texts that the expression can evaluate to: constants, also by conditions and bound names."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        yield node.value
    elif isinstance(node, ast.IfExp):
        yield from _texts(node.body, scopes)
        yield from _texts(node.orelse, scopes)
    else:
        for value in _bound_values(node, scopes):
            yield from _texts(value, scopes)


def _bound_values(node: ast.expr, scopes: Sequence[ast.AST]) -> list[ast.expr]:
    """Return the values bound to a name in the first scope that binds it."""
    values = next((bound for scope in scopes if (bound := list(_bound_to(node, scope)))), [])
    if not values:
        raise ValueError(f"line {node.lineno}: message or fields are not evident from the source")
    return values


def _bound_to(name: ast.expr, scope: ast.AST) -> Iterator[ast.expr]:
    """Yield every value that the scope assigns to the name, and nothing for any other expression."""
    if not isinstance(name, ast.Name):
        return
    for node in ast.walk(scope):
        if isinstance(node, ast.Assign):
            for target in node.targets:
                if isinstance(target, ast.Name) and target.id == name.id:
                    yield node.value
