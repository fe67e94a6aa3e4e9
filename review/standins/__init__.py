"""Stand-ins for the review's cases: bricks, discovery, clients and the platform, on loopback addresses."""
