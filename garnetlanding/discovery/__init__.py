"""The endpoint list over HTTP/1.1: its JSON, the parser of a watch, and the client that follows changes."""
