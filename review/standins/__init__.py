"""Stand-ins for databases, store, balancer and consumers, on the standard library."""
