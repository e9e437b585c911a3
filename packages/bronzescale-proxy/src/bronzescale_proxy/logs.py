"""Configure logging.

A message starts with the name of its component and a colon, as in ``"peers: ..."``.
"""

import json
import logging


class JsonFormatter(logging.Formatter):
    """Format each record as one line of JSON."""

    def __init__(self, node):
        super().__init__()
        self._node = node

    def format(self, record):
        """Return a record as JSON, with its component under ``part``."""
        component, _, text = record.getMessage().partition(": ")
        document = {
            "time_ms": int(record.created * 1_000),
            "level": record.levelname.lower(),
            "node": self._node,
            "part": component,
            "text": text,
        }
        if record.exc_info:
            document["error"] = self.formatException(record.exc_info)
        return json.dumps(document)


def configure_logging(settings):
    """Send the log to standard error.

    Parameters
    ----------
    settings : Settings
        Level, format and name of this node.
    """
    handler = logging.StreamHandler()
    if settings.log_format == "json":
        handler.setFormatter(JsonFormatter(settings.node))
    else:
        line_format = f"%(asctime)s %(levelname)s {settings.node} %(message)s"
        handler.setFormatter(logging.Formatter(line_format))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("bronzescale").setLevel(settings.log_level)
    # These libraries log errors in callers' statements as if the server had failed.
    logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)
    logging.getLogger("sqlglot").setLevel(logging.CRITICAL)
    logging.getLogger("httpx").setLevel(logging.WARNING)
