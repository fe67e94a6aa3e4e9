"""Fail when the files that decide (`policy` in the deploy file) pass their bound on non-blank lines."""

import sys
import tomllib
from pathlib import Path

MAX_NON_BLANK_LINES = 490


def main() -> int:
    """Print the count of each policy file and of all; return 1 when all together pass the bound."""
    root = Path(__file__).resolve().parent.parent
    deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
    total = 0
    for name in deploy["policy"]:
        count = sum(1 for line in (root / name).read_text().splitlines() if line.strip())
        print(f"{name}: {count} non-blank lines")
        total += count
    print(f"policy files together: {total} of {MAX_NON_BLANK_LINES} non-blank lines")
    return 0 if total <= MAX_NON_BLANK_LINES else 1


if __name__ == "__main__":
    sys.exit(main())
