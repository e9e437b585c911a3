"""Proxy for a line protocol that serves callers over pooled upstream connections."""
