"""Choose the databases that may serve a statement, best first."""

from typing import NamedTuple

from bronzescale_core.statements import ConsistencyMode, StatementKind

# After a failure, a database is ordered last until this time has passed.
PENALTY_MS = 1_000


class Location(NamedTuple):
    """Availability zone and region of a node."""

    zone: str
    region: str


class Candidate(NamedTuple):
    """A database that may serve a statement.

    Parameters
    ----------
    upstream : Upstream
        The database.
    may_wait : bool
        Whether a statement may wait there for the log to reach the session's position.
    """

    upstream: object
    may_wait: bool


def distance(upstream, location):
    """Return 0 in the same zone, 1 in the same region, 2 elsewhere.

    Parameters
    ----------
    upstream : Upstream
        The database.
    location : Location
        Location of the node where the statement arrived.

    Returns
    -------
    int
    """
    if upstream.zone == location.zone:
        return 0
    return 1 if upstream.region == location.region else 2


class Router:
    """Order databases by role, distance and recent failures.

    Parameters
    ----------
    location : Location
        Location of this node.
    """

    def __init__(self, location):
        self._location = location
        self._penalised_until_ms = {}

    def penalise(self, upstream, now_ms):
        """Order a database last for `PENALTY_MS` after a failure.

        Parameters
        ----------
        upstream : str
            Name of the database that failed.
        now_ms : int
            Current time.
        """
        self._penalised_until_ms[upstream] = now_ms + PENALTY_MS

    def candidates(self, request, upstreams, primary, now_ms):
        """Return the databases to try, in order.

        Parameters
        ----------
        request : StatementRequest
            The statement.
        upstreams : iterable of Upstream
            Databases of the service.
        primary : str
            Name of the primary.
        now_ms : int
            Current time.

        Returns
        -------
        list of Candidate
        """
        is_read = request.kind in (StatementKind.READ, StatementKind.BEGIN_READ_ONLY)
        needs_primary = request.consistency.mode is ConsistencyMode.PRIMARY
        if not is_read or needs_primary:
            primaries = [u for u in upstreams if u.name == primary]
            return [Candidate(u, may_wait=False) for u in primaries]
        return self._read_candidates(upstreams, primary, now_ms)

    def _read_candidates(self, upstreams, primary, now_ms):
        def sort_key(upstream):
            distance_class = distance(upstream, self._location)
            is_primary = upstream.name == primary
            is_penalised = self._penalised_until_ms.get(upstream.name, 0) > now_ms
            return (
                is_penalised,
                distance_class == 2,
                is_primary,
                distance_class,
                upstream.name,
            )

        usable = [u for u in upstreams if not u.is_leaving]
        ordered = sorted(usable or upstreams, key=sort_key)
        first_replica = next((u.name for u in ordered if u.name != primary), "")
        return [Candidate(u, may_wait=u.name == first_replica) for u in ordered]
