"""The test cases, one module for each subject: each function decorated with `case` is a case of its name."""
