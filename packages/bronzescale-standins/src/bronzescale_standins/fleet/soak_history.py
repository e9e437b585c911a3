"""Check the promises of the fleet over a recorded history."""

from typing import NamedTuple

# Answers that promise that nothing of the request is kept.
PROMISES = frozenset(
    ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY", "NODB")
)
AGE_LIMIT_S = 1.5


class Operation(NamedTuple):
    """One operation of a caller: a read, a save, or a transaction of saves.

    Parameters
    ----------
    caller : int
        Who asked.
    session : int
        Session that it used; a new one after each reconnect.
    route : str
        Database name.
    item : str
        Item that it touched; only one caller saves an item.
    value : int
        Value that it saved or read; -1 for none.
    is_write : bool
        Whether it saved.
    code : str
        ``DONE``, an error word, or ``LOST`` for no answer.
    began_s, ended_s : float
        Monotonic times.
    request_ids : tuple of str
        Requests that belong to it.
    """

    caller: int
    session: int
    route: str
    item: str
    value: int
    is_write: bool
    code: str
    began_s: float
    ended_s: float
    request_ids: tuple


class Violation(NamedTuple):
    """A broken promise."""

    promise: str
    detail: str


def check(operations, group):
    """Return every broken promise of a history.

    Parameters
    ----------
    operations : list of Operation
        What callers saw.
    group : Group
        What the databases saw.

    Returns
    -------
    list of Violation
    """
    checks = (_not_run, _once, _fresh, _replaced, _tokens, _apart, _values)
    return [found for each in checks for found in each(operations, group)]


def _commits(group):
    return [event for event in group.history if event.kind == "commit"]


def _not_run(operations, group):
    committed = {event.request_id for event in _commits(group)}
    for operation in operations:
        kept = committed.intersection(operation.request_ids)
        if operation.is_write and operation.code in PROMISES and kept:
            yield Violation("not run", f"{operation} was committed")


def _once(operations, group):
    seen = set()
    for event in _commits(group):
        if event.request_id in seen:
            yield Violation("once", f"{event} is a second commit")
        seen.add(event.request_id)


def _surviving(group):
    """Return the log of the newest primary as entries by request id."""
    primary = group.primary()
    return {entry.request_id: entry for entry in primary.log} if primary else {}


def _fresh(operations, group):
    """Reads see what their route promises, but for commits rolled back since.

    Places in the log are compared, not values: a save whose answer was lost may land
    after a later one of the same caller.
    """
    surviving = _surviving(group)
    numbers = {
        (item, value): entry.offset
        for entry in surviving.values()
        for item, value in entry.writes
    }
    applied = {
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
        seen = applied.get(read.request_ids[-1], 0)
        if read.value:
            seen = numbers.get((read.item, str(read.value)), seen)
        for write, number in acknowledged.get(read.item, ()):
            if _must_see(read, write) and seen < number:
                yield Violation("fresh", f"{read} at {seen} misses {write} at {number}")
                break


def _must_see(read, write):
    if write.ended_s >= read.began_s:
        return False
    if read.route == "lead":
        return True
    age_s = AGE_LIMIT_S if read.route == "aged" else AGE_LIMIT_S + 1.0
    is_own = read.route == "own" and read.session == write.session
    return is_own or read.began_s - write.ended_s > age_s


def _replaced(operations, group):
    """No save is acknowledged that an old primary committed after a promotion."""
    acknowledged = {
        request
        for operation in operations
        if operation.is_write and operation.code == "DONE"
        for request in operation.request_ids
    }
    leader = None
    for event in group.history:
        if event.kind == "promote":
            leader = event.instance
            continue
        is_old = event.kind == "commit" and leader not in (None, event.instance)
        if is_old and event.request_id in acknowledged:
            yield Violation("replaced", f"{event} while {leader} led")


def _tokens(operations, group):
    newest = 0
    holders = {}
    for event in group.history:
        if event.kind == "order":
            holder, token = event.detail
            if token < newest:
                yield Violation("tokens", f"{token} after {newest}")
            if holders.setdefault(token, holder) != holder:
                yield Violation("tokens", f"{token} of two holders")
            newest = max(newest, token)


def _apart(operations, group):
    """Statements of a transaction run on one connection, and nobody else's between."""
    owner_of = {}
    for operation in operations:
        for request in operation.request_ids:
            owner_of[request] = operation
    places = {}
    for event in group.history:
        operation = owner_of.get(event.request_id)
        is_run = event.kind in ("read", "write", "commit")
        if operation is None or not is_run or len(operation.request_ids) < 2:
            continue
        place = event.instance, event.connection
        if places.setdefault(operation, place) != place:
            yield Violation("apart", f"{operation} ran on {place} too")


def _values(operations, group):
    owner_of = {
        request: operation.caller
        for operation in operations
        for request in operation.request_ids
    }
    for event in group.history:
        if event.kind not in ("read", "write") or event.request_id not in owner_of:
            continue
        values = event.detail[2][0]
        if values.get("who") != str(owner_of[event.request_id]):
            yield Violation("values", f"{event} ran with {values}")
