"""The operators' table of log events names each event that the code can log."""

import ast
import re
from pathlib import Path

import testtools

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "OPERATIONS.md"
SOURCES = ("packages/bronzescale-proxy/src/bronzescale_proxy", "platform")
# Methods whose first argument is the event.
LOGGING_METHODS = {"log_decision", "log_state_change", "_log_failure"}
EVENT_NAME = re.compile(r"[a-z]+(_[a-z]+)*")


def logged_events():
    """Return the events that the sources log, by the names in the calls."""
    paths = [path for folder in SOURCES for path in (ROOT / folder).rglob("*.py")]
    calls = [
        node
        for path in paths
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call) and node.args
    ]
    return {
        name
        for call in calls
        if getattr(call.func, "attr", "") in LOGGING_METHODS
        for name in _names(call.args[0])
    }


def _names(argument):
    if isinstance(argument, ast.IfExp):
        return _names(argument.body) | _names(argument.orelse)
    return {argument.value} if isinstance(argument, ast.Constant) else set()


def documented_events():
    """Return the events in the first column of the table."""
    table = PAGE.read_text().split("## Events")[1].split("\n## ")[0]
    rows = [line.split("|")[1] for line in table.splitlines() if line.startswith("|")]
    return {name for row in rows for name in re.findall(r"`([^`]+)`", row)}


class EventDocsTest(testtools.TestCase):
    # Guards against a log line that an operator cannot look up.
    def test_each_event_is_in_the_operators_table(self):
        events = logged_events()
        self.assertTrue(all(EVENT_NAME.fullmatch(event) for event in events), events)
        self.assertEqual(set(), events - documented_events())

    def test_each_documented_event_is_logged(self):
        self.assertEqual(set(), documented_events() - logged_events())
