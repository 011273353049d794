"""Programs, hosts and counters in the administration API."""

import collections
import dataclasses
import itertools
import typing

import pydantic

from magnoliawood.core import errors
from magnoliawood.programs import identity
from magnoliawood_server.entry import caller_api
from magnoliawood_server.entry import configuration_cache
from magnoliawood_server.entry import fleet_view
from magnoliawood_server.entry import gateway as gateways
from magnoliawood_server.entry import membership as memberships
from magnoliawood_server.entry import routes
from magnoliawood_server.entry import sidecar_directory
from magnoliawood_server.http import message as http_message
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools

# Maximum number of items in one response.
PAGE_LIMIT = 1000
_PAGE_DEFAULT = 100

Document = dict[str, typing.Any]


class ProgramFilter(pydantic.BaseModel):
    """Query parameters of the list of programs.

    :param after: value of ``next`` in the preceding page
    """

    model_config = pydantic.ConfigDict(extra='forbid', populate_by_name=True)

    caller: str = ''
    work_class: str = pydantic.Field(default='', alias='class')
    state: typing.Literal['', 'open', 'ended'] = ''
    after: str = ''
    limit: int = pydantic.Field(default=_PAGE_DEFAULT, ge=1, le=PAGE_LIMIT)


class AdminFleet:
    """Read operations on the whole system, and cancellation of programs."""

    def __init__(
        self,
        entry: str,
        data_centre: str,
        fleet: fleet_view.FleetView,
        gateway: gateways.Gateway,
        membership: memberships.Membership,
        sidecars: sidecar_directory.SidecarDirectory,
        configuration: configuration_cache.ConfigurationCache,
        pool: pools.PeerPool,
    ) -> None:
        self._entry = entry
        self._data_centre = data_centre
        self._fleet = fleet
        self._gateway = gateway
        self._membership = membership
        self._sidecars = sidecars
        self._configuration = configuration
        self._pool = pool

    async def programs(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        """Return one page of the programs that any entry owns."""
        query = _parse_query(request.http)
        replies = await self._fleet.request_all(
            messages.ListPrograms(**query.model_dump())
        )
        statuses = itertools.chain.from_iterable(
            page.programs for page in replies.by_entry.values()
        )
        # A program whose shard moves between two replies may be in both.
        by_key = {str(status.program): status for status in statuses}
        keys = sorted(by_key)
        page = keys[: query.limit]
        is_last = len(page) < query.limit
        return http_message.Response.from_json(
            {
                'items': [
                    caller_api.program_document(by_key[key]) for key in page
                ],
                'next': '' if is_last else page[-1],
                'missing_entries': replies.missing,
            }
        )

    async def show_program(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        """Return the status of a program."""
        key = identity.ProgramKey(*request.parameters)
        status = await self._gateway.request(messages.GetProgram(key))
        return http_message.Response.from_json(
            caller_api.program_document(status)
        )

    async def calls(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        """Return the newest calls of a program, without their content."""
        key = identity.ProgramKey(*request.parameters)
        page = await self._fleet.request_owner(
            messages.ListCalls(key, PAGE_LIMIT)
        )
        return http_message.Response.from_json(
            {'items': [dataclasses.asdict(call) for call in page.calls]}
        )

    async def cancel_program(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        """End a program and its sub-agents."""
        key = identity.ProgramKey(*request.parameters)
        status = await self._gateway.request(
            messages.EndProgram(key, f'cancelled by {request.account.name}')
        )
        return http_message.Response.from_json(
            caller_api.program_document(status)
        )

    async def check_class_unused(self, name: str) -> None:
        """Raise an error if open programs use a class.

        :raises MagnoliawoodError: with ``class_in_use``, or with
            ``owner_unavailable`` if an entry did not reply
        """
        replies = await self._fleet.request_all(
            messages.ListPrograms(work_class=name, state='open', limit=1)
        )
        statuses = itertools.chain.from_iterable(
            page.programs for page in replies.by_entry.values()
        )
        example = next(statuses, None)
        if example is not None:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.CLASS_IN_USE,
                f'open programs use class {name}, among them '
                f'{example.program}',
            )
        if replies.missing:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.OWNER_UNAVAILABLE,
                f'cannot tell whether programs use class {name}: no reply '
                f'from {", ".join(sorted(replies.missing))}',
                retry_after=gateways.RETRY_AFTER,
            )

    async def entries(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        """Return the state of each entry as the entry itself reports it."""
        replies = await self._fleet.request_all(messages.GetEntryStatus())
        return http_message.Response.from_json(
            {
                'items': [
                    dataclasses.asdict(status)
                    for status in replies.by_entry.values()
                ],
                'missing_entries': replies.missing,
            }
        )

    async def hosts(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        """Return all hosts, with their reachability from this entry."""
        return http_message.Response.from_json({'items': self._hosts()})

    async def data_centres(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        """Return the data centres with the number of hosts in each."""
        by_centre: dict[str, collections.Counter[str]] = {}
        for host in self._hosts():
            counts = by_centre.setdefault(
                host['data_centre'], collections.Counter()
            )
            counts[host['role']] += 1
            counts['reachable'] += host['is_reachable']
        return http_message.Response.from_json(
            {
                'items': [
                    {
                        'name': name,
                        'entries': counts['entry'],
                        'sidecars': counts['sidecar'],
                        'reachable': counts['reachable'],
                    }
                    for name, counts in sorted(by_centre.items())
                ]
            }
        )

    async def upstreams(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        """Return the upstreams as their sidecars last reported them."""
        sidecars = sorted(self._sidecars.all(), key=lambda item: item.name)
        return http_message.Response.from_json(
            {'items': [self._upstream(item) for item in sidecars]}
        )

    def has_upstream(self, name: str) -> bool:
        """Whether an upstream is on the host list."""
        return self._sidecars.find(name) is not None

    async def counters(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        """Return the counters of all entries, or of one host."""
        host = request.http.query.get('host', '')
        if host:
            counters_by_host, missing = await self._counters_of(host), {}
        else:
            replies = await self._fleet.request_all(messages.GetCounters())
            missing = replies.missing
            counters_by_host = {
                name: reply.values for name, reply in replies.by_entry.items()
            }
        prefix = request.http.query.get('name', '')
        items = [
            {'host': name, 'counter': counter, 'value': value}
            for name, values in counters_by_host.items()
            for counter, value in sorted(values.items())
            if counter.startswith(prefix)
        ]
        return http_message.Response.from_json(
            {'items': items, 'missing_entries': missing}
        )

    async def _counters_of(self, host: str) -> dict[str, dict[str, int]]:
        message = messages.GetCounters()
        if host == self._entry:
            return {host: (await self._fleet.reply_to(message)).values}
        sidecar = self._sidecars.find(host)
        address = (
            sidecar.host.address
            if sidecar
            else self._membership.address_of(host)
        )
        if not address:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.NOT_FOUND, f'there is no host {host!r}'
            )
        reply = await self._pool.request(
            address, message, fleet_view.RESPONSE_TIMEOUT
        )
        return {host: reply.values}

    def _hosts(self) -> list[Document]:
        this_entry = {
            'name': self._entry,
            'role': 'entry',
            'data_centre': self._data_centre,
            'is_reachable': True,
            'is_leaving': self._membership.is_leaving,
        }
        entries = [
            {
                'name': state.host.name,
                'role': 'entry',
                'data_centre': state.host.data_centre,
                'is_reachable': self._membership.is_alive(state.host.name),
                'is_leaving': state.host.leaving
                or (state.reply is not None and state.reply.leaving),
            }
            for state in self._membership.other_entries()
        ]
        sidecars = [
            {
                'name': sidecar.name,
                'role': 'sidecar',
                'data_centre': sidecar.host.data_centre,
                'is_reachable': sidecar.is_reachable,
                'is_leaving': _is_leaving(sidecar),
            }
            for sidecar in self._sidecars.all()
        ]
        return sorted(
            [this_entry, *entries, *sidecars], key=lambda h: h['name']
        )

    def _upstream(self, sidecar: sidecar_directory.Sidecar) -> Document:
        reply = sidecar.reply
        drained = self._configuration.current.drained
        return {
            'name': sidecar.name,
            'data_centre': sidecar.host.data_centre,
            'kind': reply.kind if reply else '',
            'serves': reply.names if reply else [],
            'calls': reply.waiting if reply else 0,
            'is_reachable': sidecar.is_reachable,
            'is_leaving': _is_leaving(sidecar),
            'is_drained': sidecar.name in drained,
        }


def _is_leaving(sidecar: sidecar_directory.Sidecar) -> bool:
    reply = sidecar.reply
    return sidecar.host.leaving or (reply is not None and reply.leaving)


def _parse_query(request: http_message.Request) -> ProgramFilter:
    try:
        return ProgramFilter.model_validate(request.query)
    except pydantic.ValidationError as error:
        detail = '; '.join(
            f'{".".join(map(str, item["loc"]))}: {item["msg"]}'
            for item in error.errors()
        )
        raise errors.MagnoliawoodError(
            errors.ErrorCode.MALFORMED_REQUEST, detail
        ) from error
