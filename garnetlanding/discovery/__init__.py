"""The endpoint list over HTTP/1.1: its JSON format, the parser of a watch, and the client that follows it."""
