"""Answer the requests of other nodes of the fleet."""

from functools import singledispatchmethod

from bronzescale_core.work import Outcome, Reach, Work, WorkAnswer
from bronzescale_proxy import wire


class FleetService:
    """Handle the first message of each request from a peer.

    Parameters
    ----------
    node : FleetNode
        Shared state of this node.
    disseminator : Disseminator
        Handles objects and heartbeats.
    """

    def __init__(self, node, disseminator):
        self._node = node
        self._disseminator = disseminator

    def find_refusal(self, message):
        """Return the answer that refuses a message while this node stops, or None.

        A statement outside of a transaction runs at another node; the transactions of
        this node are rolled back.
        """
        if not isinstance(message, Work):
            return None
        text = f"{self._node.settings.node} is stopping"
        if message.transaction_id:
            return WorkAnswer(Outcome.ABORTED, Reach.NOT_SENT, text)
        return WorkAnswer(Outcome.BUSY, Reach.NOT_SENT, text, is_unreachable=True)

    async def __call__(self, message, channel):
        """Answer one message."""
        await self._handle(message, channel)

    @singledispatchmethod
    async def _handle(self, message, channel):
        name = type(message).__name__
        text = f"{name} is not understood by this release; upgrade it"
        await channel.send(WorkAnswer(Outcome.BUSY, Reach.NOT_SENT, text))

    @_handle.register
    async def _(self, message: Work, channel):
        owner = self._node.owner(message.upstream)
        if owner is None:
            text = f"{message.upstream} is not known to {self._node.settings.node}"
            await channel.send(
                WorkAnswer(Outcome.BUSY, Reach.NOT_SENT, text, is_unreachable=True)
            )
            return
        connection = channel.connection
        callback = _RollBackTransactions(self._node, owner, connection)
        if callback not in connection.closed_callbacks:
            connection.closed_callbacks.append(callback)
        await channel.send(await owner.execute(message, connection))

    @_handle.register
    async def _(self, message: wire.EndTransaction, channel):
        owner = self._node.owner(message.upstream)
        if owner is not None:
            await owner.roll_back(message.transaction_id)

    @_handle.register
    async def _(self, message: wire.HeadRequest, channel):
        if not message.service:
            # A request without a service is a ping.
            await channel.send(wire.HeadReply(None, ""))
            return
        monitor = self._node.primary_monitor(message.service)
        head = await monitor.fresh_head(message.deadline_ms)
        reason = "" if head is not None else "no primary is proven to lead"
        await channel.send(wire.HeadReply(head, reason))

    @_handle.register
    async def _(self, message: wire.EvidenceRequest, channel):
        settings = self._node.settings
        verdict = await self._node.primary_monitor(message.service).probe_now()
        await channel.send(
            wire.EvidenceReply(
                settings.node, settings.zone, message.term, verdict.value
            )
        )

    @_handle.register
    async def _(self, message: wire.StateRequest, channel):
        await channel.send(await self._node.state_reader.read_here(message.service))

    @_handle.register
    async def _(self, message: wire.Heartbeat, channel):
        await self._disseminator.answer_heartbeat(message, channel)

    @_handle.register
    async def _(self, message: wire.PermitRequest, channel):
        await channel.send(await self._node.allowances.lessor.answer(message))

    @_handle.register
    async def _(self, message: wire.ObjectsRequest, channel):
        await channel.send(self._disseminator.answer_objects(message))

    @_handle.register
    async def _(self, message: wire.Objects, channel):
        self._disseminator.apply_objects(message)


class _RollBackTransactions:
    """Roll back the transactions of a peer connection when the connection closes.

    Instances with the same owner and connection are equal, so that a connection gets
    only one callback for each owner.
    """

    def __init__(self, node, owner, connection):
        self._node = node
        self._owner = owner
        self._connection = connection

    def __eq__(self, other):
        return isinstance(other, _RollBackTransactions) and (
            self._owner is other._owner and self._connection is other._connection
        )

    def __hash__(self):
        return hash((id(self._owner), id(self._connection)))

    def __call__(self):
        for transaction_id in self._owner.transactions_of(self._connection):
            self._node.tasks.start_soon(self._owner.roll_back, transaction_id)
