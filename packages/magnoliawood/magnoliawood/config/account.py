"""Accounts of callers, viewers and operators."""

import enum
import hashlib
import typing

import pydantic

from magnoliawood.config import work_class

DIGEST_PATTERN = r'^[0-9a-f]{64}$'
# Maximum number of credentials of one account.
CREDENTIAL_LIMIT = 8
_CREDENTIAL_ID_CHARACTERS = 12


class Role(enum.StrEnum):
    """Role of an account, which determines its permissions."""

    CALLER = 'caller'
    VIEWER = 'viewer'
    OPERATOR = 'operator'


class Account(pydantic.BaseModel):
    """Account of a caller, viewer or operator with its credentials.

    :param token_hashes: SHA-256 digests of the bearer tokens in hexadecimal;
        more than one while a credential is being replaced
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
        """Public identifiers of the credentials."""
        return [credential_id(digest) for digest in self.token_hashes]


def hash_token(token: str) -> str:
    """Return the digest that is stored for a bearer token.

    Explanation
    ===========

    Tokens are long and random, so a plain digest is sufficient; a slow
    password hash would only delay every request.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def credential_id(digest: str) -> str:
    """Return the public identifier of a credential: the digest's start.

    Examples
    ========

    >>> credential_id(hash_token('a-token'))
    '1f6076e3a47b'
    """
    return digest[:_CREDENTIAL_ID_CHARACTERS]
