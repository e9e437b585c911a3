"""A short soak test with a fixed seed, on a fleet of real processes.

It guards against violated guarantees under faults that tests within one process cannot
inject, such as killed and suspended processes.
"""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

import testtools

ROOT = Path(__file__).resolve().parent.parent


class SoakTest(testtools.TestCase):
    def test_short_seeded_run_violates_no_guarantee(self):
        command = [
            sys.executable,
            "-m",
            "bronzescale_standins.fleet.soak",
            "--seed=1",
            "--seconds=8",
            "--nodes=4",
            f"--folder={self._folder()}",
        ]
        run = subprocess.run(
            command,
            env={**os.environ, "PYTHONPATH": str(ROOT / "platform")},
            capture_output=True,
            text=True,
            timeout=180,
            check=False,
        )
        self.assertEqual(0, run.returncode, run.stdout + run.stderr)

    def _folder(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name
