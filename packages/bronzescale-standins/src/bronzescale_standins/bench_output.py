"""Run measurements and print their figures."""

import json
from pathlib import Path
from typing import Annotated

import anyio
from cyclopts import Parameter

AsJson = Annotated[bool, Parameter(name="--json", negative="")]
DEFAULT_FILE = Path("examples/linjapartio.toml")


def run_measure(measure, fleet, *arguments):
    """Run an asynchronous measurement of a fleet.

    Parameters
    ----------
    measure : callable
        ``async (fleet, *arguments)``.
    fleet : ProcessFleet
        The fleet.
    *arguments : tuple
        What else the measurement takes.

    Returns
    -------
    object
        What the measurement returned.
    """
    return anyio.run(measure, fleet, *arguments, backend_options={"use_uvloop": True})


def show(title, rows, as_json):
    """Print rows of figures.

    Parameters
    ----------
    title : str
        Name of the measurement.
    rows : list of dict
        Figures by name, with their units.
    as_json : bool
        Print one line of JSON.
    """
    if as_json:
        print(json.dumps({title: rows}))
        return
    print(f"\n{title}")
    for row in rows:
        print("  " + ", ".join(f"{name} {value}" for name, value in row.items()))
