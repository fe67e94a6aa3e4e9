"""Stand-ins for the cases of this review: bricks, discovery, file servers, clients and the platform."""
