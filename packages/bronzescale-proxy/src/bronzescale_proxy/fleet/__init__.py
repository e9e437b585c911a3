"""Serve callers of a line protocol over pooled upstream connections."""
