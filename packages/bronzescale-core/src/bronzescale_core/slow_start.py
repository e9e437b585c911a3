"""Limit the reads in flight at a database that has just become usable again.

The load that this answers: a replica returns while the others are overloaded, and all
reads turn to it in the same moment, although its caches are cold. As in TCP's slow
start, a host has one read in flight there, and one more after each that was answered.
"""

# Time after which a database that got no reads is used like the others.
SLOW_START_MS = 1_000


class SlowStart:
    """Databases on which one host starts slowly."""

    def __init__(self):
        self._windows = {}

    def begin(self, instance, now_ms):
        """Start slowly on a database from now on."""
        self._windows[instance] = (1, now_ms + SLOW_START_MS)

    def record_answer(self, instance, slots):
        """Record that the database answered a read; end the slow start if wide enough.

        Parameters
        ----------
        instance : str
            The database.
        slots : int
            Statements that it runs concurrently.
        """
        if instance not in self._windows:
            return
        window, until_ms = self._windows[instance]
        if window >= slots:
            del self._windows[instance]
        else:
            self._windows[instance] = (window + 1, until_ms)

    def is_full(self, instance, in_flight, now_ms):
        """Return whether a further read should rather go to another database.

        Parameters
        ----------
        instance : str
            The database.
        in_flight : int
            Statements of this host that it has not answered yet.
        now_ms : int
            Current time.

        Returns
        -------
        bool
        """
        window, until_ms = self._windows.get(instance, (0, 0))
        return now_ms < until_ms and in_flight >= window
