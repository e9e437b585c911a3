"""Build, start and stop the components of one proxy process (composition root)."""

import json
import logging
import secrets
from contextlib import AsyncExitStack

import anyio
import httpx

from bronzescale_core.membership import Membership
from bronzescale_core.rendezvous import Node
from bronzescale_core.transaction_ids import TransactionIds
from bronzescale_proxy import wire
from bronzescale_proxy.admin import AdminServer
from bronzescale_proxy.callers import (
    SERVING_GRACE_SHARE,
    STOP_POLL_INTERVAL_S,
    CallerServer,
)
from bronzescale_proxy.clock import wall_ms
from bronzescale_proxy.dispatch import Dispatcher
from bronzescale_proxy.dissemination import Disseminator
from bronzescale_proxy.metrics import build_metrics
from bronzescale_proxy.node import NodeRuntime
from bronzescale_proxy.peers import PeerClient, PeerServer
from bronzescale_proxy.serving import PeerService
from bronzescale_proxy.store import PlatformStore
from bronzescale_proxy.traces import TraceWriter

logger = logging.getLogger("bronzescale.process")

# Time for the other nodes to learn that this node leaves and to take over its
# databases.
HANDOVER_WAIT_S = 1.0


class Application:
    """One proxy process.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, settings):
        self.settings = settings
        self.metrics = build_metrics(settings)
        self.store = None
        self.node = None
        self.disseminator = None
        self.dispatcher = None
        self.callers = None
        self.peer_port = 0
        self.admin_port = 0
        self._is_started = False
        self._stop_requested = anyio.Event()
        self.started = anyio.Event()

    def is_ready(self):
        """Return whether the load balancer may send callers to this process.

        Returns
        -------
        bool
        """
        has_declaration = self.node is not None and self.node.declaration is not None
        return (
            self._is_started and has_declaration and not self._stop_requested.is_set()
        )

    def request_stop(self):
        """Request a graceful stop."""
        self._stop_requested.set()

    async def run(self):
        """Run until a stop is requested, then stop gracefully."""
        async with AsyncExitStack() as stack, anyio.create_task_group() as tasks:
            peer_listener = await self._listen("peer", stack)
            admin_listener = await self._listen("admin", stack)
            await self._build_components(stack, tasks)
            service = PeerService(self.node, self.disseminator)
            peer_server = PeerServer(
                service,
                self._hello,
                self.metrics.count_frame,
            )
            tasks.start_soon(peer_listener.serve, peer_server.serve_stream)
            tasks.start_soon(admin_listener.serve, AdminServer(self).serve_stream)
            tasks.start_soon(self.node.run)
            await self.disseminator.fetch_initial_objects()
            tasks.start_soon(self.disseminator.run)
            await self.callers.start()
            self._is_started = True
            self._report_started()
            self.started.set()
            await self._stop_requested.wait()
            with anyio.move_on_after(self.settings.stop_grace_ms / 1_000):
                await self._stop(peer_server, service)
                await peer_server.drain(service.find_refusal)
                logger.info("process: stopped.")
            tasks.cancel_scope.cancel()

    def _hello(self):
        own = self.node.membership.own
        return wire.Hello(own.name, own.incarnation)

    async def _listen(self, name, stack):
        host = getattr(self.settings, f"{name}_host")
        port = getattr(self.settings, f"{name}_port")
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        stack.push_async_callback(_close_shielded, listener)
        bound = listener.extra(anyio.abc.SocketAttribute.local_port)
        setattr(self, f"{name}_port", bound)
        return listener

    async def _build_components(self, stack, tasks):
        settings = self.settings
        client = httpx.AsyncClient(base_url=settings.platform_url, trust_env=False)
        stack.push_async_callback(_close_shielded, client)
        self.store = PlatformStore(client)
        own = Node(
            settings.node,
            f"{settings.peer_host}:{self.peer_port}",
            settings.zone,
            settings.region,
            wall_ms(),
            f"{settings.admin_host}:{self.admin_port}",
        )
        peers = PeerClient(tasks, self.metrics.count_frame)
        trace = TraceWriter(self._open_trace(stack), settings.node)
        self.node = NodeRuntime(
            settings,
            Membership(own),
            self.store,
            peers,
            self.metrics,
            trace,
            TransactionIds(secrets.randbits),
        )
        self.disseminator = Disseminator(self.node)
        self.dispatcher = Dispatcher(self.node, self.metrics)
        self.callers = CallerServer(self.node, self.dispatcher, settings, self.metrics)
        stack.callback(self.callers.abort)

    def _open_trace(self, stack):
        if not self.settings.trace_path:
            return None
        return stack.enter_context(open(self.settings.trace_path, "a"))

    def _report_started(self):
        settings = self.settings
        line = {
            "ready": True,
            "node": settings.node,
            "callers": f"{settings.caller_host}:{self.callers.port}",
            "peers": f"{settings.peer_host}:{self.peer_port}",
            "admin": f"{settings.admin_host}:{self.admin_port}",
        }
        print(json.dumps(line), flush=True)
        logger.info("process: started in zone %s.", settings.zone)

    async def _stop(self, peer_server, service):
        """Refuse new callers, hand over ownership and wait for statements in flight."""
        logger.info("process: stopping; waiting for statements in flight.")
        self.node.membership.leave()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._end_peer_transactions, peer_server, service)
            await self.callers.stop()
            await anyio.sleep(HANDOVER_WAIT_S)
            while any(not owner.is_idle for owner in self.node.owners()):
                await anyio.sleep(STOP_POLL_INTERVAL_S)
            tasks.cancel_scope.cancel()

    async def _end_peer_transactions(self, peer_server, service):
        """Roll back what other nodes hold open here once their time is over."""
        await anyio.sleep(self.settings.stop_grace_ms / 1_000 * SERVING_GRACE_SHARE)
        peer_server.refuse(service.find_refusal)
        while True:
            for owner in self.node.owners():
                owner.end_unused_transactions()
            await anyio.sleep(STOP_POLL_INTERVAL_S)


async def _close_shielded(resource):
    """Close a resource even while its task is being cancelled."""
    with anyio.CancelScope(shield=True):
        await resource.aclose()
