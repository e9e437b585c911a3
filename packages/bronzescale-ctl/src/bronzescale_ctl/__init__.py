"""Command line for operators of bronzescale."""
