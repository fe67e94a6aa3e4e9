"""The protocols between the instances of a fleet: short UDP datagrams, where the settings allow them."""
