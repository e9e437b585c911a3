"""Wait for the answers of reads whose callers have gone elsewhere.

A database goes on with a read that its owner has given up. Closing the connection would
not stop it, and would cost a new connection, which takes a slot of the database for
longer than many statements. So the connection stays open for its answer, and the slot
stays taken for about as long as a read was waited for. Without this, an overloaded
database is sent a new read for each that it has not finished.
"""

import anyio

from bronzescale_proxy.exceptions import UpstreamUnavailableError

# A database drops a connection whose other end is unreachable after 3 s.
DRAIN_TIMEOUT_S = 2.0
# Then the answer counts as lost. Longer, and a database that hangs would keep reads
# in its queue that another could serve.
SLOT_TIMEOUT_S = 0.4


class AbandonedReads:
    """Reads of one database that still run there though nobody waits for them.

    Parameters
    ----------
    pool : ConnectionPool
        Gets the connections back.
    node : FleetNode
        Shared state of this node.
    """

    def __init__(self, pool, node):
        self._pool = pool
        self._node = node
        self._connections = {}

    def add(self, key, connection):
        """Take over a connection whose answer nobody waits for.

        Parameters
        ----------
        key : int
            Identifies the read until `hold_slot` is called for it.
        connection : UpstreamConnection
            The connection; it is released to the pool after its answer.
        """
        self._connections[key] = connection

    def hold_slot(self, key, release):
        """Release a read's slot after its answer, if its answer is still awaited.

        Parameters
        ----------
        key : int
            Identifies the read.
        release : callable
            Releases its slot; called once, at the latest after `SLOT_TIMEOUT_S`.

        Returns
        -------
        bool
            Whether the slot is held; if not, the caller releases it.
        """
        connection = self._connections.pop(key, None)
        if connection is None:
            return False
        self._node.tasks.start_soon(self._drain, connection, release)
        return True

    async def _drain(self, connection, release):
        try:
            try:
                with anyio.move_on_after(SLOT_TIMEOUT_S):
                    await connection.drain()
            finally:
                release()
            if connection.can_drain:
                with anyio.move_on_after(DRAIN_TIMEOUT_S - SLOT_TIMEOUT_S):
                    await connection.drain()
        except UpstreamUnavailableError as error:
            self._node.log.log_decision("abandoned_read_lost", reason=str(error))
        finally:
            self._pool.release(connection)
