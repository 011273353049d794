"""Drains: instructions to send no new work to an upstream."""

import datetime

import pydantic

from magnoliawood.config import work_class


class Drain(pydantic.BaseModel):
    """Instruction to send no new work to an upstream while it is stored.

    :param upstream: name of the sidecar on the upstream's host
    :param by: account that started the drain
    :param at: time at which the drain was started
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    upstream: str = pydantic.Field(pattern=work_class.NAME_PATTERN)
    by: str
    at: datetime.datetime
