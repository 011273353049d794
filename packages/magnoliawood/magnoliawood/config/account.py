"""Accounts of callers and operators."""

import enum
import hashlib
import typing

import pydantic

from magnoliawood.config import work_class

DIGEST_PATTERN = r'^[0-9a-f]{64}$'
CREDENTIAL_LIMIT = 8
_CREDENTIAL_ID_CHARACTERS = 12


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
    token_hashes: typing.Annotated[
        list[typing.Annotated[str, pydantic.Field(pattern=DIGEST_PATTERN)]],
        pydantic.Field(max_length=CREDENTIAL_LIMIT),
    ]

    @property
    def credential_ids(self) -> list[str]:
        """Short public names of the credentials."""
        return [credential_id(digest) for digest in self.token_hashes]


def hash_token(token: str) -> str:
    """Return the digest under which a bearer token is kept.

    Explanation
    ===========

    Tokens are random and long, so a plain digest suffices; a slow password
    hash would only cost time on every request.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def credential_id(digest: str) -> str:
    """Return the short public name of a credential.

    Examples
    ========

    >>> credential_id(hash_token('a-token'))
    '1f6076e3a47b'
    """
    return digest[:_CREDENTIAL_ID_CHARACTERS]
