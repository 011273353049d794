"""Models of the response bodies in the OpenAPI document."""

import datetime
import typing

import pydantic

from magnoliawood.config import account as accounts
from magnoliawood.config import work_class as work_classes
from magnoliawood.core import errors
from magnoliawood.core import verdict as verdicts

Version = typing.Annotated[
    int,
    pydantic.Field(
        ge=1, description='Version to send in ``If-Match`` of the next change.'
    ),
]


class Answer(pydantic.BaseModel):
    """Base class of the response bodies; unknown fields are rejected."""

    model_config = pydantic.ConfigDict(extra='forbid')


class Problem(Answer):
    """RFC 9457 problem document of a rejected or failed request."""

    type: str
    title: str
    status: int
    detail: str
    code: errors.ErrorCode
    verdict: verdicts.Verdict
    retry_after_seconds: float | None = None


class BudgetAnswer(Answer):
    """Budget of a program: tokens, calls and wall time in seconds."""

    tokens: int
    calls: int
    seconds: float


class ProgramAnswer(Answer):
    """State of a program and what is left of its budget."""

    program: str
    caller: str
    work_class: str = pydantic.Field(alias='class')
    state: typing.Literal['open', 'ended']
    end_reason: str
    opened_at: datetime.datetime
    budget: BudgetAnswer
    tokens_spent: int
    tokens_left: int
    calls_made: int
    calls_left: int
    next_sequence: int
    pending_sequence: int


class HistoryMessage(Answer):
    """Message in the history of a program."""

    role: str
    content: str


class HistoryAnswer(Answer):
    """History of a program and the digest of its hash chain."""

    program: str
    messages: list[HistoryMessage]
    digest: str


class CallAnswer(Answer):
    """Result of a finished call."""

    program: str
    sequence: int
    verdict: verdicts.Verdict
    content: str
    tokens: int
    status: int
    finish_reason: str


class ModelAnswer(Answer):
    """Model in the OpenAI format."""

    id: str
    object: typing.Literal['model']
    created: int
    owned_by: str


class ModelsAnswer(Answer):
    """Models that the upstreams serve, in the OpenAI format."""

    object: typing.Literal['list']
    data: list[ModelAnswer]


class ChatMessage(Answer):
    """Message that a chat completion generated."""

    role: typing.Literal['assistant']
    content: str


class ChatChoice(Answer):
    """Choice of a chat completion; each completion has exactly one."""

    index: int
    message: ChatMessage
    finish_reason: str


class ChatUsage(Answer):
    """Numbers of tokens that a chat completion used."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ChatAnswer(Answer):
    """Chat completion in the OpenAI format."""

    id: str
    object: typing.Literal['chat.completion']
    created: int
    model: str
    choices: list[ChatChoice]
    usage: ChatUsage


class ChatError(Answer):
    """Error in the format that OpenAI clients parse."""

    message: str
    type: str
    code: errors.ErrorCode
    verdict: verdicts.Verdict


class ChatProblem(Problem):
    """Problem document that also contains the error in the OpenAI format."""

    error: ChatError


class ClassAnswer(work_classes.WorkClass):
    """Class of work with its current version."""

    version: Version


class AccountAnswer(Answer):
    """Account; its credentials are listed by their short identifiers."""

    name: str
    role: accounts.Role
    credentials: list[str]
    version: Version


class DrainAnswer(Answer):
    """Drain of an upstream: no new calls are dispatched to it."""

    upstream: str
    by: str
    at: datetime.datetime
    version: Version


class ChangeAnswer(Answer):
    """Change of a class of work or an account."""

    version: int
    at: datetime.datetime
    by: str
    action: typing.Literal['created', 'changed', 'deleted']
    value: dict[str, typing.Any] | None


class ConflictProblem(Problem):
    """Rejected change: the current object and the change made first."""

    current: dict[str, typing.Any] | None
    change: ChangeAnswer | None


class ClassList(Answer):
    """All classes of work.

    :param malformed: names of stored classes that cannot be decoded
    """

    items: list[ClassAnswer]
    malformed: list[str]


class AccountList(Answer):
    """All accounts.

    :param malformed: names of stored accounts that cannot be decoded
    """

    items: list[AccountAnswer]
    malformed: list[str]


class ChangeList(Answer):
    """Most recent changes, oldest first.

    :param is_complete: whether the change that made the current version is
        included; true if the object does not exist any more
    """

    items: list[ChangeAnswer]
    is_complete: bool


class ProgramList(Answer):
    """Page of the programs of all callers.

    :param next: value of ``after`` for the next page, empty on the last page
    :param missing_entries: entries that did not respond, with the reason
    """

    items: list[ProgramAnswer]
    next: str
    missing_entries: dict[str, str]


class CallSummaryAnswer(Answer):
    """Summary of a call, without its content."""

    sequence: int
    kind: typing.Literal['model', 'service']
    target: str
    state: str
    upstream: str
    attempt: int
    verdict: typing.Literal['', 'not_run', 'may_have_run', 'ran']
    code: str
    tokens: int


class CallList(Answer):
    """Most recent calls of a program, oldest first."""

    items: list[CallSummaryAnswer]


class EntryAnswer(Answer):
    """State of an entry, as reported by the entry itself."""

    name: str
    incarnation: str
    data_centre: str
    leaving: bool
    store: str
    map_version: int
    configuration_version: int
    shards: int
    programs: int
    calls_under_way: int


class EntryList(Answer):
    """States of all entries that responded."""

    items: list[EntryAnswer]
    missing_entries: dict[str, str]


class HostAnswer(Answer):
    """Host as the queried entry knows it."""

    name: str
    role: typing.Literal['entry', 'sidecar']
    data_centre: str
    is_reachable: bool
    is_leaving: bool


class HostList(Answer):
    """All hosts that the queried entry knows."""

    items: list[HostAnswer]


class DataCentreAnswer(Answer):
    """Data centre with the number of its hosts."""

    name: str
    entries: int
    sidecars: int
    reachable: int


class DataCentreList(Answer):
    """All data centres that the queried entry knows."""

    items: list[DataCentreAnswer]


class UpstreamAnswer(Answer):
    """Upstream as its sidecar reported it to the queried entry."""

    name: str
    data_centre: str
    kind: typing.Literal['', 'engine', 'service']
    serves: list[str]
    calls: int
    is_reachable: bool
    is_leaving: bool
    is_drained: bool


class UpstreamList(Answer):
    """All upstreams that the queried entry knows."""

    items: list[UpstreamAnswer]


class CounterAnswer(Answer):
    """Value of a counter on one host."""

    host: str
    counter: str
    value: int


class CounterList(Answer):
    """Counters of the queried hosts that responded."""

    items: list[CounterAnswer]
    missing_entries: dict[str, str]
