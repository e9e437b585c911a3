"""Stand-ins for the surroundings of a fleet: databases, object store and callers."""
