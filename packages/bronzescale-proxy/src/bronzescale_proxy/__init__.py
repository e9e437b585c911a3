"""The bronzescale proxy: one process, one loop, one thread round the core."""
