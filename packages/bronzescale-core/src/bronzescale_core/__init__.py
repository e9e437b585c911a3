"""Decision logic of the bronzescale proxy, without any I/O.

Callers pass the time as ``now_ms`` and randomness as a callable. Events go in and typed
actions come out, so that a recorded trace can be replayed through the released code.
"""
