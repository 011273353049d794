import subprocess
import sys


def test_demonstration_passes():
    done = subprocess.run(
        [sys.executable, '-m', 'magnoliawood_testing.demo'],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert 'all programs checked out' in done.stdout
