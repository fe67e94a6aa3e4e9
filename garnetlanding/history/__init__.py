"""The history of an instance: a file of what it did and when, which experiments check. Not for production."""
