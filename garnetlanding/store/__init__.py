"""A small replicated key-value map of settings and endpoints: one writer, any number of followers.

There is no leader election: the operators configure the writer. `store` holds the map, `persister` its file
and `cached_endpoints` the entries for the endpoint list. Replication consists of `writer_machine` and
`follower_machine` (state machines without I/O), `replication_codec` (their wire format) and `follower` (the
task that keeps a follower connected). `staleness_guard` tells a follower whether its copy is fresh enough to
act on. `setup` reads the configuration; `errors` defines the exceptions, all under StoreError.
"""
