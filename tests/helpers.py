"""Old import names of the tests' set-up, for test files that are being changed now; see tests/support/."""

from tests.support.clock import MS, SECOND, T0
from tests.support.decision_bench import GOLD, READ, TIN, WRITE
from tests.support.decision_bench import DecisionBench as Bench
from tests.support.decision_bench import make_settings as settings
from tests.support.decision_bench import sent_requests as names
from tests.support.decision_bench import up_endpoint as up
from tests.support.ninep_instance import FILE_TREE as TREE
from tests.support.ninep_instance import GLOSSARY
from tests.support.ninep_instance import NinepClient as Tool
from tests.support.ninep_instance import NinepInstance as NineWorld
from tests.support.ninep_instance import SimulatedWire as WorldWire
from tests.support.ninep_instance import error_text as error
from tests.support.ninep_instance import received_messages as heard
from tests.support.ninep_instance import run_beside as beside
from tests.support.simulated_instance import CheckedBackend, read_command
from tests.support.simulated_instance import CheckedRequestEngine as CheckedCore
from tests.support.simulated_instance import FakeRequestEngine as FakeCore
from tests.support.simulated_instance import LoopbackClient as Peer
from tests.support.simulated_instance import SimulatedInstance as World

__all__ = [
    "GLOSSARY",
    "GOLD",
    "MS",
    "READ",
    "SECOND",
    "T0",
    "TIN",
    "TREE",
    "WRITE",
    "Bench",
    "CheckedBackend",
    "CheckedCore",
    "FakeCore",
    "NineWorld",
    "Peer",
    "Tool",
    "World",
    "WorldWire",
    "beside",
    "error",
    "heard",
    "names",
    "read_command",
    "settings",
    "up",
]
