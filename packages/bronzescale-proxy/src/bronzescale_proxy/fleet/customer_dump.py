"""Describe the customers for operators."""

from collections import Counter

# Customers that a dump lists; a fleet may have thousands.
MAX_LISTED_CUSTOMERS = 20


def dump_customers(node):
    """Return how many customers there are, and those with the most connections.

    Parameters
    ----------
    node : FleetNode
        Shared state of this node.

    Returns
    -------
    dict
        Names, limits and connections from this node to databases; no keys.
    """
    configuration = node.configuration
    declared = configuration.customers if configuration is not None else {}
    counts = Counter()
    for owner in node.owners():
        counts.update(owner.connection_counts())
    largest = sorted(
        declared.values(),
        key=lambda customer: (-counts[customer.name], customer.name),
    )
    return {
        "declared": len(declared),
        "findings": len(configuration.findings) if configuration is not None else 0,
        "connections": counts.total(),
        "largest": [
            {**customer._asdict(), "connections": counts[customer.name]}
            for customer in largest[:MAX_LISTED_CUSTOMERS]
        ],
    }
