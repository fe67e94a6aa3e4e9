"""Incremental HTTP/1.1 (RFC 9112) parsers for responses and for requests to the admin interface.

The parsers do no I/O: the owner of the connection feeds them the bytes it receives and acts on the result.
"""
