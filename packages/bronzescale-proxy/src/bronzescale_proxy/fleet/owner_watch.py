"""Notice that an owner hangs while a statement waits for its answer."""

import asyncio

import anyio

# An owner that has not answered by then is pinged, so that a read leaves an owner that
# hangs well before its deadline.
OWNER_PING_DELAY_S = 0.3


class OwnerWatch:
    """Ping an owner that has not answered in time; give up on it if it is silent.

    A timer of the event loop costs far less than a task for each relayed statement.

    Parameters
    ----------
    node : FleetNode
        Shared state of this node.
    owner : Node
        The owner.
    may_give_up : bool
        Whether the statement may leave an owner that hangs. A write waits until its
        timeout, since its answer may still come and it must not run elsewhere.
    """

    def __init__(self, node, owner, may_give_up):
        self._node = node
        self._owner = owner
        self._may_give_up = may_give_up
        self._scope = anyio.CancelScope()
        self._timer = None
        self._is_over = False

    def __enter__(self):
        self._scope.__enter__()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(OWNER_PING_DELAY_S, self._start_ping)
        return self

    def __exit__(self, *error):
        self._is_over = True
        self._timer.cancel()
        return self._scope.__exit__(*error)

    def _start_ping(self):
        self._node.tasks.start_soon(self._ping)

    async def _ping(self):
        is_alive = self._is_over or await self._node.ping(self._owner)
        if is_alive or self._is_over:
            return
        self._node.mark_suspect(self._owner)
        if self._may_give_up:
            self._scope.cancel()
