"""Stand-ins for what the fleet serves: databases, store, callers, links."""
