"""Answer what other nodes of the fleet ask of this one."""

from functools import singledispatchmethod

from bronzescale_core.work import Outcome, Reach, Work, WorkAnswer
from bronzescale_proxy import wire


class FleetService:
    """Handler of the messages that open a request.

    Parameters
    ----------
    node : FleetNode
        What this node knows.
    disseminator : Disseminator
        Takes objects and heartbeats.
    """

    def __init__(self, node, disseminator):
        self._node = node
        self._disseminator = disseminator

    async def __call__(self, message, channel):
        """Answer one message."""
        await self._answer(message, channel)

    @singledispatchmethod
    async def _answer(self, message, channel):
        name = type(message).__name__
        text = f"{name} is not understood by this release; upgrade it"
        await channel.send(WorkAnswer(Outcome.BUSY, Reach.NOT_SENT, text))

    @_answer.register
    async def _(self, message: Work, channel):
        owner = self._node.owner(message.upstream)
        if owner is None:
            text = f"{message.upstream} is not known to {self._node.settings.node}"
            await channel.send(
                WorkAnswer(Outcome.BUSY, Reach.NOT_SENT, text, is_unreachable=True)
            )
            return
        opener = channel.connection
        callback = _EndTransactions(self._node, owner, opener)
        if callback not in opener.closed_callbacks:
            opener.closed_callbacks.append(callback)
        await channel.send(await owner.execute(message, opener))

    @_answer.register
    async def _(self, message: wire.EndTransaction, channel):
        owner = self._node.owner(message.upstream)
        if owner is not None:
            await owner.roll_back(message.transaction_id)

    @_answer.register
    async def _(self, message: wire.HeadRequest, channel):
        if not message.service:
            # A question without a service only asks for a sign of life.
            await channel.send(wire.HeadReply(None, ""))
            return
        monitor = self._node.primary_monitor(message.service)
        head = await monitor.fresh_head(message.deadline_ms)
        reason = "" if head is not None else "no primary is proven to lead"
        await channel.send(wire.HeadReply(head, reason))

    @_answer.register
    async def _(self, message: wire.EvidenceRequest, channel):
        settings = self._node.settings
        verdict = await self._node.primary_monitor(message.service).probe_now()
        await channel.send(
            wire.EvidenceReply(
                settings.node, settings.zone, message.term, verdict.value
            )
        )

    @_answer.register
    async def _(self, message: wire.Heartbeat, channel):
        await self._disseminator.answer_heartbeat(message, channel)

    @_answer.register
    async def _(self, message: wire.ObjectsRequest, channel):
        await channel.send(self._disseminator.answer_objects(message))

    @_answer.register
    async def _(self, message: wire.Objects, channel):
        self._disseminator.apply_objects(message)


class _EndTransactions:
    """Roll back an opener's transactions when its connection ends."""

    def __init__(self, node, owner, opener):
        self._node = node
        self._owner = owner
        self._opener = opener

    def __eq__(self, other):
        return isinstance(other, _EndTransactions) and (
            self._owner is other._owner and self._opener is other._opener
        )

    def __hash__(self):
        return hash((id(self._owner), id(self._opener)))

    def __call__(self):
        for number in self._owner.transactions_of(self._opener):
            self._node.tasks.start_soon(self._owner.roll_back, number)
