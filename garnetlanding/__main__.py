"""Entry point of `python -m garnetlanding`."""

import sys

if sys.argv[1:2] == ["serve"]:
    # Before any other import: a signal that arrives during the imports is handled once the instance runs.
    from garnetlanding.runtime.signals import block_handled_signals

    block_handled_signals()

from garnetlanding.cli import main

sys.exit(main())
