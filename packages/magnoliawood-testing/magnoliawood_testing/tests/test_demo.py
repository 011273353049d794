import subprocess
import sys


def test_demonstration_passes():
    completed = subprocess.run(
        [sys.executable, '-m', 'magnoliawood_testing.demo'],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert 'all programs checked out' in completed.stdout
