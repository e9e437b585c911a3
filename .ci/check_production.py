"""Check that the release named for upgrades exists in the history.

Exit with status 1 if it does not, or if it is the newest commit. A clone without
history cannot tell; the check then prints that it did not run.
"""

import re
import subprocess
import sys
from pathlib import Path

DEPLOY_FILE = Path(__file__).parent.parent / "deploy" / "system.toml"


def _git(*words):
    done = subprocess.run(["git", *words], capture_output=True, text=True, check=False)
    return done.stdout.strip() if done.returncode == 0 else None


def main():
    """Run the check; return the exit status."""
    found = re.search(r'^production = "([^"]+)"$', DEPLOY_FILE.read_text(), re.M)
    if found is None:
        print(f"production: {DEPLOY_FILE.name} names no commit; add one.")
        return 1
    name = found[1]
    if _git("rev-parse", "--is-shallow-repository") != "false":
        print("production: not checked, since this clone has no history.")
        return 0
    commit = _git("rev-parse", "--verify", "--quiet", f"{name}^{{commit}}")
    head = _git("rev-parse", "HEAD")
    if commit is None or _git("merge-base", "--is-ancestor", commit, head) is None:
        print(f"production: {name} is not in the history; name one that landed.")
        return 1
    if commit == head:
        print(
            f"production: {name} is the newest commit; name the one that landed last."
        )
        return 1
    print(f"production: {name[:7]} is in the history.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
