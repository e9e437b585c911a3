"""Shared parts of the benchmarks: run a measurement, print its results."""

import json
from pathlib import Path
from typing import Annotated

import anyio
from cyclopts import Parameter

AsJson = Annotated[bool, Parameter(name="--json", negative="")]
DEFAULT_FILE = Path("examples/linjapartio.toml")


def run_measurement(measure, fleet, *arguments):
    """Run an asynchronous measurement on a fleet.

    Parameters
    ----------
    measure : callable
        ``async (fleet, *arguments)``.
    fleet : ProcessFleet
        Fleet to measure.
    *arguments : tuple
        More arguments of the measurement.

    Returns
    -------
    object
        Return value of the measurement.
    """
    return anyio.run(measure, fleet, *arguments, backend_options={"use_uvloop": True})


def print_rows(title, rows, as_json):
    """Print the rows of a measurement.

    Parameters
    ----------
    title : str
        Name of the measurement.
    rows : list of dict
        Results by name; names end with the unit.
    as_json : bool
        Whether to print one line of JSON.
    """
    if as_json:
        print(json.dumps({title: rows}))
        return
    print(f"\n{title}")
    for row in rows:
        print("  " + ", ".join(f"{name} {value}" for name, value in row.items()))
