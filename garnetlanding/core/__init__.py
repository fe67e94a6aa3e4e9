"""The request engine: tracks requests and their attempts and carries out the decision module's actions.

It knows no protocol, and does no I/O.
"""
