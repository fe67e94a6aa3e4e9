"""The cases, by what they are about. Each function is one; its name is the case's."""
