"""Keep log records about injected faults out of the test output."""

import logging

for _name in ("mysql_mimic", "sqlglot", "bronzescale", "asyncio"):
    logging.getLogger(_name).setLevel(logging.CRITICAL)
