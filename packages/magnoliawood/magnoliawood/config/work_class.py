"""Work classes with their targets and limits."""

import typing

import pydantic

TARGETS_ONLY_MESSAGE = (
    'operators set classes and their targets only; weights, servers and '
    'addresses are the choice of the system'
)
NAME_PATTERN = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$'


class WorkClass(pydantic.BaseModel):
    """Work class: a name, a target and limits on the budgets of programs.

    Explanation
    ===========

    Operators influence scheduling only through targets. Any other field,
    such as a weight, a server or an address, is rejected with an error that
    names the field.

    Examples
    ========

    >>> WorkClass(name='alerts', target_seconds=2).max_calls
    1000
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    name: typing.Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
    target_seconds: typing.Annotated[
        float, pydantic.Field(gt=0, le=7 * 24 * 3600)
    ]
    kind: typing.Literal['interactive', 'urgent', 'batch'] = 'interactive'
    max_tokens: typing.Annotated[int, pydantic.Field(ge=1)] = 1_000_000
    max_calls: typing.Annotated[int, pydantic.Field(ge=1)] = 1_000
    max_seconds: typing.Annotated[float, pydantic.Field(gt=0)] = 86_400.0
