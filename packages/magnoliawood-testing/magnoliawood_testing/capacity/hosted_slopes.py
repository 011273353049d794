"""Cost of messages and decisions of gateways and keepers."""

import datetime
import typing

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory
from magnoliawood.fleet import load
from magnoliawood.fleet import prompt_cache
from magnoliawood.fleet import selection
from magnoliawood.replication import quorum
from magnoliawood.routes import configuration as configurations
from magnoliawood.routes import table as tables
from magnoliawood.turns import ledger as ledgers
from magnoliawood.turns import records
from magnoliawood_server.gateway import messages
from magnoliawood_server.peer import frame as frames
from magnoliawood_testing.capacity import slope as slopes

_UPSTREAMS = 300
_ROUTES = 400
_CHARGES = 190


def measure() -> list[slopes.Slope]:
    """Return message sizes in bytes and decision times in microseconds."""
    return [*_message_slopes(), *_decision_slopes()]


def _message_slopes() -> list[slopes.Slope]:
    small, large = _report(1, 1), _report(11, 11)
    # The slope of a turn record leaves out its 840 + 1700 bytes of content.
    turn = records.TurnRecord('a' * 16, 'b' * 16, b'x' * 840, b'y' * 1700, 9e9)
    charge = records.ChargeRecord('p' * 8, 'a' * 16, 592, False, 9e9)
    encode = slopes.seconds_for_each(lambda: _size(large), repeats=500)
    return [
        slopes.Slope('report', _size(small), 'B/report without peers'),
        slopes.Slope(
            'report entry',
            (_size(large) - _size(small)) / 10,
            'B/(peer and upstream) in a report',
        ),
        slopes.Slope('report encode', encode * 1e6, 'us/report of 11 peers'),
        slopes.Slope(
            'turn record', len(records.encode(turn)) - 2540, 'B/turn'
        ),
        slopes.Slope('charge record', len(records.encode(charge)), 'B/charge'),
    ]


def _decision_slopes() -> list[slopes.Slope]:
    selector, candidates, demand = _selection()
    choose = slopes.seconds_for_each(
        lambda: selector.choose(candidates, demand), repeats=100
    )
    table = _table()
    find = slopes.seconds_for_each(
        lambda: table.find('app.example', '/p399/a/b'), repeats=2000
    )
    charges = [
        ledgers.Charge(f'a{number}', 592, True) for number in range(_CHARGES)
    ]
    decide = slopes.seconds_for_each(
        lambda: quorum.decide_budget([charges, charges], 10**6), repeats=200
    )
    return [
        slopes.Slope(
            'choice of an upstream', choose * 1e6 / _UPSTREAMS, 'us/upstream'
        ),
        slopes.Slope('route', find * 1e6, f'us/request at {_ROUTES} routes'),
        slopes.Slope(
            'budget decision', decide * 1e6 / _CHARGES, 'us/turn of a program'
        ),
    ]


def _report(peers: int, upstreams: int) -> messages.GatewayReport:
    return messages.GatewayReport(
        'entry-123',
        '10.1.0.38:8144',
        [f'10.1.1.{number:03}:8144' for number in range(peers)],
        {f'i-7f3a91c{number:03}': 7 for number in range(upstreams)},
        12,
        3456,
        True,
        [],
        [],
    )


def _selection() -> tuple[
    selection.Selector, list[directory.Upstream], selection.RequestDemand
]:
    selector = selection.Selector(
        load.LoadTracker(clocks.SystemClock()),
        prompt_cache.PromptCaches(),
        'dc-1',
    )
    candidates = [
        directory.Upstream(f'i-{number}', 'llm', '10.0.0.1:1', 'dc-1', 48)
        for number in range(_UPSTREAMS)
    ]
    parts = tuple(
        prompt_cache.PromptPart(f'part-{number}', 800) for number in range(20)
    )
    return selector, candidates, selection.RequestDemand(parts, 256)


def _table() -> tables.RouteTable:
    second = datetime.timedelta(seconds=1)
    routes = tuple(
        configurations.Route(
            f'r{number}',
            'app.example',
            f'/p{number}/',
            configurations.RequestKind.SAFE,
            second,
            second,
            0,
            (configurations.ServiceShare('llm'),),
            1,
        )
        for number in range(_ROUTES)
    )
    return tables.RouteTable(
        configurations.Configuration(
            1, routes, (), configurations.CallerLimits()
        )
    )


def _size(message: typing.Any) -> int:
    return len(frames.encode(frames.Frame(12345, True, message)))
