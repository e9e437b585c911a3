"""Count the operations that one host may grant to one customer.

Load answered: permits that hosts ask for ahead of their callers and do not use. They
count again, but never more of them than the bucket could have held without the grant.
"""

import math
from typing import NamedTuple

# A limit holds in any window of this length, with this tolerance.
WINDOW_MS = 5_000
TOLERATED_SHARE = 0.1
TOLERATED_OPERATIONS = 20
# Permits expire after this time, which bounds what is granted before a window and used
# within it.
PERMIT_VALID_MS = 300
# Permits that were not used are credited if they were granted in this period of the
# bucket or in the one before.
PERIOD_MS = 1_000


def tolerated_excess(customer):
    """Return how many operations over the limit a window may hold."""
    operations = customer.rate_per_s * WINDOW_MS / 1_000 + customer.burst
    return operations * TOLERATED_SHARE + TOLERATED_OPERATIONS


def provisional_allowance(customer):
    """Return the size of the bucket from which a host grants that is not the lessor.

    The bucket fills once in `WINDOW_MS`, so that a window holds at most twice its size.
    Together with the permits granted before the window this is the tolerated excess.
    """
    early = customer.rate_per_s * PERMIT_VALID_MS / 1_000
    return (tolerated_excess(customer) - early) / (2 + PERMIT_VALID_MS / WINDOW_MS)


class _Period(NamedTuple):
    """Part of the life of a bucket, and its highest level since."""

    number: int
    peak: float


class CustomerBucket:
    """Tokens of one customer at one host.

    Parameters
    ----------
    numbers : iterator of int
        Gives each period of a bucket a number of its own.
    customer : Customer
        The customer with the limit in force.
    now_ms : int
        Current time.
    """

    def __init__(self, numbers, customer, now_ms):
        self._numbers = numbers
        self.customer = customer
        self.level = 0.0
        self.filled_at_ms = now_ms
        self.share = 0.0
        self.is_main = False
        self.is_minority = False
        # When a lessor that got no bucket from another host may grant at the rate.
        self.settles_at_ms = None
        # Level and time at which this host ceased to be the lessor.
        self.left = None
        self.handed_over_until_ms = 0
        self.asked_at_ms = now_ms
        self.raised_at_ms = now_ms - WINDOW_MS
        # Refused operations whose callers were told a time to come back.
        self.deferred = 0.0
        self.used_per_s = 0.0
        self.start_anew(now_ms)

    @property
    def number(self):
        """Return the number of the present period."""
        return self._periods[-1].number

    @property
    def rate_per_s(self):
        """Return at which rate it fills."""
        if self.is_main:
            return self.main_rate_per_s
        return provisional_allowance(self.customer) * self.share * 1_000 / WINDOW_MS

    @property
    def main_rate_per_s(self):
        """Return at which rate it fills at the customer's lessor."""
        return self.customer.rate_per_s * self.share

    @property
    def capacity(self):
        """Return how many tokens it holds at most."""
        size = self.customer.burst
        if not self.is_main:
            size = provisional_allowance(self.customer)
        return max(1.0, size * self.share)

    def start_anew(self, now_ms):
        """Begin a period that no permits were granted before."""
        self._periods = (_Period(next(self._numbers), self.level),)
        self._period_ends_at_ms = now_ms + PERIOD_MS

    def fill(self, now_ms):
        """Add the tokens that have become due."""
        elapsed_ms = max(0, now_ms - self.filled_at_ms)
        self.filled_at_ms = now_ms
        tokens = self.rate_per_s * elapsed_ms / 1_000
        self.deferred = max(0.0, self.deferred - tokens)
        self.used_per_s *= math.exp(-elapsed_ms / WINDOW_MS)
        self.set_level(self.level + tokens)
        if now_ms >= self._period_ends_at_ms:
            current = _Period(next(self._numbers), self.level)
            self._periods = (self._periods[-1], current)
            self._period_ends_at_ms = now_ms + PERIOD_MS

    def credit(self, tokens, number):
        """Return tokens of a period that were granted and not used.

        The level becomes what it would be without the grant: tokens that the bucket
        could not have held at its highest level since then are lost.

        Returns
        -------
        bool
            Whether the period is one of the last two.
        """
        if all(period.number != number for period in self._periods):
            return False
        if number == self.number:
            peak = self._periods[-1].peak
        else:
            peak = max(period.peak for period in self._periods)
        returned = max(0.0, min(tokens, self.capacity - peak))
        self._periods = tuple(
            period._replace(peak=period.peak + returned) for period in self._periods
        )
        self.set_level(self.level + returned)
        self.used_per_s -= returned * 1_000 / WINDOW_MS
        return True

    def spend(self, tokens):
        """Remove tokens; those that are due soon may be removed in advance."""
        self.level -= tokens
        self.used_per_s += tokens * 1_000 / WINDOW_MS

    def set_customer(self, customer, now_ms):
        """Apply a changed limit.

        A higher burst can be used at once, but only once in a window: a limit that is
        lowered and raised in turn creates no tokens.
        """
        known, self.customer = self.customer, customer
        added = customer.burst - known.burst
        if self.is_main and added > 0 and now_ms - self.raised_at_ms >= WINDOW_MS:
            self.raised_at_ms = now_ms
            self.level += added * self.share
        self.set_level(self.level)
        self.start_anew(now_ms)

    def set_role(self, is_main, share):
        """Change the rate and the capacity from now on."""
        self.is_main = is_main
        self.share = share
        self.set_level(self.level)

    def set_level(self, level):
        """Set how many tokens it holds, at most its capacity."""
        self.level = min(level, self.capacity)
        *earlier, current = self._periods
        peak = max(current.peak, self.level)
        self._periods = (*earlier, current._replace(peak=peak))
