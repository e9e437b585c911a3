"""Run one proxy, configured by flags and environment variables."""

import signal
import sys
from typing import Annotated

import anyio
import cyclopts
from cyclopts import Parameter

from bronzescale_proxy.checks import require_valid
from bronzescale_proxy.compose import Application
from bronzescale_proxy.conf import Settings
from bronzescale_proxy.exceptions import SettingsError
from bronzescale_proxy.logs import configure_logging

EXIT_INVALID_SETTINGS = 2

app = cyclopts.App(
    name="bronzescale-proxy",
    help="Run one bronzescale proxy. Each flag can be set as a BRONZESCALE_ variable.",
    config=cyclopts.config.Env("BRONZESCALE_", command=False),
)


@app.default
def run(settings: Annotated[Settings, Parameter(name="*")]):
    """Run one proxy until SIGTERM or SIGINT."""
    try:
        require_valid(settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    configure_logging(settings)
    anyio.run(_serve, settings, backend_options={"use_uvloop": True})


async def _serve(settings):
    application = Application(settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, application)
        await application.run()
        tasks.cancel_scope.cancel()


async def _stop_on_signal(application):
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            application.request_stop()


def main():
    """Run the command line."""
    app()
