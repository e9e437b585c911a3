"""The bronzescale proxy; each process runs the core on one thread and event loop."""
