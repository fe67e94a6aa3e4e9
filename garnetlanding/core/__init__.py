"""The request engine: requests, their attempts, and the actions of the decision module. Knows no protocol."""
