"""A small replicated map of settings and endpoints: one writer, any number of followers, no election.

`store` holds the map, `persister` its file, `cached_endpoints` what an instance keeps in it. Replication is
`writer_machine` and `follower_machine` (state machines without I/O), `replication_codec` (their messages on
the wire) and `follower` (the task that keeps a connection). `staleness_guard` tells a follower whether it may
act on its copy; `setup` reads the configuration; `errors` has the exceptions, under StoreError.
"""
