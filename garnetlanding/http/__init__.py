"""HTTP/1.1 (RFC 9112) without I/O: parsers of responses to this process and of operators' requests.

As in h11, the parsers neither read nor write: the owner of the connection feeds them received bytes and acts
on the result.
"""
