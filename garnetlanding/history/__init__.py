"""What a head took, sent, answered and believed, line by line in a file: for experiments, not for service."""
