"""Accounts of callers and operators."""

import enum
import hashlib
import typing

import pydantic

from magnoliawood.config import work_class


class Role(enum.StrEnum):
    """What an account may do."""

    CALLER = 'caller'
    VIEWER = 'viewer'
    OPERATOR = 'operator'


class Account(pydantic.BaseModel):
    """A caller or operator, known by the hashes of its credentials.

    :param token_hashes: SHA-256 digests in hex; more than one while a
        credential is being replaced
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    name: typing.Annotated[
        str, pydantic.Field(pattern=work_class.NAME_PATTERN)
    ]
    role: Role
    token_hashes: list[str]


def hash_token(token: str) -> str:
    """Return the digest under which a bearer token is kept.

    Explanation
    ===========

    Tokens are random and long, so a plain digest suffices; a slow password
    hash would only cost time on every request.
    """
    return hashlib.sha256(token.encode()).hexdigest()
