"""Helpers for tests of a running fleet."""

import anyio


def in_loop(function):
    """Return a test method that runs an asynchronous one in a new event loop."""

    def run(self):
        anyio.run(function, self)

    run.__name__ = function.__name__
    run.__doc__ = function.__doc__
    return run


def primary_of(world):
    """Return the stand-in database that is the primary."""
    return world.group.primary()


def is_primary_replaced(world):
    """Return whether a database other than the first one is the primary."""
    primary = world.group.primary()
    return primary is not None and primary.instance != "d1"
