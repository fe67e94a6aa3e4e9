"""Conformance suite of 9P: checks case by case that a server, or an instance before one, keeps the protocol.

`cases/` has the cases, which `registry` knows by name; `suite` runs them, each on a connection of its own;
`report` is what the command line calls. A case is written with `client` (files and sessions), which is built
on `connection` (messages, tags and replies) over a `transport`. `errors` has the exceptions, under
ConformanceError; `descriptions` has the texts of protocol values as results show them.
"""
