"""Build, run and gracefully stop one fleet process."""

import math
import random
import secrets
import signal
from contextlib import AsyncExitStack
from typing import NamedTuple

import anyio

from bronzescale_core.membership import Membership
from bronzescale_core.rendezvous import Node
from bronzescale_core.transaction_ids import TransactionIds
from bronzescale_proxy import wire
from bronzescale_proxy.clock import now_ms, wall_ms
from bronzescale_proxy.fleet.caller_server import CallerServer
from bronzescale_proxy.fleet.customer_dump import dump_customers
from bronzescale_proxy.fleet.dispatch import Dispatcher
from bronzescale_proxy.fleet.dissemination import Disseminator
from bronzescale_proxy.fleet.node import FleetNode
from bronzescale_proxy.fleet.pages import PageServer, json_page
from bronzescale_proxy.fleet.promotion import Promoter
from bronzescale_proxy.fleet.serving import FleetService
from bronzescale_proxy.fleet.streams import bind_listener, wrap_listener
from bronzescale_proxy.fleet.supervision import SupervisedTasks, guard_handler
from bronzescale_proxy.peers import PeerClient, PeerServer

# The load balancer stops sending callers after two failed readiness checks, which are
# 1 s apart. Sessions that close earlier would be opened again at this node.
LOAD_BALANCER_NOTICE_MS = 2_300
# Share of the grace period during which statements are passed on, so that open
# transactions can end. The rest is left for the answers.
SERVING_GRACE_SHARE = 0.5
# End of the grace period, left for sending the last answers before the process is
# killed.
KILL_MARGIN_MS = 700
# Bounds how long peers and an unresponsive store delay a stop; they detect a stopped
# node by themselves.
ANNOUNCE_TIMEOUT_S = 0.5
# How often a stopping process checks whether its statements and sessions have ended.
DRAIN_POLL_INTERVAL_S = 0.05
# How long a readiness check waits for a process that is starting. The balancer checks
# only once a second, and a start takes less than this once the store answers.
READY_WAIT_S = 0.3


class Adapter(NamedTuple):
    """The platform-specific parts of a process.

    Parameters
    ----------
    codec : LineCodec
        Encodes and decodes the line protocol.
    documents : module
        Decodes the platform's documents.
    store : object
        Client of the platform's store.
    promotion_client : object
        Client of the platform's service that orders promotions.
    reload : callable
        Return the current settings.
    """

    codec: object
    documents: object
    store: object
    promotion_client: object
    reload: object


class FleetProcess:
    """One process of the fleet.

    Parameters
    ----------
    settings : FleetSettings
        Checked settings.
    adapter : Adapter
        The platform-specific parts.
    metrics : FleetMetrics
        Counters and histograms.
    log : DecisionLog
        Structured log.
    handles_signals : bool
        Whether this instance handles SIGTERM and SIGHUP.
    """

    def __init__(self, settings, adapter, metrics, log, handles_signals=True):
        self._handles_signals = handles_signals
        self._settings = settings
        self._adapter = adapter
        self._metrics = metrics
        self._log = log
        self._started_at_ms = now_ms()
        self._is_ready_logged = False
        own_node = Node(
            settings.node,
            settings.peer_address,
            settings.zone,
            settings.region,
            wall_ms(),
        )
        self._own_node = own_node
        self.node = None
        self._disseminator = None
        self._callers = None
        self._stop_requested = anyio.Event()

    def request_stop(self):
        """Ask for a graceful stop."""
        self._stop_requested.set()

    def is_ready(self):
        """Return whether the load balancer may send callers to this process."""
        is_ready = (
            self.node is not None
            and self.node.configuration is not None
            and self._disseminator.is_synchronized
            and not self._stop_requested.is_set()
        )
        if is_ready and not self._is_ready_logged:
            self._is_ready_logged = True
            self._log.log_state_change("ready", after_ms=now_ms() - self._started_at_ms)
        return is_ready

    async def run(self):
        """Run until SIGTERM, then stop gracefully."""
        settings = self._settings
        async with AsyncExitStack() as stack, anyio.create_task_group() as tasks:
            peers = PeerClient(tasks, self._metrics.count_frame)
            self.node = FleetNode(
                settings,
                Membership(self._own_node),
                self._adapter.store,
                peers,
                self._adapter.codec,
                self._adapter.documents,
                self._metrics,
                self._log,
                TransactionIds(secrets.randbits),
            )
            source = random.Random(f"{settings.node}:{wall_ms()}")
            self._disseminator = Disseminator(self.node, source)
            self.node.new_service_listeners.append(
                lambda service: self.node.tasks.keep_running(
                    Promoter(self.node, self._adapter.promotion_client, service).run
                )
            )
            self.node.allowances.lessor.fetch_configuration = (
                self._disseminator.fetch_configuration
            )
            self._callers = CallerServer(self.node, Dispatcher(self.node, source))
            service = FleetService(self.node, self._disseminator)
            peer_server = PeerServer(
                service,
                lambda: wire.Hello(self._own_node.name, self._own_node.incarnation),
                self._metrics.count_frame,
            )
            await self._serve(
                settings.peer_address, peer_server.serve_stream, stack, tasks
            )
            await self._serve(
                settings.ready_address,
                self._build_page_server().serve_stream,
                stack,
                tasks,
            )
            if settings.metrics_address:
                await self._serve(
                    settings.metrics_address,
                    self._build_page_server().serve_stream,
                    stack,
                    tasks,
                )
            await self._serve(
                settings.caller_address, self._callers.serve_stream, stack, tasks
            )
            supervised = SupervisedTasks(tasks, self._log)
            supervised.keep_running(self.node.run)
            supervised.keep_running(self._disseminator.run)
            if self._handles_signals:
                tasks.start_soon(self._handle_signals)
            self._log.log_state_change("started", zone=settings.zone)
            await self._stop_requested.wait()
            await self._stop(peer_server, service)
            with anyio.move_on_after(KILL_MARGIN_MS / 2_000):
                await peer_server.drain(service.find_refusal)
                await self._drain_until(math.inf)
            tasks.cancel_scope.cancel()
        self._log.log_state_change("stopped")
        self._log.flush()

    async def _serve(self, address, handler, stack, tasks):
        listener = wrap_listener(bind_listener(address))
        stack.push_async_callback(_close_shielded, listener)
        # Sessions run outside of the listener, so that they outlive an error of it.
        handler = guard_handler(self._log, handler)
        SupervisedTasks(tasks, self._log).keep_running(listener.serve, handler, tasks)

    def _build_page_server(self):
        pages = {
            "/metrics": self._metrics_page,
            "/state": json_page(self.dump),
        }
        return PageServer(pages, self._ready_page)

    async def _metrics_page(self):
        return 200, "text/plain", self._metrics.render()

    async def _ready_page(self):
        """Answer a readiness check; wait for up to `READY_WAIT_S` during a start."""
        with anyio.move_on_after(READY_WAIT_S):
            while not (self.is_ready() or self._stop_requested.is_set()):
                await self.node.changed.wait()
        is_ready = self.is_ready()
        return 200 if is_ready else 503, "text/plain", b"ready" if is_ready else b"no"

    def dump(self):
        """Return the state of the process as a document for operators."""
        node = self.node
        return {
            "node": self._settings.node,
            "is_ready": self.is_ready(),
            "configuration_version": node.configuration and node.configuration.version,
            "callers": self._callers.open_count,
            "watches": self._disseminator.dump(),
            "peers": [
                {"name": rumor.node.name, "status": rumor.status.name}
                for rumor in node.membership.statuses()
            ],
            "services": {
                monitor.service: {
                    "primary": monitor.primary,
                    "proof": monitor.lease.renewal,
                    "verdict": monitor.finding().verdict.value,
                    "copies": node.catalog.copies(monitor.service),
                }
                for monitor in node.primary_monitors()
            },
            "customers": dump_customers(node),
            "limits": node.allowances.dump(),
            "owned": {owner.copy.instance: owner.load for owner in node.owners()},
            "queues": {o.copy.instance: o.queue_snapshot() for o in node.owners()},
        }

    async def _handle_signals(self):
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async for signal_number in signals:
                if signal_number == signal.SIGTERM:
                    self.request_stop()
                else:
                    self._reload()

    def _reload(self):
        try:
            settings = self._adapter.reload()
        except (OSError, ValueError) as error:
            self._log.log_state_change("settings_unreadable", reason=str(error))
            return
        is_unchanged = settings == self._settings
        self._log.log_state_change("settings_reloaded", is_changed=not is_unchanged)

    async def _stop(self, peer_server, service):
        """Drain the process: fail readiness checks, give up ownership, close sessions.

        Idle sessions close once the load balancer sends no more callers. Statements are
        passed on for a share of the grace period. Then open transactions are rolled
        back, and statements of callers and peers are refused, so that none runs when
        the process ends.
        """
        started_ms = now_ms()
        grace_ms = self._settings.stop_grace_ms
        answer_by_ms = started_ms + grace_ms - KILL_MARGIN_MS
        self._callers.answer_by_ms = answer_by_ms
        self.node.is_stopping = True
        self._log.log_state_change("stopping", callers=self._callers.open_count)
        with anyio.move_on_after(ANNOUNCE_TIMEOUT_S):
            await self._disseminator.announce_leaving()
        with anyio.move_on_after(ANNOUNCE_TIMEOUT_S):
            await self._disseminator.unregister()
        await _sleep_until(started_ms + LOAD_BALANCER_NOTICE_MS)
        self._callers.close_idle_sessions()
        await self._drain_until(started_ms + int(grace_ms * SERVING_GRACE_SHARE))
        self._log.log_state_change("refusing", callers=self._callers.open_count)
        self._callers.refuse_statements()
        peer_server.refuse(service.find_refusal)
        await self._drain_until(answer_by_ms, self._roll_back_unused)

    async def _drain_until(self, deadline_ms, do_at_each_poll=lambda: None):
        while now_ms() < deadline_ms:
            do_at_each_poll()
            is_idle = all(owner.is_idle for owner in self.node.owners())
            if is_idle and not self._callers.open_count:
                return
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)

    def _roll_back_unused(self):
        """Roll back the transactions that this process holds, also for other nodes."""
        for owner in self.node.owners():
            for number in owner.unused_transactions():
                self.node.tasks.start_soon(owner.roll_back, number)


async def _sleep_until(deadline_ms):
    await anyio.sleep(max(0, deadline_ms - now_ms()) / 1_000)


async def _close_shielded(resource):
    with anyio.CancelScope(shield=True):
        await resource.aclose()
