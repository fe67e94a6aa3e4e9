"""What an instance accepted, sent, answered and had in force, line by line; not for service."""
