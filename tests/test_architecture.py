"""The structure that docs/architecture.md describes: modules, layers, no import cycles, lazy imports."""

from __future__ import annotations

import ast
import json
import re
import subprocess
import sys
import tomllib

import pytest

from tests.support.source_modules import GRAPH, MODULES, PACKAGE, ROOT, reachable

PAGE = ROOT / "docs" / "architecture.md"

# The packages that each inner package may import; the others may import anything without a cycle.
LAYERS = {
    "decision": {"decision"},
    "core": {"core", "decision", "limits"},
}
# The actions that decide on a request.
DECIDING_ACTIONS = {"Send", "Reject", "Fail", "Cancel"}
# Not part of a running instance: emulators, experiments and the conformance suite.
OUTSIDE = {"emulator", "lab", "conform"}
OFF_BY_DEFAULT = (
    "audit",
    "choices",
    "conform",
    "emulator",
    "history",
    "lab",
    "ninep",
    "ops",
    "peers",
    "telemetry",
)


def test_imports_have_no_cycles() -> None:
    reachable_from = {name: reachable(name) for name in MODULES}
    cycles = {
        frozenset(other for other in reachable_from[name] if name in reachable_from[other])
        for name in MODULES
        if name in reachable_from[name]
    }
    assert cycles == set()


@pytest.mark.parametrize("package", LAYERS)
def test_inner_packages_import_only_permitted_layers(package: str) -> None:
    inner = [name for name in MODULES if name.split(".")[0] == package]
    assert inner
    outward = {
        (name, other) for name in inner for other in GRAPH[name] if other.split(".")[0] not in LAYERS[package]
    }
    assert not outward


def test_instance_imports_neither_emulators_nor_experiments() -> None:
    wrong = {
        (name, other)
        for name in MODULES
        for other in GRAPH[name]
        if name.split(".")[0] not in OUTSIDE | {"cli"} and other.split(".")[0] in OUTSIDE
    }
    assert not wrong


def test_subsystems_that_are_off_are_not_imported() -> None:
    program = (
        "import json, sys\n"
        "from garnetlanding import config\n"
        "from garnetlanding.daemon import Daemon\n"
        "Daemon(config.read(json.loads(sys.argv[1]))).start()\n"
        "print(*sorted({m.split('.')[1] for m in sys.modules if m.startswith('garnetlanding.')}))\n"
        "print(*sorted(m for m in sys.modules if m.startswith('garnetlanding.store.')))\n"
    )
    settings = json.loads((ROOT / "example" / "config.json").read_text())
    settings |= {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9"}
    settings.pop("ops", None)
    output = subprocess.run(
        [sys.executable, "-c", program, json.dumps(settings)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    packages, store_modules = output.splitlines()
    assert "core" in packages.split()
    assert not set(packages.split()) & set(OFF_BY_DEFAULT)
    assert not re.search(r"replica|persister|follower|staleness", store_modules)


def test_every_module_that_the_architecture_page_names_exists() -> None:
    named = set(re.findall(r"`([a-z0-9_]+(?:/[a-z0-9_]+)*\.py)`", PAGE.read_text()))
    folders = set(re.findall(r"`([a-z0-9_]+(?:/[a-z0-9_]+)*)/`", PAGE.read_text()))
    assert named, "the page names no module"
    assert not [name for name in named if not (ROOT / PACKAGE / name).is_file()]
    assert not [
        name for name in folders if not (ROOT / PACKAGE / name).is_dir() and not (ROOT / name).is_dir()
    ]


def policy_files() -> list[str]:
    """Return the files that the deployment file lists as policy files."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    names: list[str] = deploy["policy"]
    return names


def constructed_actions(source: str) -> set[str]:
    """Return the deciding actions that a module constructs, also under other imported names."""
    tree = ast.parse(source)
    names = {action: action for action in DECIDING_ACTIONS}
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom):
            names |= {alias.asname or alias.name: alias.name for alias in node.names}
    called = [node.func for node in ast.walk(tree) if isinstance(node, ast.Call)]
    found = {func.attr for func in called if isinstance(func, ast.Attribute)}
    found |= {names.get(func.id, func.id) for func in called if isinstance(func, ast.Name)}
    return found & DECIDING_ACTIONS


def test_every_policy_file_documents_what_it_decides() -> None:
    for name in policy_files():
        docstring = ast.get_docstring(ast.parse((ROOT / name).read_text())) or ""
        assert docstring.startswith("Decides "), f"{name} does not say what it decides"


def test_no_module_outside_the_policy_files_decides_on_a_request() -> None:
    policy = {ROOT / name for name in policy_files()}
    found = set().union(*(constructed_actions(path.read_text()) for path in policy))
    assert found == DECIDING_ACTIONS, "the check must find the actions that the policy files construct"
    deciding = {
        name: actions
        for name, path in MODULES.items()
        if path not in policy and (actions := constructed_actions(path.read_text()))
    }
    assert deciding == {}


@pytest.mark.parametrize(
    "source",
    [
        "from garnetlanding.decision import interface as api\nx = api.Send('r', 'b')",
        "from garnetlanding.decision.interface import Reject\nx = Reject('r')",
        "from garnetlanding.decision.interface import Fail as Lost\ndef f():\n    return [Lost('r')]",
        "import garnetlanding.decision.interface\ngarnetlanding.decision.interface.Cancel('r', 0)",
    ],
    ids=["by module", "by name", "renamed", "by full name"],
)
def test_check_of_the_policy_files_finds_every_way_to_construct_an_action(source: str) -> None:
    assert len(constructed_actions(source)) == 1
