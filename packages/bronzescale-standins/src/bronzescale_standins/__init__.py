"""Stand-ins for databases and platform, the demo fleet and the load tool."""
