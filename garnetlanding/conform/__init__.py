"""9P conformance suite: tests that a server, or an instance in front of one, follows the protocol.

`cases/` holds the test cases, which `registry` indexes by name; `suite` runs each on its own connection;
`report` is the entry point of the command line. Cases use `client` (sessions and files), which is built on
`connection` (messages, tags and replies) over a `transport`. `errors` defines the exceptions, all derived
from ConformanceError; `descriptions` formats protocol values for the results.
"""
