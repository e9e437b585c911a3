"""Simulated databases and platform, demo deployment, and benchmark and load tools."""
