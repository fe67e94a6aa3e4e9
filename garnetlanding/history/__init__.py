"""An instance's history: a file of timestamped events, which experiments check. Not for production."""
