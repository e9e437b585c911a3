"""Run a deployment in the foreground (``make serve``)."""

import json
import signal
import threading
from pathlib import Path

import cyclopts

from bronzescale_standins.processes import FleetOptions, ProcessFleet

app = cyclopts.App(name="serve", help="Run a deployment until SIGINT or SIGTERM.")


@app.default
def serve(
    file: Path = Path("examples/linjapartio.toml"),
    *,
    proxies: int = 3,
    lag_ms: float = 100.0,
    with_delays: bool = False,
):
    """Start a deployment, print its addresses as a line of JSON and wait.

    SIGINT or SIGTERM stops the deployment.
    """
    options = FleetOptions(file, proxies, with_delays=with_delays, lag_ms=lag_ms)
    stop = threading.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signal_number, lambda *_: stop.set())
    with ProcessFleet(options) as fleet:
        ready_report = {
            "ready": True,
            "callers": fleet.callers(),
            "service": fleet.document["service"][0]["name"],
            "user": fleet.document["user"][0]["name"],
            "platform_url": fleet.platform_url,
        }
        print(json.dumps(ready_report), flush=True)
        stop.wait()


def main():
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
