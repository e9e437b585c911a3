"""Run the demo's fleet in the foreground: make serve."""

import json
import signal
import threading
from pathlib import Path

import cyclopts

from bronzescale_standins.processes import FleetOptions, ProcessFleet

app = cyclopts.App(name="serve", help="Run a deployment until SIGINT.")


@app.default
def serve(
    file: Path = Path("examples/linjapartio.toml"),
    *,
    proxies: int = 3,
    lag_ms: float = 100.0,
    with_delays: bool = False,
):
    """Start a deployment, print one line of JSON and wait for SIGINT."""
    options = FleetOptions(file, proxies, with_delays=with_delays, lag_ms=lag_ms)
    stop = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stop.set())
    with ProcessFleet(options) as fleet:
        line = {
            "ready": True,
            "callers": fleet.callers(),
            "service": fleet.document["service"][0]["name"],
            "user": fleet.document["user"][0]["name"],
            "platform_url": fleet.platform_url,
        }
        print(json.dumps(line), flush=True)
        stop.wait()


def main():
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
