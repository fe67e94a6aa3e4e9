"""The cases, one module a subject. Each function marked with `case` is one, and its name is the case's."""
