"""Order waiting statements by urgency, with a small share for the less urgent.

Load answered: statements of several priorities compete, and the urgent ones alone may
exceed the capacity for a long time.
"""

from bronzescale_core.admission import WorkClass
from bronzescale_core.fair_queue import FairQueue

# Share of the work that goes to less urgent statements while more urgent ones wait.
LESS_URGENT_SHARE = 0.1


class PriorityLevels:
    """Waiting statements of one database, a fair queue for each level of urgency.

    A level is a priority of routes, a priority of customers, and whether a statement
    may run at another database; one that may yields to one that may not.

    Parameters
    ----------
    slots : int
        Statements that the database runs concurrently.
    rules : Rules
        Rules to apply.
    """

    def __init__(self, slots, rules):
        self._slots = slots
        self._rules = rules
        self._levels = {}
        self._keys = []
        self._less_urgent_credit_ms = 0.0

    def push(self, waiting):
        """Add a statement."""
        self._level(waiting.request).push(waiting)

    def remove(self, waiting):
        """Remove a statement that waits."""
        self._level(waiting.request).remove(waiting)

    def next(self):
        """Return the next statement; at least one must wait.

        Returns
        -------
        waiting : Waiting
            The statement.
        is_out_of_turn : bool
            Whether it is a less urgent one that uses its share.
        """
        busy = [level for level in map(self._levels.get, self._keys) if level.count]
        if len(busy) > 1 and self._rules.protects_less_urgent:
            waiting = min(busy[1:], key=lambda level: level.last_start_ms).peek()
            if self._less_urgent_credit_ms >= waiting.work.mean_ms:
                return waiting, True
        return busy[0].peek(), False

    def start(self, waiting, is_out_of_turn, now_ms):
        """Remove a statement that `next` returned, and charge it to the shares."""
        level = self._level(waiting.request)
        level.start(waiting, now_ms)
        work_ms = waiting.work.mean_ms
        if is_out_of_turn:
            self._less_urgent_credit_ms -= work_ms
        elif any(each.count for each in self._levels.values() if each is not level):
            self._less_urgent_credit_ms += LESS_URGENT_SHARE * work_ms
        else:
            self._less_urgent_credit_ms = 0.0

    def record_start(self, waiting, now_ms):
        """Count a statement that starts without having waited."""
        self._level(waiting.request).record_start(waiting.work.mean_ms, now_ms)

    def find_last(self, request):
        """Return the last statement that is less urgent than a request, or None."""
        key = self._key(request)
        for other in reversed(self._keys):
            if other <= key:
                return None
            if self._levels[other].count:
                return self._levels[other].last()
        return None

    def in_order(self):
        """Yield, for each level and customer, urgent work and statements in order.

        Yields
        ------
        urgent_ms : float
            Work of the more urgent levels.
        statements : list of Waiting
            Statements of one customer.
        """
        for key in self._keys:
            for statements in self._levels[key].in_order():
                yield self._work_before_ms(key), statements

    def wait_ms(self, urgent_ms, own_ms, slots):
        """Return the time until work ahead is done.

        Parameters
        ----------
        urgent_ms : float
            Work of more urgent levels.
        own_ms : float
            Work of the same level.
        slots : float
            Slots that do this work.

        Returns
        -------
        float
            The time in ms; less if the share of the level does its work earlier.
        """
        wait_ms = (urgent_ms + own_ms) / slots
        if self._rules.protects_less_urgent:
            wait_ms = min(wait_ms, own_ms / (LESS_URGENT_SHARE * self._slots))
        return wait_ms

    def expect(self, waiting, now_ms):
        """Return the work ahead of a statement and the time until it is done, in ms."""
        key = self._key(waiting.request)
        urgent_ms = self._work_before_ms(key)
        own_ms = self._level(waiting.request).work_ahead_ms(waiting)
        wait_ms = self.wait_ms(urgent_ms, own_ms, self._free_slots(key, now_ms))
        return urgent_ms + own_ms, wait_ms

    def expect_newcomer_ms(self, priority, work_ms, now_ms):
        """Return the wait for a priority of a customer of whom nothing waits."""
        key = (priority,)
        own_ms = sum(
            self._levels[other].newcomer_work_ms(work_ms)
            for other in self._keys
            if other[0] == priority
        )
        slots = self._free_slots(key, now_ms)
        return self.wait_ms(self._work_before_ms(key), own_ms, slots)

    def snapshot(self):
        """Return statements and work by priority, and work by customer."""
        by_priority, by_customer = {}, {}
        for key, level in self._levels.items():
            count, work_ms = by_priority.get(key[0], (0, 0.0))
            by_priority[key[0]] = count + level.count, work_ms + level.work_ms
            for name, customer_ms in level.work_by_customer().items():
                by_customer[name] = by_customer.get(name, 0.0) + customer_ms
        return by_priority, by_customer

    def _level(self, request):
        key = self._key(request)
        level = self._levels.get(key)
        if level is None:
            level = self._levels[key] = FairQueue(self._rules.shares_fairly)
            self._keys = sorted(self._levels)
        return level

    def _key(self, request):
        if not self._rules.orders_by_priority:
            return (0, 0, False)
        may_run_elsewhere = request.ticket_class == WorkClass.READ
        return request.priority, request.customer_priority, may_run_elsewhere

    def _work_before_ms(self, key):
        return sum(self._levels[other].work_ms for other in self._keys if other < key)

    def _free_slots(self, key, now_ms):
        """Return how many slots a level gets while more urgent statements come."""
        if not self._rules.expects_urgent:
            return self._slots
        urgent = sum(
            self._levels[other].busy_slots(now_ms)
            for other in self._keys
            if other < key
        )
        return max(LESS_URGENT_SHARE * self._slots, self._slots - urgent)
