"""Measure the processor time to look up the account of a bearer token."""

import argparse
import time

from magnoliawood.config import account as accounts
from magnoliawood.config import configuration as configurations

_MICROSECONDS_PER_SECOND = 1_000_000


def make_configuration(count: int) -> configurations.Configuration:
    """Return a configuration with ``count`` accounts."""
    callers = [
        accounts.Account(
            name=f'account-{number}',
            role=accounts.Role.CALLER,
            token_hashes=[accounts.hash_token(f'token-{number}')],
        )
        for number in range(count)
    ]
    return configurations.Configuration(
        1, accounts={account.name: account for account in callers}
    )


def microseconds_per_request(
    configuration: configurations.Configuration, tokens: list[str]
) -> float:
    """Return the mean processor time of a request."""
    started = time.process_time()
    for token in tokens:
        configuration.authenticate(token)
    seconds = time.process_time() - started
    return seconds / len(tokens) * _MICROSECONDS_PER_SECOND


def main() -> None:
    """Print the processor time of the first request and of later ones."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--accounts', type=int, default=16_000)
    parser.add_argument('--requests', type=int, default=2_000)
    options = parser.parse_args()
    configuration = make_configuration(options.accounts)
    step = max(1, options.accounts // options.requests)
    tokens = [f'token-{n}' for n in range(0, options.accounts, step)]
    first = microseconds_per_request(configuration, tokens[:1])
    later = microseconds_per_request(configuration, tokens)
    print(f'first request {first:.0f} µs, later ones {later:.2f} µs each')


if __name__ == '__main__':
    main()
