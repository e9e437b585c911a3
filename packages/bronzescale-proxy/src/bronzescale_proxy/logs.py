"""Set up logging: short sentences, a fixed prefix for each part."""

import json
import logging


class JsonFormatter(logging.Formatter):
    """Write each record as one line of JSON."""

    def __init__(self, node):
        super().__init__()
        self._node = node

    def format(self, record):
        """Return the line for a record."""
        part, _, text = record.getMessage().partition(": ")
        document = {
            "time_ms": int(record.created * 1_000),
            "level": record.levelname.lower(),
            "node": self._node,
            "part": part,
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
        layout = f"%(asctime)s %(levelname)s {settings.node} %(message)s"
        handler.setFormatter(logging.Formatter(layout))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("bronzescale").setLevel(settings.log_level)
    # These libraries report each caller's error as a fault of the server.
    logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)
    logging.getLogger("sqlglot").setLevel(logging.CRITICAL)
    logging.getLogger("httpx").setLevel(logging.WARNING)
