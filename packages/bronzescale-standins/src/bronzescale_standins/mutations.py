"""Break the product on purpose and see that the tests notice."""

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
    """One deliberate break.

    Parameters
    ----------
    promise : str
        Promise that it breaks.
    package, module : str
        Where.
    old, new : str
        Text to replace.
    tests : str
        Which tests should notice; a pytest ``-k`` expression.
    """

    promise: str
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
        "no acknowledged save is lost: a majority is fenced",
        CORE,
        "groups",
        "copies // 2 + 1",
        "copies // 2",
    ),
    Mutation(
        "no acknowledged save is lost: the most advanced copy leads",
        CORE,
        "failover",
        "return max(self._reports",
        "return min(self._reports",
    ),
    Mutation(
        "one primary a term: a claim takes the next term",
        CORE,
        "failover",
        "term=self._state.term + 1",
        "term=self._state.term",
    ),
    Mutation(
        "no unneeded promotion: a second zone must doubt the primary",
        CORE,
        "failover",
        "if event.verdict is Verdict.ALIVE:\n            return",
        "if False:\n            return",
    ),
    Mutation(
        "no unneeded promotion: a pause of 2 s is no death",
        CORE,
        "detection",
        "SILENT_SPAN_MS = 2_600",
        "SILENT_SPAN_MS = 900",
    ),
    Mutation(
        "what may not be repeated runs at most once",
        CORE,
        "outcomes",
        "return RetryDecision.UNKNOWN",
        "return RetryDecision.RETRY",
    ),
    Mutation(
        "reads of a stated age are no older",
        CORE,
        "heads",
        "return min(self._primary.sent_at_ms",
        "return max(self._primary.sent_at_ms",
    ),
    Mutation(
        "not run: what missed its deadline does not run",
        CORE,
        "admission",
        "if ticket.deadline_ms <= now_ms:",
        "if False:",
    ),
    Mutation(
        "a leaving upstream gets no new work",
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
        "every caller gets its own answer",
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
        "a graceful stop cuts nothing in flight",
        PROXY,
        "callers",
        "while self._connections:",
        "while False:",
        "graceful",
    ),
)

app = cyclopts.App(name="mutations", help="Break the product, see the tests notice.")


def is_caught(mutation):
    """Apply one break to a copy of its package and run the tests against it.

    Parameters
    ----------
    mutation : Mutation
        The break.

    Returns
    -------
    bool
        Whether a test failed.
    """
    source = ROOT / mutation.package / "src"
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "src"
        shutil.copytree(source, copy)
        package = mutation.package.replace("-", "_")
        module = copy / package / f"{mutation.module}.py"
        text = module.read_text()
        if mutation.old not in text:
            raise ValueError(f"{mutation.module} no longer holds {mutation.old!r}")
        module.write_text(text.replace(mutation.old, mutation.new))
        tests = str(ROOT / mutation.package / "tests")
        command = [sys.executable, "-m", "pytest", "-q", "-n", "2", tests]
        if mutation.tests:
            command += ["-k", mutation.tests]
        result = subprocess.run(
            command,
            env={**os.environ, "PYTHONPATH": str(copy)},
            capture_output=True,
            check=False,
        )
    return result.returncode == 1


@app.default
def main(*, only: str = ""):
    """Run every break and print whether the tests caught it."""
    missed = 0
    for mutation in MUTATIONS:
        if only not in mutation.promise:
            continue
        caught = is_caught(mutation)
        missed += not caught
        print(f"{'caught' if caught else 'MISSED'}: {mutation.promise}", flush=True)
    print(f"{missed} missed")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    app()
