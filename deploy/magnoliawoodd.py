"""Launcher of magnoliawood on the users' platform, from a source checkout."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).parents[1]
PACKAGES = ('packages/magnoliawood', 'packages/magnoliawood-server')


def main() -> None:
    """Run the role given by the first command-line argument."""
    sys.path[:0] = [str(ROOT / package) for package in PACKAGES]
    from magnoliawood_server.platform import launch

    launch.main(sys.argv[1])


if __name__ == '__main__':
    main()
