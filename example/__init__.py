"""An example to try the load balancer with: emulated servers, and a toy client."""
