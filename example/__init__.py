"""An example setup of the load balancer: emulated servers and an example client."""
