"""Replies of the platform's metadata store."""

import collections.abc
import contextlib
import dataclasses
import datetime
import logging
import typing

from magnoliawood.core import errors
from magnoliawood_server.platform import odd_json

OK = 200
CREATED = 201
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
# Status codes with which the store reports that it applied nothing.
_NOT_APPLIED_STATUS_CODES = (429, 503)
NOT_APPLIED = errors.verdicts.Verdict.NOT_RUN
MAY_BE_APPLIED = errors.verdicts.Verdict.MAY_HAVE_RUN
RETRY_AFTER = datetime.timedelta(seconds=2)

_log = logging.getLogger(__name__)


class StoreUnavailable(errors.MagnoliawoodError):  # noqa: N818
    """The store did not respond, or it rejected the call.

    The verdict says whether a write may have been applied.
    """

    def __init__(
        self,
        detail: str,
        verdict: errors.verdicts.Verdict = MAY_BE_APPLIED,
    ) -> None:
        super().__init__(
            errors.ErrorCode.STORE_UNAVAILABLE, detail, verdict, RETRY_AFTER
        )


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store.

    :param revision: revision of the last change of the object
    """

    name: str
    revision: int
    spec: typing.Any
    status: typing.Any = None


class RevisionConflict(Exception):  # noqa: N818
    """The object exists already or is not at the expected revision.

    :param current: the object as stored; ``None`` if it is absent
    """

    def __init__(self, current: StoredObject | None) -> None:
        super().__init__(current)
        self.current = current


def parse(status: int, data: bytes) -> typing.Any:
    """Return the JSON object of a reply; an empty one if nothing was found.

    :raises RevisionConflict: if the object is at another revision
    :raises StoreUnavailable: if the store refused the call, or the reply is
        malformed
    """
    if status not in (OK, CREATED, CONFLICT, NOT_FOUND, GONE):
        is_not_applied = status in _NOT_APPLIED_STATUS_CODES
        verdict = NOT_APPLIED if is_not_applied else MAY_BE_APPLIED
        raise StoreUnavailable(
            f'store responded with status {status}', verdict
        )
    if status in (NOT_FOUND, GONE):
        return {}
    try:
        reply = odd_json.loads(data)
    except ValueError as error:
        raise StoreUnavailable('store response is not JSON') from error
    if not isinstance(reply, dict):
        raise StoreUnavailable('store response is not a JSON object')
    if status == CONFLICT:
        raise RevisionConflict(decode_object(reply))
    return reply


def revision_in(reply: collections.abc.Mapping[str, typing.Any]) -> int:
    """Return the store's revision that a reply states.

    :raises StoreUnavailable: if it states none
    """
    try:
        return int(reply['current_rev'])
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise StoreUnavailable('store response has no revision') from error


def list_in(
    reply: collections.abc.Mapping[str, typing.Any], field: str
) -> list[typing.Any]:
    """Return a list that a reply may hold.

    :raises StoreUnavailable: if it is no list
    """
    values = reply.get(field, [])
    if not isinstance(values, list):
        raise StoreUnavailable(f'{field} of the store response are no list')
    return values


def decode_object(item: typing.Any) -> StoredObject | None:
    """Return an object of a reply, or ``None`` if it is malformed."""
    try:
        metadata = item['metadata']
        return StoredObject(
            str(metadata['name']),
            int(metadata['revision']),
            item.get('spec'),
            item.get('status'),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
    ):
        _log.warning('store returned a malformed object')
        return None


def last_name(items: list[typing.Any]) -> str:
    """Return the last name of a page, after which the next one begins.

    :raises StoreUnavailable: if no item of the page has one
    """
    for item in reversed(items):
        with contextlib.suppress(KeyError, TypeError):
            return str(item['metadata']['name'])
    raise StoreUnavailable('a page of the store names no object')
