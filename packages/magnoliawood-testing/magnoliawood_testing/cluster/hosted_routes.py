"""Configuration of a deployment on the users' platform."""

import typing

HOST = 'app.example'


def standard_routes() -> list[dict[str, typing.Any]]:
    """Return a safe, an unsafe, a retained and a resumable route."""
    common = {
        'host': HOST,
        'timeout_ms': 4000,
        'target_latency_ms': 250,
        'priority': 1,
        'service': 'llm',
        'max_attempts': 2,
    }
    return [
        {**common, 'name': 'safe', 'path_prefix': '/safe/', 'kind': 'safe'},
        {**common, 'name': 'once', 'path_prefix': '/once/', 'kind': 'unsafe'},
        {
            **common,
            'name': 'turns',
            'path_prefix': '/turns/',
            'kind': 'streaming',
            'retain': True,
            'retain_s': 60,
        },
        {
            **common,
            'name': 'streams',
            'path_prefix': '/streams/',
            'kind': 'streaming',
            'resumable': True,
        },
    ]
