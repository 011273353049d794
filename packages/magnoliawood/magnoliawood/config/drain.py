"""Marks on upstreams that shall get no new work."""

import datetime

import pydantic

from magnoliawood.config import work_class


class Drain(pydantic.BaseModel):
    """Keeps new work from an upstream until it is removed.

    :param upstream: name of the upstream host's sidecar
    :param by: account that asked for it
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    upstream: str = pydantic.Field(pattern=work_class.NAME_PATTERN)
    by: str
    at: datetime.datetime
