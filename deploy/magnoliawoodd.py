"""Launcher of magnoliawood on the users' platform, from a source checkout."""

import signal

# Held until its handler is installed; its default action ends the process.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

import pathlib  # noqa: E402
import sys  # noqa: E402

ROOT = pathlib.Path(__file__).parents[1]
PACKAGES = ('packages/magnoliawood', 'packages/magnoliawood-server')


def main() -> None:
    """Run the role given by the first command-line argument."""
    sys.path[:0] = [str(ROOT / package) for package in PACKAGES]
    from magnoliawood_server.platform import launch

    launch.main(sys.argv[1])


if __name__ == '__main__':
    main()
