"""Command line of bronzescale for operators."""
