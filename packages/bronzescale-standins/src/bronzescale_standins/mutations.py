"""Mutation tests: break the source on purpose and check that a test fails."""

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

import cyclopts

ROOT = Path("packages")
CORE = "bronzescale-core"
PROXY = "bronzescale-proxy"


class Mutation(NamedTuple):
    """One deliberate fault in the source.

    Parameters
    ----------
    guarantee : str
        Guarantee that the mutation violates.
    package, module : str
        Package and module to change.
    old, new : str
        Source text and its replacement.
    tests : str
        Tests to run, as a pytest ``-k`` expression; empty for all of the package.
    """

    guarantee: str
    package: str
    module: str
    old: str
    new: str
    tests: str = ""


MUTATIONS = (
    Mutation(
        "a session reads its writes",
        CORE,
        "positions",
        "applied.offset >= offset",
        "applied.offset >= offset - 1",
    ),
    Mutation(
        "a replaced primary acknowledges nothing",
        CORE,
        "acknowledgement",
        "report.promised_term == position.term\n            and ",
        "",
    ),
    Mutation(
        "no acknowledged write is lost: a majority is fenced",
        CORE,
        "groups",
        "copies // 2 + 1",
        "copies // 2",
    ),
    Mutation(
        "no acknowledged write is lost: the most advanced copy is promoted",
        CORE,
        "failover",
        "return max(self._reports",
        "return min(self._reports",
    ),
    Mutation(
        "one primary per term: a claim uses the next term",
        CORE,
        "failover",
        "term=self._state.term + 1",
        "term=self._state.term",
    ),
    Mutation(
        "no unneeded promotion: a second zone must suspect the primary",
        CORE,
        "failover",
        "if event.verdict is Verdict.ALIVE:\n            return",
        "if False:\n            return",
    ),
    Mutation(
        "no unneeded promotion: a pause of 2 s does not count as a failure",
        CORE,
        "detection",
        "SILENT_SPAN_MS = 2_600",
        "SILENT_SPAN_MS = 900",
    ),
    Mutation(
        "a statement that must not be repeated runs at most once",
        CORE,
        "outcomes",
        "return RetryDecision.UNKNOWN",
        "return RetryDecision.RETRY",
    ),
    Mutation(
        "bounded-staleness reads are no older than their bound",
        CORE,
        "heads",
        "return min(self._primary.sent_at_ms",
        "return max(self._primary.sent_at_ms",
    ),
    Mutation(
        "outcome not_run: a statement that missed its deadline does not run",
        CORE,
        "admission",
        "if ticket.deadline_ms <= now_ms:",
        "if False:",
    ),
    Mutation(
        "reads avoid a leaving upstream",
        CORE,
        "routing",
        "if not u.is_leaving",
        "if True",
    ),
    Mutation(
        "an accepted configuration never reverts",
        CORE,
        "objects",
        "known.version >= candidate.version",
        "known.version == candidate.version",
    ),
    Mutation(
        "every caller gets the answer to its own statement",
        PROXY,
        "pool",
        "if connection.is_clean and not self._is_closed:",
        "if not self._is_closed:",
        "kill_query or (answers_crossed and read)",
    ),
    Mutation(
        "transactions never mix",
        PROXY,
        "owner",
        "            transaction.connection.close()\n            self._pool",
        "            transaction.connection.is_clean = True\n            self._pool",
        "mid_transaction",
    ),
    Mutation(
        "a graceful stop interrupts no statement in flight",
        PROXY,
        "callers",
        "while self._connections:",
        "while False:",
        "graceful",
    ),
)

app = cyclopts.App(
    name="mutations", help="Check that the tests catch deliberate faults."
)


def is_caught(mutation):
    """Apply a mutation to a copy of its package and run the tests against the copy.

    Parameters
    ----------
    mutation : Mutation
        Mutation to apply.

    Returns
    -------
    bool
        Whether a test failed.

    Raises
    ------
    ValueError
        If the module does not contain the source text to replace.
    """
    source_folder = ROOT / mutation.package / "src"
    with tempfile.TemporaryDirectory() as folder:
        mutated_folder = Path(folder) / "src"
        shutil.copytree(source_folder, mutated_folder)
        package = mutation.package.replace("-", "_")
        module = mutated_folder / package / f"{mutation.module}.py"
        text = module.read_text()
        if mutation.old not in text:
            raise ValueError(
                f"{mutation.module} does not contain {mutation.old!r}: update MUTATIONS"
            )
        module.write_text(text.replace(mutation.old, mutation.new))
        tests = str(ROOT / mutation.package / "tests")
        command = [sys.executable, "-m", "pytest", "-q", "-n", "2", tests]
        if mutation.tests:
            command += ["-k", mutation.tests]
        result = subprocess.run(
            command,
            env={**os.environ, "PYTHONPATH": str(mutated_folder)},
            capture_output=True,
            check=False,
        )
    return result.returncode == 1


@app.default
def main(*, only: str = ""):
    """Run every mutation and print whether a test caught it."""
    missed = 0
    for mutation in MUTATIONS:
        if only not in mutation.guarantee:
            continue
        caught = is_caught(mutation)
        missed += not caught
        print(f"{'caught' if caught else 'MISSED'}: {mutation.guarantee}", flush=True)
    print(f"{missed} missed")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    app()
