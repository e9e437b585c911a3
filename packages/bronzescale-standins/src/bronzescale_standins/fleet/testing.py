"""What tests of a running fleet share."""

import anyio


def in_loop(function):
    """Run an asynchronous test method in an event loop of its own."""

    def run(self):
        anyio.run(function, self)

    run.__name__ = function.__name__
    run.__doc__ = function.__doc__
    return run


def primary_of(world):
    """Return the stand-in database that leads."""
    return world.group.primary()


def is_replaced(world):
    """Return whether another database than the first one leads."""
    primary = world.group.primary()
    return primary is not None and primary.instance != "d1"
