"""Check the guarantees of the fleet against the recorded history of a run."""

from typing import NamedTuple

# Errors that guarantee that nothing of the request was committed.
NOT_COMMITTED_CODES = frozenset(
    (
        "BUSY",
        "ABORTED",
        "LAGGING",
        "READONLY",
        "WRONGNODE",
        "TOOMANY",
        "NODB",
        "NOAUTH",
    )
)
# A withdrawn key may work, and a new one may be refused, for so long after the write:
# the longest faults suspend a host for 4 s, or take the store away and return it from a
# copy that lacks the write.
KEY_CHANGE_S = 10.0
# Equals max_staleness_ms of route "aged"; that of route "own" is 1 s longer.
MAX_STALENESS_S = 1.5


class Operation(NamedTuple):
    """One operation of a caller: a read, a write, or a transaction that writes.

    Parameters
    ----------
    caller : int
        Number of the caller.
    session : tuple of int
        Number of the caller and of its session; each reconnect opens another session.
    route : str
        Database name that the caller connected to.
    item : str
        Item that was read or written; each item is written by one caller only.
    value : int
        Value that was written or read; -1 for none.
    is_write : bool
        Whether the operation writes.
    code : str
        ``DONE``, an error code, or ``LOST`` for no answer.
    began_s, ended_s : float
        Monotonic times of the start and the end.
    request_ids : tuple of str
        Ids of the requests of the operation, in order.
    key : str
        Customer's key that the session was opened with.
    node : str
        Node that served the session.
    expected : tuple of (str, tuple of (str, str), str)
        For each request: its id, and the session values, sorted by name, and the shape
        of a prepared statement that it must run with.
    unanswered : str
        Id of the request that was sent and got no answer; empty for none.
    """

    caller: int
    session: tuple
    route: str
    item: str
    value: int
    is_write: bool
    code: str
    began_s: float
    ended_s: float
    request_ids: tuple
    key: str = ""
    node: str = ""
    expected: tuple = ()
    unanswered: str = ""


class Violation(NamedTuple):
    """A violated guarantee."""

    guarantee: str
    detail: str


def check(operations, group, customer_versions=()):
    """Return every violated guarantee of a run.

    Parameters
    ----------
    operations : list of Operation
        Operations and answers, as recorded by the callers.
    group : Group
        Databases with the history that they recorded.
    customer_versions : sequence of (float, dict)
        Times at which customers were written to the store, with the keys of each;
        empty for a run without customers.

    Returns
    -------
    list of Violation
    """
    checks = (
        _check_refused_writes,
        _check_single_commits,
        _check_freshness,
        _check_replaced_primaries,
        _check_fencing_tokens,
        _check_transactions,
        _check_session_values,
        _check_commits,
    )
    violations = [
        violation for run_check in checks for violation in run_check(operations, group)
    ]
    if customer_versions:
        violations += _check_customers(operations, group, customer_versions)
    return violations


def _commit_events(group):
    return [event for event in group.history if event.kind == "commit"]


def _check_refused_writes(operations, group):
    """Check that no write was committed whose error code says that it was not."""
    committed = {event.request_id for event in _commit_events(group)}
    for operation in operations:
        own_commits = committed.intersection(operation.request_ids)
        if operation.is_write and operation.code in NOT_COMMITTED_CODES and own_commits:
            yield Violation("not run", f"{operation} was committed")


def _check_single_commits(operations, group):
    """Check that no request was committed twice."""
    seen = set()
    for event in _commit_events(group):
        if event.request_id in seen:
            yield Violation("once", f"{event} is a second commit")
        seen.add(event.request_id)


def _surviving_entries(group):
    """Return the log entries of the newest primary by request id."""
    primary = group.primary()
    return {entry.request_id: entry for entry in primary.log} if primary else {}


def _check_freshness(operations, group):
    """Check that reads see the writes that their route guarantees.

    Acknowledged commits that a change of primary rolled back are left out. The check
    compares offsets in the log instead of values, because a write whose answer was lost
    may be committed after a later write of the same caller.
    """
    surviving = _surviving_entries(group)
    offsets = {
        (item, value): entry.offset
        for entry in surviving.values()
        for item, value in entry.writes
    }
    applied_counts = {
        event.request_id: event.detail[2][3]
        for event in group.history
        if event.kind == "read"
    }
    acknowledged = {}
    for write in operations:
        if write.is_write and write.code == "DONE":
            entry = surviving.get(write.request_ids[-1])
            if entry is not None:
                acknowledged.setdefault(write.item, []).append((write, entry.offset))
    for read in operations:
        if read.is_write or read.code != "DONE":
            continue
        seen_offset = applied_counts.get(read.request_ids[-1], 0)
        if read.value:
            seen_offset = offsets.get((read.item, str(read.value)), seen_offset)
        for write, offset in acknowledged.get(read.item, ()):
            if _must_see(read, write) and seen_offset < offset:
                yield Violation(
                    "fresh", f"{read} at {seen_offset} misses {write} at {offset}"
                )
                break


def _must_see(read, write):
    """Return whether the route of a read guarantees that it sees a write."""
    if write.ended_s >= read.began_s:
        return False
    if read.route == "lead":
        return True
    max_age_s = MAX_STALENESS_S if read.route == "aged" else MAX_STALENESS_S + 1.0
    is_own = read.route == "own" and read.session == write.session
    return is_own or read.began_s - write.ended_s > max_age_s


def _check_replaced_primaries(operations, group):
    """Check that no commit of a replaced primary was acknowledged.

    Such a commit is lost when the old primary adopts the log of the new one.
    """
    acknowledged = {
        request
        for operation in operations
        if operation.is_write and operation.code == "DONE"
        for request in operation.request_ids
    }
    primary = None
    for event in group.history:
        if event.kind == "promote":
            primary = event.instance
            continue
        is_old = event.kind == "commit" and primary not in (None, event.instance)
        if is_old and event.request_id in acknowledged:
            yield Violation("replaced", f"{event} while {primary} was primary")


def _check_fencing_tokens(operations, group):
    """Check that tokens of promotions never decrease and have one holder each."""
    newest = 0
    holders = {}
    for event in group.history:
        if event.kind == "order":
            holder, token = event.detail
            if token < newest:
                yield Violation("tokens", f"{token} after {newest}")
            if holders.setdefault(token, holder) != holder:
                yield Violation("tokens", f"{token} has two holders")
            newest = max(newest, token)


def _check_transactions(operations, group):
    """Check that all statements of a transaction run on one connection."""
    operations_by_request = {}
    for operation in operations:
        for request in operation.request_ids:
            operations_by_request[request] = operation
    connections = {}
    for event in group.history:
        operation = operations_by_request.get(event.request_id)
        is_run = event.kind in ("read", "write", "commit")
        if operation is None or not is_run or len(operation.request_ids) < 2:
            continue
        connection = event.instance, event.connection
        if connections.setdefault(operation, connection) != connection:
            yield Violation("apart", f"{operation} also ran on {connection}")


def _check_session_values(operations, group):
    """Check that statements run with the session of their own caller.

    The values and the prepared shape are those that were acknowledged last.
    """
    expected = {
        request: (values, shape)
        for operation in operations
        for request, values, shape in operation.expected
    }
    for event in group.history:
        if event.kind not in ("read", "write") or event.request_id not in expected:
            continue
        values, shape = event.detail[2][:2]
        found = tuple(sorted(values.items())), shape
        if found != expected[event.request_id]:
            wanted = expected[event.request_id]
            yield Violation("values", f"{event} ran with {found}, not {wanted}")


def _check_commits(operations, group):
    """Check that a commit holds the writes of its own caller, who asked for it."""
    callers_by_request = {
        request: operation.caller
        for operation in operations
        for request in operation.request_ids
    }
    for event in _commit_events(group):
        caller = callers_by_request.get(event.request_id)
        items = {item for item, _ in event.detail.writes}
        if caller is not None and items != {f"i{caller}"}:
            yield Violation("mixed", f"{event} holds {items} for caller {caller}")


def find_cut_off(operations, group, node, began_s, ended_s):
    """Return the violations of a planned stop of a node with no other disturbance.

    A request that ran at a database must be answered.

    Parameters
    ----------
    operations : list of Operation
        Operations of the callers.
    group : Group
        Databases with their history.
    node : str
        Node that was stopped.
    began_s, ended_s : float
        Monotonic times of the signal and of the end of the process.

    Returns
    -------
    list of Violation
    """
    ran = {
        event.request_id
        for event in group.history
        if event.kind in ("read", "write", "commit", "empty_commit")
    }
    return [
        Violation("cut off", f"{operation} ran while {node} stopped")
        for operation in operations
        if operation.node == node
        and began_s <= operation.ended_s <= ended_s + 1
        and operation.unanswered in ran
    ]


def _check_customers(operations, group, versions):
    """Check that statements run as the customer that holds their caller's key.

    Nothing of a key that nobody holds may run, and no key that is held all the time may
    be refused.
    """
    operations_by_request = {
        request: operation
        for operation in operations
        for request in operation.request_ids
    }
    for event in group.history:
        operation = operations_by_request.get(event.request_id)
        if operation is None or event.kind not in ("read", "write", "commit"):
            continue
        customer = group.customer_by_connection[event.connection]
        if customer not in _holders(operation, versions):
            yield Violation("customer", f"{event} of {operation} ran for {customer}")
    for operation in operations:
        if operation.code == "NOAUTH" and None not in _holders(operation, versions):
            yield Violation("locked out", f"{operation} with a key that was held")


def _holders(operation, versions):
    """Return who may have held an operation's key for a host; None for nobody."""
    ends_s = [written_s for written_s, _ in versions[1:]] + [float("inf")]
    return {
        next((name for name, keys in version.items() if operation.key in keys), None)
        for (written_s, version), end_s in zip(versions, ends_s, strict=True)
        if written_s <= operation.ended_s and end_s >= operation.began_s - KEY_CHANGE_S
    }
