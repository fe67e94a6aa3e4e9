"""9P2000 and 9P2000.L: the server side for clients and the client side for file servers."""
