"""The request engine: tracks requests and their attempts and carries out the decision module's actions.

It is independent of protocols, and does no I/O.
"""
