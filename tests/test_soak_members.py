"""Processes of the soak that are killed and started again."""

import signal
from pathlib import Path
from tempfile import TemporaryDirectory
from types import SimpleNamespace

import testtools

from bronzescale_standins.fleet import soak


class KilledMemberTest(testtools.TestCase):
    def test_member_is_started_though_the_killed_process_has_not_ended(self):
        """Guards against a member that stays away since it was slow to die."""
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        script = Path(folder.name) / "run.py"
        script.write_text("import time\ntime.sleep(60)\n")
        self.patch(soak, "RUN_SCRIPT", script)
        run = SimpleNamespace(
            subnet=14,
            links=None,
            folder=Path(folder.name),
            members=[],
            store_address="127.0.0.1:1",
        )
        member = soak.SoakMember(run, 1, "a")
        member.store = SimpleNamespace(address="127.0.0.1:1")
        self.addCleanup(member.kill)
        member.start()
        for _ in range(5):
            former = member.process
            member.send_signal(signal.SIGKILL)
            member.start()
            self.assertIsNot(former, member.process)
            self.assertIsNone(member.process.poll())
