"""Cost of client accounts and their quotas at a gateway."""

import datetime
import random

from magnoliawood.accounts import client_account
from magnoliawood.accounts import contacts as account_contacts
from magnoliawood.accounts import quotas
from magnoliawood.accounts import table as tables
from magnoliawood.core import clock as clocks
from magnoliawood.fleet import facts as fleet_facts
from magnoliawood_server.gateway import messages
from magnoliawood_server.peer import frame as frames
from magnoliawood_testing.capacity import slope as slopes

_ACCOUNTS = 16_000
_GATEWAYS = 340
_WINDOW = datetime.timedelta(seconds=5)


def measure() -> list[slopes.Slope]:
    """Return memory and message sizes in bytes and times in microseconds."""
    table = _table()
    digest = client_account.digest_of_key(b'key-of-account-77')
    find = slopes.seconds_for_each(lambda: table.find(digest), repeats=10_000)
    fact = _report_size(11) - _report_size(1)
    return [
        slopes.Slope(
            'client account',
            slopes.bytes_of(_table) / _ACCOUNTS,
            f'B/account of {_ACCOUNTS}',
        ),
        slopes.Slope('key lookup', find * 1e6, f'us at {_ACCOUNTS} accounts'),
        slopes.Slope('quota fact', fact / 10, 'B/account in a report'),
        *_admission_slopes(),
    ]


def _table() -> tables.AccountTable:
    return tables.AccountTable(
        client_account.ClientAccount(
            f'account-{number}',
            frozenset(
                [client_account.digest_of_key(b'key-of-account-%d' % number)]
            ),
            1,
            382.0,
            382.0,
        )
        for number in range(_ACCOUNTS)
    )


def _report_size(facts: int) -> int:
    report = messages.GatewayReport(
        'entry-123', '10.1.0.38:8144', [], {}, 12, 3456, True, [], []
    )
    report.facts.extend(
        fleet_facts.Fact(
            fleet_facts.FactKind.QUOTA,
            f'account-{number}',
            (1.7e9 + number, 12345.0, 77.0, 15.3),
        )
        for number in range(facts)
    )
    return len(frames.encode(frames.Frame(12345, True, report)))


def _admission_slopes() -> list[slopes.Slope]:
    account = client_account.ClientAccount('account', rate=382, burst=382)
    admissions = [
        slopes.Slope(
            'quota admission',
            _admission_seconds(account, gateways) * 1e6,
            f'us/request at {gateways} gateways',
        )
        for gateways in (2, _GATEWAYS)
    ]
    state = slopes.bytes_of(lambda: _book(account, _GATEWAYS)) / _GATEWAYS
    return [
        *admissions,
        slopes.Slope('quota state', state, 'B/(gateway and account in use)'),
    ]


def _admission_seconds(
    account: client_account.ClientAccount, gateways: int
) -> float:
    book = _book(account, gateways)
    return slopes.seconds_for_each(lambda: book.admit(account), repeats=2000)


def _book(
    account: client_account.ClientAccount, gateways: int
) -> quotas.QuotaBook:
    clock = clocks.SystemClock()
    book = quotas.QuotaBook(
        _WINDOW, 0.0, clock, account_contacts.Contacts(0), random.Random(1)
    )
    book.update_contacts(
        [
            account_contacts.Contact(f'gw-{number}', 'a', clock.monotonic())
            for number in range(gateways - 1)
        ],
        datetime.timedelta(minutes=10),
    )
    for number in range(gateways - 1):
        book.record_peer(
            f'gw-{number}', account, (float(number), 5.0, 5.0, 1.0)
        )
    return book
