"""Write a JSON log line for each decision, rate-limited and without blocking."""

import json
import logging
import os
import sys
from collections import deque

from bronzescale_proxy.clock import now_ms, wall_ms

# Bounds the memory held for a slow reader of the output; further lines are dropped and
# counted.
MAX_PENDING_LINES = 2_000


class DecisionLog:
    """Structured log of one process, written to standard output.

    Parameters
    ----------
    node : str
        Name of this node.
    lines_per_s : int
        Rate limit for lines about single requests, and size of a burst.
    """

    def __init__(self, node, lines_per_s):
        self._node = node
        self._lines_per_s = lines_per_s
        self._tokens = float(lines_per_s)
        self._refilled_at_ms = now_ms()
        self._pending = deque()
        self._descriptor = sys.stdout.fileno()
        self.dropped_total = 0
        self._dropped_reported = 0
        os.set_blocking(self._descriptor, False)

    def log_decision(self, event, **fields):
        """Write a line about a decision on a request, unless over the rate limit."""
        if not self._acquire_token():
            self.dropped_total += 1
            return
        self._enqueue(event, fields)

    def log_state_change(self, event, **fields):
        """Write a line about a change of state, regardless of the rate limit."""
        self._enqueue(event, fields)

    def _acquire_token(self):
        now = now_ms()
        refill = (now - self._refilled_at_ms) * self._lines_per_s / 1_000
        self._tokens = min(float(self._lines_per_s), self._tokens + refill)
        self._refilled_at_ms = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _enqueue(self, event, fields):
        line = {"time_ms": wall_ms(), "node": self._node, "event": event, **fields}
        if self.dropped_total > self._dropped_reported:
            line["dropped_before"] = self.dropped_total - self._dropped_reported
            self._dropped_reported = self.dropped_total
        if len(self._pending) >= MAX_PENDING_LINES:
            self.dropped_total += 1
            return
        self._pending.append(json.dumps(line, default=str).encode() + b"\n")
        self.flush()

    def flush(self):
        """Write pending lines until the output would block."""
        while self._pending:
            data = self._pending[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader of the output has closed it; only count the lost lines.
                self.dropped_total += len(self._pending)
                self._pending.clear()
                return
            if written < len(data):
                self._pending[0] = data[written:]
                return
            self._pending.popleft()


class DecisionHandler(logging.Handler):
    """Forward records of the standard `logging` module to the decision log."""

    def __init__(self, log):
        super().__init__()
        self._log = log

    def emit(self, record):
        """Write one record."""
        fields = {"level": record.levelname.lower(), "text": record.getMessage()}
        if record.exc_info:
            fields["error"] = logging.Formatter().formatException(record.exc_info)
        self._log.log_decision(record.name, **fields)


def configure_logging(log):
    """Route the standard `logging` module into the decision log."""
    root = logging.getLogger()
    root.handlers[:] = [DecisionHandler(log)]
    root.setLevel(logging.WARNING)
    logging.getLogger("bronzescale").setLevel(logging.INFO)
