"""Derive from the configuration how statements compete for the slots of a database."""

from typing import NamedTuple

from bronzescale_core.admission import WorkClass
from bronzescale_core.fair_queue import Request

# Less urgent priorities count as this one, which bounds queues, metrics and reports.
LOWEST_PRIORITY = 7
# Priority of statements without a customer; that of a customer that declares none.
DEFAULT_CUSTOMER_PRIORITY = 1


class CustomerShare(NamedTuple):
    """What a customer gets among statements of equal routes.

    Parameters
    ----------
    priority : int
        Priority; 0 is the most urgent.
    weight : float
        Share relative to others of the same priority.
    """

    priority: int = DEFAULT_CUSTOMER_PRIORITY
    weight: float = 1.0


class SchedulingPolicy(NamedTuple):
    """How statements compete.

    Parameters
    ----------
    shares : dict of str to CustomerShare
        Shares of the declared customers.
    targets_ms : dict of str to int
        Latency objective of each declared route.
    priorities : int
        Number of priorities, from 0, of the declared routes.
    """

    shares: dict
    targets_ms: dict
    priorities: int


_NO_POLICY = SchedulingPolicy({}, {}, LOWEST_PRIORITY + 1)


def find_policy(configuration):
    """Return the policy that a configuration calls for.

    Parameters
    ----------
    configuration : Configuration or None
        The configuration that is in force.

    Returns
    -------
    SchedulingPolicy or None
        None unless it declares customers, or marks a route as the most urgent one.
    """
    if configuration is None:
        return None
    priorities = [route.priority for route in configuration.routes.values()]
    if not configuration.customers and 0 not in priorities:
        return None
    count = min(max(priorities, default=0), LOWEST_PRIORITY) + 1
    shares = _find_shares(configuration.customers.values())
    targets_ms = {name: route.target_ms for name, route in configuration.routes.items()}
    return SchedulingPolicy(shares, targets_ms, count)


def _find_shares(customers):
    """Return each customer's share; a declared rate is what it is entitled to."""
    rates = [c.rate_per_s for c in customers if c.rate_per_s > 0]
    mean_rate = sum(rates) / len(rates) if rates else 1.0
    return {
        customer.name: CustomerShare(
            _clamp(customer.priority),
            customer.rate_per_s / mean_rate if customer.rate_per_s > 0 else 1.0,
        )
        for customer in customers
    }


def build_request(work, policy=None):
    """Return the request for a slot of a statement.

    Parameters
    ----------
    work : Work
        The statement.
    policy : SchedulingPolicy or None
        Policy in force.

    Returns
    -------
    Request
    """
    policy = policy or _NO_POLICY
    share = policy.shares.get(work.customer, CustomerShare())
    target_ms = policy.targets_ms.get(work.route, 0)
    target_at_ms = work.received_at_ms + target_ms if target_ms else work.deadline_ms
    needs_primary = work.is_write or work.needs_lead
    return Request(
        WorkClass.WRITE if needs_primary else WorkClass.READ,
        work.deadline_ms,
        target_at_ms,
        _clamp(work.priority),
        work.customer,
        share.priority,
        share.weight,
        kind_of(work),
    )


def kind_of(work):
    """Return the kind of a statement by which its work is estimated."""
    return work.route, work.is_write, work.step


def _clamp(priority):
    return min(max(priority, 0), LOWEST_PRIORITY)
