"""Validated request bodies of the HTTP APIs."""

import json
import typing

import pydantic

from magnoliawood.config import account as accounts
from magnoliawood.config import work_class as work_classes
from magnoliawood.core import errors
from magnoliawood.programs import budget as budgets
from magnoliawood.programs import call as calls
from magnoliawood.programs import message as conversation
from magnoliawood_server.http import message as http_message

DEFAULT_MAX_TOKENS = 1024
_MAX_TOKENS_LIMIT = 1_000_000
# Each description needs far more memory than the field that it describes.
_MAX_DESCRIBED_ERRORS = 64
_NAME = r'^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$'

Model = typing.TypeVar('Model', bound=pydantic.BaseModel)
Name = typing.Annotated[str, pydantic.Field(pattern=_NAME)]
AccountName = typing.Annotated[
    str, pydantic.Field(pattern=work_classes.NAME_PATTERN)
]
Digest = typing.Annotated[str, pydantic.Field(pattern=accounts.DIGEST_PATTERN)]
Digests = typing.Annotated[
    list[Digest], pydantic.Field(max_length=accounts.CREDENTIAL_LIMIT)
]
MessageRole = typing.Literal[
    'system', 'developer', 'user', 'assistant', 'tool'
]
TokenLimit = typing.Annotated[int, pydantic.Field(ge=1, le=_MAX_TOKENS_LIMIT)]


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid')


class BudgetBody(_Strict):
    """Budget of a program."""

    tokens: typing.Annotated[int, pydantic.Field(ge=0)]
    calls: typing.Annotated[int, pydantic.Field(ge=1)]
    seconds: typing.Annotated[float, pydantic.Field(gt=0)]

    def to_budget(self) -> budgets.Budget:
        """Return the budget as a domain object."""
        return budgets.Budget(self.tokens, self.calls, self.seconds)


class OpenBody(_Strict):
    """Request to open a program."""

    work_class: Name = pydantic.Field(alias='class')
    budget: BudgetBody


class MessageBody(pydantic.BaseModel):
    """One message of a conversation."""

    model_config = pydantic.ConfigDict(extra='ignore')

    role: MessageRole
    content: str

    def to_message(self) -> conversation.Message:
        """Return the message as a domain object."""
        return conversation.Message(self.role, self.content)


class ModelCallBody(_Strict):
    """Request for a model call; ``messages`` has only the new messages."""

    kind: typing.Literal['model']
    model: Name
    messages: typing.Annotated[
        list[MessageBody], pydantic.Field(min_length=1, fail_fast=True)
    ]
    max_tokens: TokenLimit = DEFAULT_MAX_TOKENS
    stream: bool = False

    def to_request(self) -> calls.ModelRequest:
        """Return the request as a domain object."""
        return calls.ModelRequest(
            self.model,
            [message.to_message() for message in self.messages],
            self.max_tokens,
        )


class ServiceCallBody(_Strict):
    """Request for a service call."""

    kind: typing.Literal['service']
    service: Name
    operation: Name
    arguments: dict[str, typing.Any] = {}
    idempotent: bool = False
    stream: bool = False

    def to_request(self) -> calls.ServiceRequest:
        """Return the request as a domain object."""
        return calls.ServiceRequest(
            self.service,
            self.operation,
            json.dumps(self.arguments, sort_keys=True),
            self.idempotent,
        )


class CallBody(
    pydantic.RootModel[
        typing.Annotated[
            ModelCallBody | ServiceCallBody,
            pydantic.Field(discriminator='kind'),
        ]
    ]
):
    """Request for a call of either kind, distinguished by ``kind``."""


class TextPart(pydantic.BaseModel):
    """Part of a message in the OpenAI format; only text is accepted."""

    model_config = pydantic.ConfigDict(extra='ignore')

    type: typing.Literal['text']
    text: str


class ChatMessageBody(pydantic.BaseModel):
    """One message of an OpenAI-compatible request."""

    model_config = pydantic.ConfigDict(extra='ignore')

    role: MessageRole
    content: (
        str | typing.Annotated[list[TextPart], pydantic.Field(fail_fast=True)]
    )

    def to_message(self) -> conversation.Message:
        """Return the message as a domain object."""
        if isinstance(self.content, str):
            return conversation.Message(self.role, self.content)
        text = ''.join(part.text for part in self.content)
        return conversation.Message(self.role, text)


class ChatBody(pydantic.BaseModel):
    """OpenAI-compatible chat request; ``messages`` has all messages so far.

    Explanation
    ===========

    Fields that only affect sampling are ignored, because sampling is up to
    the engine. Fields that would change the form of the response are rejected
    because ignoring them would return a response of the wrong form.
    """

    model_config = pydantic.ConfigDict(extra='ignore')

    model: Name
    messages: typing.Annotated[
        list[ChatMessageBody],
        pydantic.Field(min_length=1, fail_fast=True),
    ]
    n: typing.Literal[1] | None = None
    tools: typing.Annotated[
        list[typing.Any], pydantic.Field(max_length=0)
    ] = []
    max_tokens: TokenLimit | None = None
    max_completion_tokens: TokenLimit | None = None
    stream: bool = False

    @property
    def token_limit(self) -> int:
        """Maximum number of tokens to generate."""
        return (
            self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS
        )


class AccountBody(_Strict):
    """Request to create or change an account.

    :param token_hashes: digests of all its credentials; omit them to
        keep the stored ones
    """

    name: AccountName
    role: accounts.Role
    token_hashes: Digests | None = None


class CredentialBody(_Strict):
    """Request to add a credential to an account, by its token's digest."""

    token_hash: Digest


def parse_body(
    model: type[Model],
    request: http_message.Request,
    unknown_field: str = '',
) -> Model:
    """Validate a JSON body.

    :param unknown_field: message for fields that the model does not have;
        empty for the default message
    :raises MagnoliawoodError: with ``malformed_body``, naming the fields
    """
    try:
        return model.model_validate_json(request.body)
    except pydantic.ValidationError as error:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.MALFORMED_BODY, _detail(error, unknown_field)
        ) from None


def _detail(error: pydantic.ValidationError, unknown_field: str) -> str:
    """Describe what is wrong with a body, unless that is very much."""
    if error.error_count() > _MAX_DESCRIBED_ERRORS:
        return f'{error.error_count()} fields are wrong'
    return '; '.join(
        _describe(item, unknown_field)
        for item in error.errors(include_url=False, include_input=False)
    )


def _describe(item: typing.Any, unknown_field: str) -> str:
    location = '.'.join(map(str, item['loc'])) or 'body'
    if unknown_field and item['type'] == 'extra_forbidden':
        return f'{location}: {unknown_field}'
    return f'{location}: {item["msg"]}'
