"""Stand-ins for the cases 6 to 10: bricks, discovery, clients, file servers, and the platform."""
