"""Decisions of the bronzescale proxy, without input or output.

Time comes in as ``now_ms`` and randomness as a callable. Events go in, typed
actions come out, so that a recorded trace replays through the code that ships.
"""
