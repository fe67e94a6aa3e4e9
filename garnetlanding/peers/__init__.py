"""What the instances of a fleet exchange where the settings allow it: short datagrams over UDP."""
