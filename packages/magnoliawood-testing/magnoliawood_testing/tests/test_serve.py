import re
import signal

import pytest

from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.cluster import process as processes


def test_serve_responds_until_interrupted(tmp_path):
    path = tmp_path / 'env'
    process = processes.Process(
        'serve', 'magnoliawood_testing.serve', {'env_file': path}, tmp_path
    )
    # A shell that starts a process in the background ignores SIGINT for it.
    previous = signal.signal(signal.SIGINT, signal.SIG_IGN)
    try:
        process.start()
    finally:
        signal.signal(signal.SIGINT, previous)
    try:
        deployments.wait_until(path.exists, 'the variables')
        variables = dict(re.findall(r'export (\w+)=(.*)', path.read_text()))
        entry = variables['MAGNOLIACTL_ENTRY']
        token = {'authorization': f'Bearer {variables["OPENAI_API_KEY"]}'}
        status, _ = deployments.call(entry, 'GET', '/v1/models', headers=token)
        assert status == 200
        process.send_signal(signal.SIGINT)
        assert process.wait() == 0
    finally:
        process.kill()
    assert not path.exists()
    with pytest.raises(ConnectionRefusedError):
        deployments.call(entry, 'GET', '/healthz')
