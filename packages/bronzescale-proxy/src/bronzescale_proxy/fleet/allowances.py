"""Ask for the permits that the operations of a customer with a limit need.

`Allowances.acquire` is called once for each operation, before it goes to a database. It
uses a permit in hand or asks the customer's lessor, the first in rank among the hosts;
`lessor.LessorService` is the part that answers. A host that does not answer is passed
over; the next one names the lessor if it knows better, or grants a provisional
allowance. If none answers, this host uses its own share of the limit. Operations whose
permit is expected in time wait here, the oldest first. The decisions are in
`bronzescale_core.permits` and `bronzescale_core.allowances`.
"""

from typing import NamedTuple

import anyio

from bronzescale_core.allowances import Ask, Grant
from bronzescale_core.permits import Permit, Wallet, patience_ends_ms
from bronzescale_core.work import Outcome, Reach, WorkAnswer
from bronzescale_proxy import wire
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.exceptions import PeerUnavailableError
from bronzescale_proxy.fleet.lessor import LessorService

# A lessor that has become slow answers late, and while it can, nobody else may grant at
# the rate. Permits expire 300 ms after they were asked for.
ASK_TIMEOUT_S = 0.28
# The first request to a host also opens the connection, which takes two round trips.
FIRST_ASK_TIMEOUT_S = 0.45
# A host that did not answer is passed over for this time.
SILENCE_MS = 500
# Hosts that are asked for one grant: the lessor and its successors.
MAX_ASKED = 3
# Time to come back after while the hosts do not agree who the lessor is.
UNSETTLED_RETRY_MS = 200
MAINTENANCE_INTERVAL_S = 0.25
SWEEP_INTERVAL_MS = 10_000
# A wallet without demand for this time is dropped.
WALLET_IDLE_MS = 60_000
# Customers in the state dump.
BUSIEST_SHOWN = 20


class _Answer(NamedTuple):
    """Answer of a host that was asked for permits.

    Parameters
    ----------
    grant : Grant or None
        None if it did not answer.
    is_grantor : bool
        Whether it grants or refuses permits of the customer.
    lessor : str
        If it does not: the host that it takes as the lessor.
    """

    grant: Grant | None
    is_grantor: bool
    lessor: str = ""


class _Waiter:
    """An operation that waits for a permit.

    Parameters
    ----------
    until_ms : int
        When it gives up waiting.
    """

    def __init__(self, until_ms):
        self.until_ms = until_ms
        self.is_answered = anyio.Event()
        self.is_gone = False
        # Whether it was asked for in vain.
        self.was_refused = False
        self.permit = None
        self.usable_at_ms = 0


class _Desk:
    """Permits and waiting operations of one customer at this host."""

    def __init__(self, wallet):
        self.wallet = wallet
        self.waiters = []
        self.is_asking = False


class Allowances:
    """Hold the permits of one host and ask for more.

    Parameters
    ----------
    node : FleetNode
        Shared state of this node.
    """

    def __init__(self, node):
        self._node = node
        self.lessor = LessorService(node)
        self._desks = {}
        self._silent_until_ms = {}
        self._reached = set()
        self._swept_at_ms = now_ms()

    async def run(self):
        """Update the view of the fleet and drop what is unused, until cancelled."""
        while True:
            configuration = self._node.configuration
            self.lessor.refresh(bool(configuration and configuration.customers))
            now = now_ms()
            if now - self._swept_at_ms >= SWEEP_INTERVAL_MS:
                self._swept_at_ms = now
                self._sweep(now)
            await anyio.sleep(MAINTENANCE_INTERVAL_S)

    async def acquire(self, name, deadline_ms):
        """Get the permit for one operation of a customer.

        Parameters
        ----------
        name : str
            Name of the customer; empty for none.
        deadline_ms : int
            When the operation must have ended.

        Returns
        -------
        permit : Permit or None
            Pass it to `give_back` if the operation does not reach a database. None if
            the customer has no limit, or if the operation is refused.
        refusal : WorkAnswer or None
            The refusal; None if the operation may run.
        """
        customer = self._limited_customer(name)
        if customer is None:
            return None, None
        permit, reason, retry_after_ms = await self._acquire(customer, deadline_ms)
        if permit is not None:
            result = "permitted" if permit.period else "own_share"
            self._node.metrics.count_limited_operation(result)
            return permit, None
        self._node.metrics.count_limited_operation("refused")
        refusal = WorkAnswer(
            Outcome.BUSY, Reach.NOT_SENT, reason, retry_after_ms=retry_after_ms
        )
        return None, refusal

    def give_back(self, permit):
        """Return the permit of an operation that reached no database."""
        if permit is None or not permit.period:
            return
        if self.lessor.credit(permit):
            return
        desk = self._desks.get(permit.customer)
        if desk is not None:
            desk.wallet.add_unused(1, permit.period)

    def dump(self):
        """Return use against limit of the busiest customers that this host keeps."""
        return [
            {**usage._asdict(), "refused": self.lessor.refused_of(usage.customer)}
            for usage in self.lessor.busiest(BUSIEST_SHOWN)
        ]

    def _limited_customer(self, name):
        configuration = self._node.configuration
        if not name or configuration is None:
            return None
        customer = configuration.customers.get(name)
        return customer if customer is not None and customer.rate_per_s > 0 else None

    async def _acquire(self, customer, deadline_ms):
        """Return a permit, or None with the reason and the time to come back."""
        now = now_ms()
        desk = self._desk(customer, now)
        wallet = desk.wallet
        if self.lessor.view.is_lessor(customer.name) and not desk.waiters:
            permit = await self._acquire_here(wallet, deadline_ms)
            if permit is not None:
                return permit, "", 0
            now = now_ms()
        else:
            wallet.record_demand(now)
            permit = wallet.take(now)
            if permit is not None:
                return permit, "", 0
        waiter = _Waiter(patience_ends_ms(deadline_ms, now))
        if wallet.pause_ms(now) and not wallet.can_wait(
            len(desk.waiters), waiter.until_ms, now
        ):
            return self._refuse(desk)
        desk.waiters.append(waiter)
        if not desk.is_asking:
            desk.is_asking = True
            self._node.tasks.start_soon(self._ask_while_waiting, desk)
        try:
            with anyio.move_on_after(max(0, deadline_ms - now) / 1_000):
                await waiter.is_answered.wait()
                if waiter.permit is not None:
                    if waiter.was_refused:
                        self._node.metrics.count_limited_operation("waited")
                    await _sleep_until(waiter.usable_at_ms)
                    permit, waiter.permit = waiter.permit, None
                    return permit, "", 0
        finally:
            waiter.is_gone = True
            self.give_back(waiter.permit)
        return self._refuse(desk)

    async def _acquire_here(self, wallet, deadline_ms):
        """Return a permit from this host's own bucket, or None."""
        customer = wallet.customer
        asked_at_ms = now_ms()
        grant, _ = await self.lessor.grant(customer, Ask(1, 1), is_passed_over=True)
        if not grant.permits:
            wallet.receive(grant, asked_at_ms, 1, now_ms())
            return None
        permit = Permit(customer.name, grant.period)
        if now_ms() + grant.wait_ms >= deadline_ms:
            self.give_back(permit)
            return None
        await anyio.sleep(grant.wait_ms / 1_000)
        return permit

    def _refuse(self, desk):
        retry_after_ms = desk.wallet.retry_after_ms(len(desk.waiters), now_ms())
        return None, _limit_reason(desk.wallet.customer), retry_after_ms

    def _desk(self, customer, now):
        desk = self._desks.get(customer.name)
        if desk is None:
            desk = self._desks[customer.name] = _Desk(Wallet(customer, now))
        desk.wallet.set_customer(customer)
        return desk

    async def _ask_while_waiting(self, desk):
        try:
            while desk.waiters:
                pause_ms = desk.wallet.pause_ms(now_ms())
                if pause_ms:
                    await anyio.sleep(pause_ms / 1_000)
                waiters, desk.waiters = desk.waiters, []
                refused = await self._ask_for(desk, waiters)
                self._keep_waiting(desk, refused)
        finally:
            desk.is_asking = False
            _answer_all(desk.waiters)
            desk.waiters = []

    def _keep_waiting(self, desk, refused):
        """Refuse the operations whose permit is not expected in time; keep the others.

        Those that have waited for longer get the next permits.
        """
        now = now_ms()
        kept = []
        for waiter in refused + desk.waiters:
            if waiter.is_gone:
                continue
            if desk.wallet.can_wait(len(kept), waiter.until_ms, now):
                kept.append(waiter)
            else:
                waiter.is_answered.set()
        desk.waiters = kept

    async def _ask_for(self, desk, waiters):
        """Ask for permits and hand them out; return the operations that got none."""
        wallet = desk.wallet
        refused = []
        try:
            waiting = [waiter for waiter in waiters if not waiter.is_gone]
            asked_before = sum(waiter.was_refused for waiter in waiting)
            ask = wallet.ask(len(waiting), now_ms(), asked_before)
            grant, asked_at_ms = await self._ask_in_rank(wallet.customer, ask)
            now = now_ms()
            waiting = [waiter for waiter in waiting if not waiter.is_gone]
            if grant is None:
                served = self._use_own_share(wallet, waiting, now)
            else:
                served = wallet.receive(grant, asked_at_ms, len(waiting), now)
                for waiter in waiting[:served]:
                    waiter.permit = Permit(wallet.customer.name, grant.period)
                    waiter.usable_at_ms = now + grant.wait_ms
            refused = waiting[served:]
        finally:
            _answer_all(waiter for waiter in waiters if waiter not in refused)
        for waiter in refused:
            waiter.was_refused = True
        return refused

    def _use_own_share(self, wallet, waiting, now):
        """Let operations use this host's share; return for how many there is room."""
        host_count = self.lessor.view.registered_count()
        served = 0
        while served < len(waiting) and wallet.fall_back(host_count, now):
            waiting[served].permit = Permit(wallet.customer.name, 0)
            served += 1
        return served

    async def _ask_in_rank(self, customer, ask):
        """Ask the lessor, then its successors, until one grants or refuses.

        Returns
        -------
        grant : Grant or None
            None if no host answered.
        asked_at_ms : int
            When the host that answered was asked.
        """
        is_passed_over = False
        has_answer = False
        candidates = list(self.lessor.view.rank(customer.name)[:MAX_ASKED])
        referred = {peer.name for peer in candidates}
        while candidates:
            peer = candidates.pop(0)
            asked_at_ms = now_ms()
            if self._silent_until_ms.get(peer.name, 0) > asked_at_ms:
                is_passed_over = True
                continue
            answer = await self._ask_host(peer, customer, ask, is_passed_over)
            if answer.is_grantor:
                return answer.grant, asked_at_ms
            has_answer |= answer.grant is not None
            lessor = self._node.membership.find(answer.lessor)
            if lessor is not None and lessor.name not in referred:
                # This host takes the lessor as down, or has not heard of it yet.
                referred.add(lessor.name)
                candidates[:0] = [lessor, peer]
            else:
                is_passed_over = True
        if has_answer:
            return Grant(0, 0, UNSETTLED_RETRY_MS, 0), now_ms()
        return None, now_ms()

    async def _ask_host(self, peer, customer, ask, is_passed_over):
        """Ask this host or another one; return its `_Answer`."""
        if peer.name != self._node.settings.node:
            return await self._ask_peer(peer, customer, ask, is_passed_over)
        return _Answer(*await self.lessor.grant(customer, ask, is_passed_over))

    async def _ask_peer(self, peer, customer, ask, is_passed_over):
        """Ask another host; return its `_Answer`."""
        request = wire.PermitRequest(
            customer=customer.name,
            wanted=ask.wanted,
            unused=ask.unused,
            configuration_version=self._node.configuration.version,
            needed=ask.needed,
            node=self._node.settings.node,
            period=ask.period,
            is_passed_over=is_passed_over,
            asked_before=ask.asked_before,
        )
        is_known = peer.name in self._reached
        timeout_s = ASK_TIMEOUT_S if is_known else FIRST_ASK_TIMEOUT_S
        try:
            reply = await self._node.peers.request(peer, request, timeout_s)
        except PeerUnavailableError as error:
            self._record_silence(peer, customer, error)
            return _Answer(None, False)
        if not isinstance(reply, wire.PermitReply):
            self._node.metrics.count_permit_request("not_lessor")
            return _Answer(None, False)
        self._reached.add(peer.name)
        self.lessor.view.record_contact(peer, is_answered=True)
        self.lessor.compare_versions(peer.name, reply.configuration_version)
        grant = Grant(reply.permits, reply.wait_ms, reply.retry_after_ms, reply.period)
        is_grantor = reply.is_lessor or is_passed_over
        result = "granted" if grant.permits else "refused"
        self._node.metrics.count_permit_request(result if is_grantor else "not_lessor")
        return _Answer(grant, is_grantor, reply.lessor)

    def _record_silence(self, peer, customer, error):
        self._node.metrics.count_permit_request("no_answer")
        self._node.log.log_decision(
            "lessor_silent", customer=customer.name, peer=peer.name, reason=str(error)
        )
        self._silent_until_ms[peer.name] = now_ms() + SILENCE_MS
        self._reached.discard(peer.name)
        self.lessor.view.record_contact(peer, is_answered=False)
        if not error.is_sent:
            self._node.mark_suspect(peer)

    def _sweep(self, now):
        for name, desk in list(self._desks.items()):
            is_unused = not desk.waiters and not desk.is_asking
            if is_unused and desk.wallet.is_idle(WALLET_IDLE_MS, now):
                del self._desks[name]
        self._silent_until_ms = {
            name: until_ms
            for name, until_ms in self._silent_until_ms.items()
            if until_ms > now
        }
        self.lessor.sweep(now)


def _limit_reason(customer):
    return (
        f"customer {customer.name} is at its limit of {customer.rate_per_s:g} "
        "operations a second"
    )


def _answer_all(waiters):
    for waiter in waiters:
        waiter.is_answered.set()


async def _sleep_until(at_ms):
    await anyio.sleep(max(0, at_ms - now_ms()) / 1_000)
