"""Handle requests from other nodes."""

import logging
from functools import singledispatchmethod

from bronzescale_core.exceptions import StatementError
from bronzescale_core.outcomes import Progress
from bronzescale_core.statements import StatementRequest
from bronzescale_proxy import wire
from bronzescale_proxy.dispatch import answer_head, dump_failure
from bronzescale_proxy.exceptions import AttemptFailedError

logger = logging.getLogger("bronzescale.serving")


class PeerService:
    """Handler for messages that open a request.

    Parameters
    ----------
    node : NodeRuntime
        Runtime state of this node.
    disseminator : Disseminator
        Handles heartbeats and objects.
    """

    def __init__(self, node, disseminator):
        self._node = node
        self._disseminator = disseminator

    def find_refusal(self, message):
        """Return the answer that refuses a message while this node stops, or None.

        A statement outside of a transaction runs at another node; the transactions of
        this node are rolled back.
        """
        if not isinstance(message, StatementRequest):
            return None
        text = f"{self._node.settings.node} is stopping"
        return wire.FailureReport("failed", text, progress=Progress.NOT_SENT.value)

    async def __call__(self, message, channel):
        """Handle one message.

        Parameters
        ----------
        message : NamedTuple
            The message.
        channel : PeerChannel
            Channel to send the answer to.
        """
        await self._handle(message, channel)

    @singledispatchmethod
    async def _handle(self, message, channel):
        name = type(message).__name__
        text = f"{name} is not understood by this release; upgrade it"
        report = wire.FailureReport("failed", text, progress=Progress.NOT_SENT.value)
        await channel.send(report)

    @_handle.register
    async def _(self, message: StatementRequest, channel):
        owner = self._node.owner(message.service, message.upstream)
        try:
            if owner is None:
                text = f"{message.upstream} is not known to {self._node.settings.node}"
                raise AttemptFailedError(Progress.NOT_SENT, text)
            connection = channel.connection
            self._end_transactions_on_close(connection, owner)
            await owner.execute(message, channel.send_part, connection)
        except (AttemptFailedError, StatementError) as error:
            await channel.send(dump_failure(error))

    def _end_transactions_on_close(self, connection, owner):
        """Roll back the transactions opened over a connection when it ends."""
        callbacks = connection.closed_callbacks
        if not any(getattr(each, "owner", None) is owner for each in callbacks):
            callbacks.append(_EndTransactions(owner, connection))

    @_handle.register
    async def _(self, message: wire.EndTransaction, channel):
        for owner in self._node.owners():
            if owner.upstream.name == message.upstream:
                owner.end_transaction(message.transaction_id)

    @_handle.register
    async def _(self, message: wire.HeadRequest, channel):
        await channel.send(await answer_head(self._node, message))

    @_handle.register
    async def _(self, message: wire.EvidenceRequest, channel):
        group = self._node.group(message.service)
        verdict = "" if group is None else group.evidence(message.term).value
        settings = self._node.settings
        await channel.send(
            wire.EvidenceReply(settings.node, settings.zone, message.term, verdict)
        )

    @_handle.register
    async def _(self, message: wire.Heartbeat, channel):
        await self._disseminator.answer_heartbeat(message, channel)

    @_handle.register
    async def _(self, message: wire.ObjectsRequest, channel):
        await channel.send(self._disseminator.answer_objects(message))

    @_handle.register
    async def _(self, message: wire.Objects, channel):
        self._disseminator.apply_objects(
            message.objects, message.since, message.revision
        )


class _EndTransactions:
    """Callback that rolls back a peer's open transactions."""

    def __init__(self, owner, connection):
        self.owner = owner
        self._connection = connection

    def __call__(self):
        self.owner.end_transactions_of(self._connection)
