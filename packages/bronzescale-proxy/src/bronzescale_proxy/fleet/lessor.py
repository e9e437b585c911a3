"""Grant permits to the hosts that serve a customer's callers.

A host keeps the buckets of the customers for which it is first in rank. When hosts come
and go, the host that has become first asks the previous one for the bucket.
"""

import math

import anyio

from bronzescale_core.allowances import (
    HAND_OVER_MS,
    Ask,
    Lessor,
    tokens_since_start,
)
from bronzescale_core.customer_bucket import PERMIT_VALID_MS, WINDOW_MS
from bronzescale_core.lessor_ranks import rank_previous
from bronzescale_proxy import wire
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import PeerUnavailableError
from bronzescale_proxy.fleet.fleet_view import FleetView

# Also opens the connection if there is none yet.
TAKEOVER_TIMEOUT_S = 0.45
# How long a request waits for the bucket of the previous lessor.
TAKEOVER_WAIT_S = 0.1
TAKEOVER_RETRY_MS = 500
# Hosts that are asked for a bucket, in rank.
TAKEOVER_ASKED = 2


class LessorService:
    """Buckets of one host.

    Parameters
    ----------
    node : FleetNode
        Shared state of this node.
    """

    def __init__(self, node):
        self._node = node
        self.view = FleetView(node)
        self._lessor = Lessor(node.membership.own.incarnation)
        self._takeovers = {}
        self._next_takeover_ms = {}
        self._reported_at_ms = {}
        self._refused = {}
        self._fetching = False
        # Fetches the configuration from a peer that has a newer one.
        self.fetch_configuration = None

    def refresh(self, has_customers=True):
        """Update the view of the fleet; give up all buckets after a suspension."""
        if not has_customers:
            self.view.rest()
            return
        suspended_ms = self.view.suspended_ms
        if suspended_ms:
            self._lessor.forget_roles(now_ms())
            self._node.log.log_state_change("limits_suspended", for_ms=suspended_ms)
        self.view.refresh(self._lessor.size > 0)

    # Permits

    async def grant(self, customer, ask, is_passed_over):
        """Grant permits from this host's bucket.

        Parameters
        ----------
        customer : Customer
            The customer.
        ask : Ask
            The request.
        is_passed_over : bool
            Whether the hosts before this one did not grant.

        Returns
        -------
        grant : Grant or None
        is_grantor : bool
            False if another host is the lessor and has not been passed over.
        """
        if self.view.suspended_ms:
            self.refresh()
        standing = self.view.standing(customer.name)
        if not standing.is_lessor and not is_passed_over:
            return None, False
        if not self.view.is_lessor(customer.name):
            self.view.probe_above(customer.name)
        if standing.is_lessor:
            await self._establish(customer, standing)
            standing = self.view.standing(customer.name)
        grant = self._lessor.grant(customer, ask, standing, now_ms())
        if grant.permits < ask.needed:
            self._record_refusal(customer, ask.needed - grant.permits, standing)
        return grant, True

    async def answer(self, request):
        """Answer the request of another host.

        Parameters
        ----------
        request : PermitRequest
            The request.

        Returns
        -------
        PermitReply
        """
        peer = self._node.membership.find(request.node)
        if peer is not None:
            self.view.record_contact(peer, is_answered=True)
        self.compare_versions(request.node, request.configuration_version)
        if request.is_takeover:
            return self._answer_takeover(request)
        customer = self._find_customer(request.customer)
        if customer is None or customer.rate_per_s <= 0:
            return self._reply(0, False)
        ask = Ask(
            request.needed,
            request.wanted,
            request.unused,
            request.period,
            request.asked_before,
        )
        grant, is_grantor = await self.grant(customer, ask, request.is_passed_over)
        if not is_grantor:
            ranked = self.view.rank(customer.name)
            return self._reply(0, False, lessor=ranked[0].name if ranked else "")
        return self._reply(
            grant.permits,
            True,
            retry_after_ms=grant.retry_after_ms,
            wait_ms=grant.wait_ms,
            period=grant.period,
        )

    def _answer_takeover(self, request):
        """Hand the bucket over, unless the other host wrongly takes this as down."""
        name = request.customer
        if self.view.keeps_from(name, request.node):
            # A host of an older release reads only the tokens; they keep it from
            # granting until it has learned of this host.
            customer = self._find_customer(name)
            rate_per_s = customer.rate_per_s if customer is not None else 0
            debt = math.ceil(rate_per_s * HAND_OVER_MS / 1_000)
            return self._reply(-debt, False, lessor=self._node.settings.node)
        ranked = self.view.rank(name)
        is_successor = bool(ranked) and ranked[0].name == request.node
        level, was_main = self._lessor.hand_over(name, is_successor, now_ms())
        if not was_main:
            level = self._tokens_since_start(name)
        return self._reply(level, was_main)

    def _find_customer(self, name):
        configuration = self._node.configuration
        return configuration and configuration.customers.get(name)

    def _tokens_since_start(self, name):
        customer = self._find_customer(name)
        if customer is None:
            return 0
        return tokens_since_start(customer, self.view.started_at_ms, now_ms())

    def _reply(self, permits, is_lessor, retry_after_ms=0, **fields):
        configuration = self._node.configuration
        return wire.PermitReply(
            permits,
            now_ms() + PERMIT_VALID_MS,
            retry_after_ms,
            is_lessor,
            configuration_version=configuration.version if configuration else 0,
            **fields,
        )

    def credit(self, permit):
        """Return a permit that was not used; return whether this host granted it."""
        return self._lessor.credit(permit.customer, 1, permit.period)

    def compare_versions(self, name, version):
        """Fetch the configuration if another host has a newer one."""
        configuration = self._node.configuration
        if configuration is None or version <= configuration.version:
            return
        peer = self._node.membership.find(name)
        if peer is not None and self.fetch_configuration and not self._fetching:
            self._fetching = True
            self._node.tasks.start_soon(self._fetch_configuration, peer)

    async def _fetch_configuration(self, peer):
        try:
            await self.fetch_configuration(peer)
        except PeerUnavailableError as error:
            self._node.log.log_decision(
                "pull_failed", peer=peer.name, kinds="configuration", reason=str(error)
            )
        finally:
            self._fetching = False

    # Takeover

    async def _establish(self, customer, standing):
        """Get the bucket of the previous lessor if this host has just become it."""
        name = customer.name
        now = now_ms()
        if self._lessor.is_established(customer, standing, now):
            return
        done = self._takeovers.get(name)
        if done is None:
            if self._next_takeover_ms.get(name, 0) > now:
                return
            self._next_takeover_ms[name] = now + TAKEOVER_RETRY_MS
            done = self._takeovers[name] = anyio.Event()
            self._node.tasks.start_soon(self._take_over, customer, done)
        with anyio.move_on_after(TAKEOVER_WAIT_S):
            await done.wait()

    async def _take_over(self, customer, done):
        try:
            replies = await self._ask_previous(customer)
            given = [reply for reply in replies if reply is not None]
            tokens = [reply.permits for reply in given if reply.is_lessor]
            # A host that names itself as the lessor keeps the bucket.
            is_kept = any(reply.lessor for reply in given)
            is_certain = not is_kept and (bool(tokens) or len(given) == len(replies))
            if not tokens:
                tokens = [reply.permits for reply in given]
                tokens.append(self._tokens_since_start(customer.name))
            level = min(tokens)
            standing = self.view.standing(customer.name)
            self._lessor.take_over(customer, level, is_certain, standing, now_ms())
            self._node.log.log_state_change(
                "limit_taken_over",
                customer=customer.name,
                tokens=level,
                answered=len(given),
                asked=len(replies),
                is_certain=is_certain,
            )
        finally:
            del self._takeovers[customer.name]
            done.set()

    async def _ask_previous(self, customer):
        """Ask the hosts that can have been the lessor for the bucket.

        Those that this host takes as down are asked too: if it was cut off itself, they
        have gone on without it.

        Returns
        -------
        list of PermitReply or None
            One for each host; None if it did not answer.
        """
        known = [rumor.node for rumor in self._node.membership.statuses()[1:]]
        ranked = rank_previous(customer.name, known, TAKEOVER_ASKED)
        replies = [None] * len(ranked)

        async def ask(index, peer):
            request = wire.PermitRequest(
                customer.name,
                0,
                0,
                self._node.configuration.version,
                node=self._node.settings.node,
                is_takeover=True,
            )
            try:
                reply = await self._node.peers.request(
                    peer, request, TAKEOVER_TIMEOUT_S
                )
            except PeerUnavailableError:
                self.view.record_contact(peer, is_answered=False)
                return
            self.view.record_contact(peer, is_answered=True)
            if isinstance(reply, wire.PermitReply):
                replies[index] = reply

        async with anyio.create_task_group() as tasks:
            for index, peer in enumerate(ranked):
                tasks.start_soon(ask, index, peer)
        return replies

    # For operators

    def _record_refusal(self, customer, count, standing):
        name = customer.name
        self._refused[name] = self._refused.get(name, 0) + count
        now = now_ms()
        if now - self._reported_at_ms.get(name, -WINDOW_MS) < WINDOW_MS:
            return
        self._reported_at_ms[name] = now
        self._node.log.log_decision(
            "limit_reached",
            customer=name,
            rate_per_s=customer.rate_per_s,
            burst=customer.burst,
            refused=self._refused[name],
            is_lessor=standing.is_lessor,
            is_established=self._lessor.is_established(customer, standing, now),
            share=round(standing.share, 3),
        )

    def busiest(self, count):
        """Return the use of the limits of the customers that use most."""
        return self._lessor.busiest(count, now_ms())

    def refused_of(self, name):
        """Return how many operations of a customer this host refused a permit."""
        return self._refused.get(name, 0)

    def sweep(self, now):
        """Drop what belongs to customers that are gone or idle."""
        configuration = self._node.configuration
        customers = configuration.customers if configuration else {}
        self._lessor.sweep(customers, now)
        self.view.forget_customers(customers)
        for values in (self._refused, self._reported_at_ms, self._next_takeover_ms):
            for name in [name for name in values if name not in customers]:
                del values[name]
        self._node.metrics.set_customer_buckets(self._lessor.size)
