"""Know which host is the lessor of a customer, and which part of the fleet is in reach.

`FleetView` joins what membership knows with what this host has noticed itself: hosts
that are silent around it, and hosts that others have passed over and that do not answer
this one either.
"""

import random
from typing import NamedTuple

from bronzescale_core.allowances import Standing
from bronzescale_core.contacts import Contacts
from bronzescale_core.lessor_ranks import LessorRanks
from bronzescale_core.membership import Status
from bronzescale_proxy.clock import now_ms

# A process whose tasks did not run for this time may have been replaced meanwhile.
SUSPENDED_MS = 1_500
# At the very first start of a fleet, hosts of this age find full buckets.
FIRST_START_MS = 10_000
# A lost host is asked again in each maintenance interval, until no other host has
# passed it over for this time. It is lost only while requests to it keep failing.
LOST_PROBED_MS = 5_000
LOST_VALID_MS = 1_000
_LONG_AGO_MS = 3_600_000


class _Lost(NamedTuple):
    """A host that others passed over and that did not answer this host."""

    since_ms: int
    failed_at_ms: int


class FleetView:
    """View that one host has of the others.

    Parameters
    ----------
    node : FleetNode
        Shared state of this node.
    """

    def __init__(self, node):
        now = now_ms()
        self._node = node
        self._contacts = Contacts(node.membership.own)
        self._random = random.Random(node.settings.node)
        self.started_at_ms = now
        self._refreshed_at_ms = now
        self._membership_version = None
        self._ranks = LessorRanks(node.settings.node, now)
        self._down_names = set()
        self._lost = {}
        self._passed_over_at_ms = {}
        self._probed = set()
        # Share of the registered hosts that this one is in touch with; 0 if unknown.
        self.share = 0.0

    @property
    def suspended_ms(self):
        """Return for how long this process did not run; 0 if not for long."""
        elapsed_ms = now_ms() - self._refreshed_at_ms
        return elapsed_ms if elapsed_ms > SUSPENDED_MS else 0

    def rest(self):
        """Note that the process runs, but that no customer has a limit."""
        self._refreshed_at_ms = now_ms()

    def refresh(self, has_buckets):
        """Update the view; ask hosts that are silent.

        Parameters
        ----------
        has_buckets : bool
            Whether this host grants permits, so that it must notice if it is cut off.
        """
        now = self._refreshed_at_ms = now_ms()
        self._update_eligible(now)
        live = self._live_registered()
        self.share = self._contacts.count(live, now) / self.registered_count()
        if has_buckets:
            for peer in self._contacts.choose_to_ask(live, self._random.random, now):
                self._node.tasks.start_soon(self._ping, peer)
        for name, at_ms in list(self._passed_over_at_ms.items()):
            peer = self._node.membership.find(name)
            if peer is None or now - at_ms > LOST_PROBED_MS:
                del self._passed_over_at_ms[name]
                self._lost.pop(name, None)
            elif name in self._lost:
                self._start_probe(peer)

    def record_contact(self, peer, is_answered):
        """Record a message of another host, or that it did not answer."""
        self._contacts.record(peer, is_answered, now_ms())
        if not is_answered:
            return
        self._lost.pop(peer.name, None)
        if peer.name in self._down_names:
            # As good as a heartbeat. Two parts of a fleet that meet again would else
            # have two lessors until heartbeats reach every host.
            self._node.membership.record_heartbeat(
                peer.name, peer.incarnation, Status.ALIVE, ()
            )
            self._update_eligible(now_ms())

    def registered_count(self):
        """Return how many hosts are registered, this one included."""
        return 1 + self._node.membership.count_registered_others()

    def rank(self, name):
        """Return the hosts that may be the lessor of a customer, best first."""
        self._update_eligible(now_ms())
        return self._ranks.rank(name)

    def is_lessor(self, name):
        """Return whether this host is first in rank for a customer."""
        self._update_eligible(now_ms())
        return self._ranks.is_first(name)

    def keeps_from(self, customer, name):
        """Return whether this host stays the lessor although another one claims it."""
        self._update_eligible(now_ms())
        return self._ranks.keeps_from(customer, name)

    def _update_eligible(self, now):
        version = self._node.membership.version
        if version == self._membership_version:
            return
        self._membership_version = version
        self._down_names = {
            rumor.node.name
            for rumor in self._node.membership.statuses()
            if rumor.status is Status.DOWN
        }
        self._ranks.update(self._node.membership.eligible_owners(), now)

    def _live_registered(self):
        return [
            rumor.node
            for rumor in self._node.membership.registered_others()
            if rumor.status is not Status.DOWN
        ]

    def standing(self, name):
        """Return the part of this host for a customer."""
        if not self.share:
            self.refresh(has_buckets=True)
        now = now_ms()
        is_lessor = self.is_lessor(name)
        since_ms = self._ranks.since_ms(name)
        is_young = now - self.started_at_ms < FIRST_START_MS
        is_first_start = self._node.settings.is_first_start and is_young
        share = self.share
        if is_first_start and not self._ranks.has_lost_hosts:
            # Hosts that were not heard yet are only starting.
            since_ms, share = now - _LONG_AGO_MS, 1.0
        lost_since_ms = self._lost_above_since_ms(name)
        if lost_since_ms is not None:
            is_lessor, since_ms = True, lost_since_ms
        return Standing(is_lessor, share, since_ms)

    def _lost_above_since_ms(self, name):
        """Return since when no host before this one in rank answers, or None.

        Membership takes longer to conclude that a host is down. Here, a host that
        serves callers and this one have both found it silent.
        """
        oldest_ms = now_ms() - LOST_VALID_MS
        since_ms = []
        for peer in self.rank(name):
            if peer.name == self._node.settings.node:
                return max(since_ms, default=None)
            lost = self._lost.get(peer.name)
            if lost is None or lost.failed_at_ms < oldest_ms:
                return None
            since_ms.append(lost.since_ms)
        return None

    def probe_above(self, name):
        """Ask the hosts before this one in rank, which another host has passed over."""
        for peer in self.rank(name):
            if peer.name == self._node.settings.node:
                return
            self._passed_over_at_ms[peer.name] = now_ms()
            self._start_probe(peer)

    def _start_probe(self, peer):
        if peer.name not in self._probed:
            self._probed.add(peer.name)
            self._node.tasks.start_soon(self._probe, peer)

    async def _probe(self, peer):
        try:
            is_answered = await self._node.ping(peer)
        finally:
            self._probed.discard(peer.name)
        self.record_contact(peer, is_answered)
        if is_answered:
            return
        now = now_ms()
        lost = self._lost.get(peer.name)
        is_continued = lost is not None and now - lost.failed_at_ms < LOST_VALID_MS
        self._lost[peer.name] = _Lost(lost.since_ms if is_continued else now, now)

    async def _ping(self, peer):
        self.record_contact(peer, await self._node.ping(peer))

    def forget_customers(self, customers):
        """Drop what is kept for customers that are not declared any more."""
        self._ranks.forget(customers)
