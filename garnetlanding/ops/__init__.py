"""Where operators call: one HTTP/1.1 call a connection, what it asks, and what stays on disk of it."""
