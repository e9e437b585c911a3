"""Keep unexpected errors of one task from ending the process.

An error that no other code handles is logged with its place in the code. A task that
runs for the life of the process then starts again; a connection is closed.
"""

import traceback

import anyio

# Keeps a task that fails at once from using up the processor.
RESTART_DELAY_S = 0.5


class SupervisedTasks:
    """Task group whose tasks cannot end the process.

    Parameters
    ----------
    tasks : anyio.abc.TaskGroup
        Runs the tasks.
    log : DecisionLog
        Receives the errors.
    """

    def __init__(self, tasks, log):
        self._tasks = tasks
        self._log = log

    def start_soon(self, function, *args):
        """Start a task; an error ends only this task."""
        self._tasks.start_soon(run_once, self._log, function, *args)

    def keep_running(self, function, *args):
        """Start a task that runs until cancelled, and again after an error."""
        self._tasks.start_soon(self._run_until_cancelled, function, *args)

    async def _run_until_cancelled(self, function, *args):
        while not await run_once(self._log, function, *args):
            await anyio.sleep(RESTART_DELAY_S)


async def run_once(log, function, *args):
    """Run a task and log an unexpected error.

    Returns
    -------
    bool
        Whether it ended without an error.
    """
    try:
        await function(*args)
    except Exception as error:
        log.log_state_change(
            "task_failed",
            task=getattr(function, "__qualname__", repr(function)),
            **describe_error(error),
        )
        return False
    return True


def guard_handler(log, handler):
    """Return a connection handler whose errors close only its own connection."""

    async def handle(stream):
        try:
            await run_once(log, handler, stream)
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    handle.__qualname__ = handler.__qualname__
    return handle


def describe_error(error):
    """Return the fields of a log line about an unexpected error."""
    return {"reason": repr(error), "at": _innermost_frames(error)}


def _innermost_frames(error):
    """Return where an error, or the first of a group of errors, was raised."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)[-3:]
    return [f"{frame.name}:{frame.lineno}" for frame in frames] + [repr(error)]
