"""Fault-injection experiments on many processes of the program. No module of an instance imports this."""
