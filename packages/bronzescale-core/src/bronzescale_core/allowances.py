"""Decide how many operations of a customer the whole fleet may run.

Load answered: customers that send many times what they usually do, at every host at
once, beside customers that stay below their limits and must not notice it.

One host, the lessor of a customer, keeps a token bucket for it and grants permits to
the hosts that serve its callers. `Lessor` is that bucket and the rules by which it
passes from host to host:

- Only the first in rank for a customer grants at the customer's rate. It does so once
  the previous lessor handed its bucket over, or once `SETTLE_MS` have passed since the
  hosts before it in rank were lost: by then they know that they are cut off.
- A lessor that is in touch with a part of the registered hosts grants that share of the
  rate, so that the parts of a divided fleet together stay within the limit.
- Any other host grants a provisional allowance when a caller's host could not reach the
  lessor. It is paid from the excess that a limit tolerates.
"""

import itertools
import math
from typing import NamedTuple

from bronzescale_core.customer_bucket import CustomerBucket, provisional_allowance

# A token that is due within this time is granted in advance; its holder waits.
MAX_WAIT_MS = 100
# Time after which hosts that were lost grant no more than their share; longer than
# `contacts.CONTACT_TIMEOUT_MS` plus the timeout of a heartbeat.
SETTLE_MS = 1_750
# How long a host that handed a bucket over leaves it alone although the other host is
# not known to it yet.
HAND_OVER_MS = 3_000
# Longest time after which a refused caller is told to come back.
MAX_RETRY_MS = 2_000
# Share of the spare tokens that one host may take for operations yet to come.
PREFETCH_SHARE = 0.25
# Numbers of periods that a process can use for each ms of its incarnation.
NUMBERS_PER_MS = 2**20
# Hosts that started lately can tell that nobody granted for this time at most; by then,
# a lessor that they do not know has learned of them.
MAX_FRESH_MS = 1_000
# A host that started lately knows that the fleet did, if the others did as well.
JUST_STARTED_MS = 2_000
# A full bucket without requests for this time is dropped.
IDLE_MS = 600_000


class Standing(NamedTuple):
    """What a host knows about its own part for a customer.

    Parameters
    ----------
    is_lessor : bool
        Whether it is the first in rank for the customer.
    share : float
        Share of the registered hosts that it is in touch with, itself included.
    since_ms : int
        When the hosts that can be lessors last changed.
    """

    is_lessor: bool
    share: float
    since_ms: int


class Ask(NamedTuple):
    """Request for permits.

    Parameters
    ----------
    needed : int
        Operations that wait for a permit.
    wanted : int
        Permits that the host can use, those for the waiting operations included.
    unused : int
        Permits of one period of the lessor's bucket that will not be used any more.
    period : int
        Number of that period; 0 for none.
    asked_before : int
        Waiting operations for which the host has asked in vain and asks again.
    """

    needed: int
    wanted: int
    unused: int = 0
    period: int = 0
    asked_before: int = 0


class Grant(NamedTuple):
    """Answer to an `Ask`.

    Parameters
    ----------
    permits : int
        Operations that may run.
    wait_ms : int
        Time after which they may run.
    retry_after_ms : int
        If fewer permits than needed were granted: when the next one is expected.
    period : int
        Number of the bucket's period in which they were granted.
    """

    permits: int
    wait_ms: int
    retry_after_ms: int
    period: int


class Usage(NamedTuple):
    """Use of a customer's limit, as its lessor sees it."""

    customer: str
    used_per_s: float
    rate_per_s: float
    burst: float
    left: float
    is_main: bool


def tokens_since_start(customer, started_at_ms, now_ms):
    """Return what a lessor may grant at once if a host has kept no bucket since then.

    Load answered: the whole fleet starts again at once, and all callers return within
    a second. If a lessor and the hosts next in rank have all just started, nobody has
    granted since the last of them did, and nobody has used the tolerated excess.

    Parameters
    ----------
    customer : Customer
        The customer.
    started_at_ms : int
        When the host started.
    now_ms : int
        Current time.

    Returns
    -------
    int
    """
    age_ms = now_ms - started_at_ms
    due = customer.rate_per_s * min(age_ms, MAX_FRESH_MS) / 1_000
    unused = provisional_allowance(customer) if age_ms < JUST_STARTED_MS else 0
    return math.floor(due + unused)


class Lessor:
    """Buckets that one host keeps, for the customers that it grants permits for.

    Parameters
    ----------
    incarnation : int
        Start of the process, in ms since 1970; numbers its buckets uniquely.
    """

    def __init__(self, incarnation):
        self._buckets = {}
        self._numbers = itertools.count(incarnation * NUMBERS_PER_MS + 1)

    def is_established(self, customer, standing, now_ms):
        """Return whether this host grants at the customer's rate.

        If it does not although it is the lessor, the previous lessor should be asked
        for its bucket; see `take_over`.
        """
        bucket = self._update(customer, standing, now_ms)
        return bucket.is_main

    def take_over(self, customer, level, is_certain, standing, now_ms):
        """Continue the bucket of the previous lessor.

        Parameters
        ----------
        customer : Customer
            The customer.
        level : int
            Tokens that were left there, or that have become due since.
        is_certain : bool
            Whether no other host can grant at the rate any more.
        standing : Standing
            Part of this host.
        now_ms : int
            Current time.
        """
        bucket = self._update(customer, standing, now_ms)
        if not is_certain or not standing.is_lessor or bucket.is_main:
            return
        bucket.handed_over_until_ms = 0
        bucket.level = float(level)
        bucket.settles_at_ms = None
        bucket.set_role(True, standing.share)
        bucket.start_anew(now_ms)

    def hand_over(self, name, is_successor, now_ms):
        """Give up a bucket to the host that has become the lessor.

        Parameters
        ----------
        name : str
            Name of the customer.
        is_successor : bool
            Whether the other host is the lessor in this host's view. It then also gets
            the tokens that this host had when it learned so.
        now_ms : int
            Current time.

        Returns
        -------
        level : int
            Tokens left for the new lessor; negative for tokens granted in advance.
        was_main : bool
            Whether this host granted at the customer's rate until now.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return 0, False
        was_main = bucket.is_main
        if was_main:
            bucket.fill(now_ms)
            self._leave_role(bucket, now_ms)
        left, bucket.left = bucket.left, None
        if left is None or now_ms - left[1] > HAND_OVER_MS:
            return 0, False
        if not (was_main or is_successor):
            return 0, False
        bucket.handed_over_until_ms = now_ms + HAND_OVER_MS
        return left[0], True

    def grant(self, customer, ask, standing, now_ms):
        """Answer a request for permits.

        Parameters
        ----------
        customer : Customer
            The customer with the limit in force.
        ask : Ask
            The request.
        standing : Standing
            Part of this host.
        now_ms : int
            Current time.

        Returns
        -------
        Grant
        """
        bucket = self._update(customer, standing, now_ms)
        bucket.asked_at_ms = now_ms
        if ask.unused > 0:
            bucket.credit(ask.unused, ask.period)
        rate_per_s = bucket.rate_per_s
        due = math.floor(bucket.level + rate_per_s * MAX_WAIT_MS / 1_000)
        granted = max(0, min(ask.needed, due))
        missing_ms = (granted - bucket.level) * 1_000 / rate_per_s
        wait_ms = max(0, math.ceil(missing_ms)) if granted else 0
        bucket.spend(granted)
        if granted < ask.needed:
            refused = ask.needed - granted
            retry_after_ms = self._defer(bucket, refused, ask.asked_before, now_ms)
            return Grant(granted, wait_ms, retry_after_ms, bucket.number)
        spare = math.floor(max(0.0, bucket.level) * PREFETCH_SHARE)
        extra = max(0, min(ask.wanted - granted, spare))
        bucket.spend(extra)
        return Grant(granted + extra, wait_ms, 0, bucket.number)

    def credit(self, name, tokens, period):
        """Return tokens that this host granted to itself and did not use.

        Returns
        -------
        bool
            Whether this host granted them.
        """
        bucket = self._buckets.get(name)
        return bucket is not None and bucket.credit(tokens, period)

    def forget_roles(self, now_ms):
        """Grant at no customer's rate until established again.

        For a host that was suspended: another one may be the lessor by now.
        """
        for bucket in self._buckets.values():
            bucket.filled_at_ms = now_ms
            if bucket.is_main:
                self._leave_role(bucket, now_ms)
                bucket.left = None
            bucket.settles_at_ms = now_ms + SETTLE_MS

    def sweep(self, customers, now_ms):
        """Drop the buckets of removed customers and those that tell nothing.

        Parameters
        ----------
        customers : dict of str to Customer
            Customers that the configuration declares.
        now_ms : int
            Current time.
        """
        for name, bucket in list(self._buckets.items()):
            bucket.fill(now_ms)
            is_idle = now_ms - bucket.asked_at_ms > IDLE_MS
            is_full = bucket.level >= bucket.capacity
            if name not in customers or (is_idle and is_full):
                del self._buckets[name]

    def busiest(self, count, now_ms):
        """Return the use of the limits of the customers that use most.

        Parameters
        ----------
        count : int
            How many to return.
        now_ms : int
            Current time.

        Returns
        -------
        list of Usage
        """
        for bucket in self._buckets.values():
            bucket.fill(now_ms)
        ordered = sorted(
            self._buckets.items(), key=lambda item: (-item[1].used_per_s, item[0])
        )
        return [
            Usage(
                name,
                round(bucket.used_per_s, 1),
                bucket.customer.rate_per_s,
                bucket.customer.burst,
                round(bucket.level, 1),
                bucket.is_main,
            )
            for name, bucket in ordered[:count]
        ]

    @property
    def size(self):
        """Return how many buckets it holds."""
        return len(self._buckets)

    def _defer(self, bucket, refused, asked_before, now_ms):
        """Return when to come back, and keep that time from later callers.

        Operations for which a host asks again keep their places.
        """
        rate_per_s = bucket.rate_per_s
        ahead = max(0, bucket.deferred - asked_before)
        missing = 1 - bucket.level + ahead
        longest = rate_per_s * MAX_RETRY_MS / 1_000
        bucket.deferred = max(bucket.deferred, min(ahead + refused, longest))
        due_in_ms = missing * 1_000 / rate_per_s
        if bucket.settles_at_ms is not None and not bucket.is_main:
            settles_in_ms = max(0, bucket.settles_at_ms - now_ms)
            main_due_in_ms = missing * 1_000 / bucket.main_rate_per_s
            due_in_ms = min(due_in_ms, settles_in_ms + main_due_in_ms)
        return max(1, math.ceil(due_in_ms))

    def _update(self, customer, standing, now_ms):
        """Return the customer's bucket, filled and in its present role."""
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = self._create(customer, standing, now_ms)
        bucket.fill(now_ms)
        if bucket.customer != customer:
            bucket.set_customer(customer, now_ms)
        is_minority = standing.share <= 0.5
        is_reunited = bucket.is_minority and not is_minority
        bucket.is_minority = is_minority
        may_be_main = standing.is_lessor and now_ms >= bucket.handed_over_until_ms
        if bucket.is_main and not may_be_main:
            self._leave_role(bucket, now_ms)
        elif bucket.is_main and is_reunited:
            # The larger part of the fleet may have had another lessor meanwhile.
            self._leave_role(bucket, now_ms)
            bucket.settles_at_ms = now_ms + SETTLE_MS
        if not may_be_main:
            bucket.settles_at_ms = None
        elif bucket.settles_at_ms is None:
            bucket.settles_at_ms = max(standing.since_ms + SETTLE_MS, now_ms)
        is_settled = may_be_main and now_ms >= bucket.settles_at_ms
        bucket.set_role(bucket.is_main or is_settled, standing.share)
        return bucket

    def _leave_role(self, bucket, now_ms):
        """Cease to grant at the rate; keep the tokens for the next lessor."""
        bucket.left = math.floor(bucket.level), now_ms
        bucket.level = min(0.0, bucket.level)
        bucket.settles_at_ms = None
        bucket.set_role(False, bucket.share)
        bucket.start_anew(now_ms)

    def _create(self, customer, standing, now_ms):
        """Return a new bucket, with what has become due since the hosts changed.

        No host grants for a customer whose bucket its lessor has dropped, so tokens
        have become due even though no bucket counted them.
        """
        bucket = CustomerBucket(self._numbers, customer, now_ms)
        self._buckets[customer.name] = bucket
        settled_ms = now_ms - standing.since_ms - SETTLE_MS
        if standing.is_lessor and settled_ms >= 0:
            bucket.set_role(True, standing.share)
            bucket.filled_at_ms = now_ms - settled_ms
        return bucket
