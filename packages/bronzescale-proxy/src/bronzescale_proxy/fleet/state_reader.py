"""Read the states of groups from the store, through a peer if need be."""

import anyio

from bronzescale_core.rendezvous import rank_nodes
from bronzescale_core.store_paths import DIRECT, StorePaths
from bronzescale_proxy import wire
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import (
    PeerUnavailableError,
    StoreError,
    StoreUnavailableError,
)

# Several round trips to another region; later, the answer renews no lease.
PEER_TIMEOUT_S = 0.35
# Peers that are considered; those that failed lately come last among them.
MAX_RANKED_PEERS = 12


class _Attempts:
    """Attempts of one read; the first answer ends the others."""

    def __init__(self):
        self.answers = []
        self.errors = []
        self.unanswered = []


class StateReader:
    """Read the states of groups for one node.

    Parameters
    ----------
    node : FleetNode
        Shared state of this node.
    kind : str
        Kind of the objects that hold the states.
    """

    def __init__(self, node, kind):
        self._node = node
        self._kind = kind
        self._paths = StorePaths()
        self._peers = (None, {})

    async def read(self, service):
        """Return the current object of a service's group, or None if there is none.

        Every path asks the store itself, so the answer is as new as the request.

        Raises
        ------
        StoreUnavailableError
            If no path led to an answer.
        """
        attempts = _Attempts()
        peers = self._ranked_peers()
        paths = self._paths.order(list(peers), now_ms())
        async with anyio.create_task_group() as tasks:
            for path in paths:
                ended = anyio.Event()
                attempts.unanswered.append(path)
                tasks.start_soon(
                    self._attempt, service, path, peers, attempts, ended, tasks
                )
                with anyio.move_on_after(self._paths.hedge_ms() / 1_000):
                    await ended.wait()
        if not attempts.answers:
            raise StoreUnavailableError("; ".join(attempts.errors))
        return attempts.answers[0]

    async def read_here(self, service):
        """Answer a peer that reads through this node; ask the store directly.

        Returns
        -------
        StateReply
        """
        try:
            item = await self._node.store.get(self._kind, service)
        except StoreError as error:
            return wire.StateReply(False, None, self._node.store.era.number, str(error))
        return wire.StateReply(True, item, self._node.store.era.number, "")

    def _ranked_peers(self):
        """Return the live peers by name, most suitable first.

        Each node ranks them differently, which spreads the reads of many nodes.
        """
        settings = self._node.settings
        membership = self._node.membership
        version, known = self._peers
        if version != membership.version:
            peers = [n for n in membership.live_nodes() if n.name != settings.node]
            ranked = rank_nodes(
                f"store-path/{settings.node}",
                peers,
                region=settings.region,
                limit=MAX_RANKED_PEERS,
            )
            known = {node.name: node for node in ranked}
            self._peers = membership.version, known
        return known

    async def _attempt(self, service, path, peers, attempts, ended, tasks):
        started_ms = now_ms()
        try:
            if path == DIRECT:
                item = await self._node.store.get(self._kind, service)
            else:
                item = await self._ask(peers[path], service)
        except (StoreError, PeerUnavailableError) as error:
            attempts.errors.append(str(error))
            attempts.unanswered.remove(path)
            self._paths.record_failure(path, now_ms())
            ended.set()
            return
        attempts.unanswered.remove(path)
        attempts.answers.append(item)
        self._paths.record_answer(path, now_ms() - started_ms)
        for silent in attempts.unanswered:
            self._paths.record_failure(silent, now_ms())
        if path != DIRECT:
            self._node.metrics.count_relayed_read()
        tasks.cancel_scope.cancel()

    async def _ask(self, peer, service):
        """Return the object as a peer reads it from the store now."""
        request = wire.StateRequest(service)
        reply = await self._node.peers.request(peer, request, PEER_TIMEOUT_S)
        if not isinstance(reply, wire.StateReply):
            raise StoreUnavailableError(
                f"{peer.name} reads no state for others; upgrade it"
            )
        self._node.store.era.learn(reply.era)
        if not reply.is_read:
            raise StoreUnavailableError(f"through {peer.name}: {reply.reason}")
        return reply.item
