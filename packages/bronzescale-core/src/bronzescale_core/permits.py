"""Use the permits that one host holds for a customer.

Load answered: many callers of a customer at one host. They share one request for
permits at a time, and one that is refused keeps the others from asking again before
there can be room. When the lessor has just started or changed, callers below the limit
find no token for a moment; an operation whose token is due well before its deadline
waits for it at its host instead of being refused.
"""

import math
from typing import NamedTuple

from bronzescale_core.allowances import (
    MAX_RETRY_MS,
    MAX_WAIT_MS,
    Ask,
)
from bronzescale_core.contacts import CONTACT_TIMEOUT_MS
from bronzescale_core.customer_bucket import PERMIT_VALID_MS

# Time over which the demand at a host is averaged.
DEMAND_MS = 1_000
# Demand of this time is asked for in advance; a host with less than one operation in it
# asks for each operation.
PREFETCH_MS = 200
# Longest time during which a host refuses by itself what the lessor has refused.
# Another host may have returned permits, or the limit may have been raised, since.
MAX_CLOSED_MS = 250
# Pause between two requests for operations that wait for the same tokens.
MIN_ASK_PAUSE_MS = 50
# Share of the time left that an operation may wait for its permit; the rest is left for
# running it.
WAIT_SHARE = 0.5
# Time without an answer of any lessor after which a host uses its own share of the
# limit. By then each of the others uses no more than its own.
OWN_SHARE_AFTER_MS = CONTACT_TIMEOUT_MS + 1_000


class _Batch(NamedTuple):
    """Permits of one grant that are not used yet."""

    count: int
    granted_at_ms: int
    period: int


class Permit(NamedTuple):
    """A permit that an operation uses.

    Parameters
    ----------
    customer : str
        Name of the customer.
    period : int
        Period of the lessor's bucket in which it was granted; 0 if it is not to be
        returned.
    """

    customer: str
    period: int


def patience_ends_ms(deadline_ms, now_ms):
    """Return until when an operation that arrives now may wait for its permit.

    Parameters
    ----------
    deadline_ms : int
        When the operation must have ended.
    now_ms : int
        Current time.

    Returns
    -------
    int
    """
    return now_ms + max(0, math.floor((deadline_ms - now_ms) * WAIT_SHARE))


class Wallet:
    """Permits of one customer at one host.

    Parameters
    ----------
    customer : Customer
        The customer with the limit in force.
    now_ms : int
        Current time.
    """

    def __init__(self, customer, now_ms):
        self.customer = customer
        self.used_at_ms = now_ms
        self._batches = []
        self._unused = 0
        self._unused_period = 0
        self._demand_per_s = 0.0
        self._demand_at_ms = now_ms
        self._closed_until_ms = 0
        # When the next token that no other operation waits for is expected.
        self._token_due_at_ms = 0.0
        self._retry_at_ms = 0.0
        self._silent_since_ms = None
        self._own_tokens = 0.0
        self._own_filled_at_ms = 0

    def set_customer(self, customer):
        """Apply the limit in force; a changed one is asked for at once."""
        if customer != self.customer:
            self.customer = customer
            self._closed_until_ms = 0

    def record_demand(self, now_ms):
        """Count an operation that arrived."""
        self.used_at_ms = now_ms
        elapsed_ms = max(0, now_ms - self._demand_at_ms)
        self._demand_at_ms = now_ms
        self._demand_per_s *= math.exp(-elapsed_ms / DEMAND_MS)
        self._demand_per_s += 1_000 / DEMAND_MS

    def take(self, now_ms):
        """Use a permit in hand.

        Returns
        -------
        Permit or None
            None if there is none.
        """
        self._expire(now_ms)
        if not self._batches:
            return None
        batch = self._batches[0]
        if batch.count > 1:
            self._batches[0] = batch._replace(count=batch.count - 1)
        else:
            del self._batches[0]
        return Permit(self.customer.name, batch.period)

    def add_unused(self, count, period):
        """Note that permits will not be used, for the next request."""
        if period != self._unused_period:
            self._unused = 0
        self._unused_period = period
        self._unused += count

    def pause_ms(self, now_ms):
        """Return how long this host does not ask; 0 if it may ask now."""
        return max(0, self._closed_until_ms - now_ms)

    def can_wait(self, ahead, until_ms, now_ms):
        """Return whether an operation can expect a permit in time.

        Parameters
        ----------
        ahead : int
            Operations at this host that get a permit before it.
        until_ms : int
            When it gives up waiting.
        now_ms : int
            Current time.

        Returns
        -------
        bool
        """
        return self._due_at_ms(ahead, now_ms) <= until_ms

    def _due_at_ms(self, ahead, now_ms):
        """Return when the permit behind a number of others is expected."""
        first_at_ms = max(self._token_due_at_ms, self._closed_until_ms, now_ms)
        return first_at_ms + ahead * 1_000 / self.customer.rate_per_s

    def ask(self, waiting, now_ms, asked_before=0):
        """Return the request for a number of waiting operations.

        Unused permits count as reported from now on, even if the request is lost.
        """
        self._expire(now_ms)
        ahead = math.floor(self._demand_per_s * PREFETCH_MS / 1_000)
        ask = Ask(
            waiting, waiting + ahead, self._unused, self._unused_period, asked_before
        )
        self._unused = 0
        return ask

    def receive(self, grant, asked_at_ms, waiting, now_ms):
        """Store the permits of an answer; return how many operations may run.

        Parameters
        ----------
        grant : Grant
            The answer.
        asked_at_ms : int
            When the request was sent; permits expire after that.
        waiting : int
            Operations that were asked for and still wait.
        now_ms : int
            Current time.

        Returns
        -------
        int
        """
        self._silent_since_ms = None
        if grant.retry_after_ms:
            self._close(grant.retry_after_ms, now_ms)
        else:
            self._token_due_at_ms = now_ms
        # Waiting operations run as soon as the tokens are due. Others must not be kept
        # beyond the time that the lessor counts with.
        is_valid = now_ms - asked_at_ms <= PERMIT_VALID_MS
        permits = grant.permits if is_valid else 0
        served = min(waiting, permits)
        left = permits - served
        if left and grant.wait_ms:
            self.add_unused(left, grant.period)
        elif left:
            self._batches.append(_Batch(left, asked_at_ms, grant.period))
        return served

    def retry_after_ms(self, waiting, now_ms):
        """Return when the next refused caller should come back.

        Callers get different times, as far apart as the rate allows operations, and
        none before those that wait here have their permits.
        """
        earliest_ms = self._due_at_ms(waiting, now_ms)
        latest_ms = now_ms + MAX_RETRY_MS
        if not earliest_ms <= self._retry_at_ms <= latest_ms:
            self._retry_at_ms = earliest_ms
        retry_after_ms = max(1, math.ceil(self._retry_at_ms - now_ms))
        self._retry_at_ms += 1_000 / self.customer.rate_per_s
        return retry_after_ms

    def fall_back(self, host_count, now_ms):
        """Use this host's own share of the limit; return whether there is room.

        Parameters
        ----------
        host_count : int
            Registered hosts.
        now_ms : int
            Current time. No host that can be the lessor answers.

        Returns
        -------
        bool
        """
        if self._silent_since_ms is None:
            self._silent_since_ms = now_ms
            self._own_tokens = 0.0
            self._own_filled_at_ms = now_ms + OWN_SHARE_AFTER_MS
        rate_per_s = self.customer.rate_per_s / host_count
        elapsed_ms = max(0, now_ms - self._own_filled_at_ms)
        self._own_filled_at_ms = max(self._own_filled_at_ms, now_ms)
        size = max(1.0, self.customer.burst / host_count)
        self._own_tokens = min(size, self._own_tokens + rate_per_s * elapsed_ms / 1_000)
        if self._own_tokens >= 1:
            self._own_tokens -= 1
            return True
        missing_ms = (1 - self._own_tokens) * 1_000 / rate_per_s
        begins_in_ms = max(0, self._own_filled_at_ms - now_ms)
        self._close(begins_in_ms + math.ceil(missing_ms), now_ms)
        return False

    def is_idle(self, idle_ms, now_ms):
        """Return whether it can be dropped."""
        self._expire(now_ms)
        return not self._batches and now_ms - self.used_at_ms > idle_ms

    def _close(self, retry_after_ms, now_ms):
        """Refuse operations until another request can succeed."""
        closed_ms = min(MAX_CLOSED_MS, retry_after_ms - MAX_WAIT_MS)
        self._closed_until_ms = now_ms + max(MIN_ASK_PAUSE_MS, closed_ms)
        self._token_due_at_ms = now_ms + retry_after_ms
        self._retry_at_ms = max(self._retry_at_ms, now_ms + retry_after_ms)

    def _expire(self, now_ms):
        while self._batches:
            batch = self._batches[0]
            if now_ms - batch.granted_at_ms <= PERMIT_VALID_MS:
                return
            del self._batches[0]
            self.add_unused(batch.count, batch.period)
