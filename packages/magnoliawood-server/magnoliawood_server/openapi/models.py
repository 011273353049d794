"""Bodies of the answers, as the OpenAPI document shows them."""

import datetime
import typing

import pydantic

from magnoliawood.config import account as accounts
from magnoliawood.config import work_class as work_classes
from magnoliawood.core import errors
from magnoliawood.core import verdict as verdicts

Version = typing.Annotated[
    int, pydantic.Field(ge=1, description='for If-Match of the next change')
]


class Answer(pydantic.BaseModel):
    """Base of all answers."""

    model_config = pydantic.ConfigDict(extra='forbid')


class Problem(Answer):
    """RFC 9457 problem document of a refused or failed request."""

    type: str
    title: str
    status: int
    detail: str
    code: errors.ErrorCode
    verdict: verdicts.Verdict
    retry_after_seconds: float | None = None


class BudgetAnswer(Answer):
    """Budget of a program."""

    tokens: int
    calls: int
    seconds: float


class ProgramAnswer(Answer):
    """State of a program."""

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
    """One message of a history."""

    role: str
    content: str


class HistoryAnswer(Answer):
    """History of a program and the hash chain over it."""

    program: str
    messages: list[HistoryMessage]
    digest: str


class CallAnswer(Answer):
    """A finished call."""

    program: str
    sequence: int
    verdict: verdicts.Verdict
    content: str
    tokens: int
    status: int
    finish_reason: str


class ModelAnswer(Answer):
    """A model, in the OpenAI form."""

    id: str
    object: typing.Literal['model']
    created: int
    owned_by: str


class ModelsAnswer(Answer):
    """Models that the upstreams serve, in the OpenAI form."""

    object: typing.Literal['list']
    data: list[ModelAnswer]


class ChatMessage(Answer):
    """Answer of a chat completion."""

    role: typing.Literal['assistant']
    content: str


class ChatChoice(Answer):
    """The one choice of a chat completion."""

    index: int
    message: ChatMessage
    finish_reason: str


class ChatUsage(Answer):
    """Tokens of a chat completion."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ChatAnswer(Answer):
    """Chat completion in the OpenAI form."""

    id: str
    object: typing.Literal['chat.completion']
    created: int
    model: str
    choices: list[ChatChoice]
    usage: ChatUsage


class ChatError(Answer):
    """Error in the form that OpenAI clients parse."""

    message: str
    type: str
    code: errors.ErrorCode
    verdict: verdicts.Verdict


class ChatProblem(Problem):
    """Problem document with the error in the OpenAI form beside it."""

    error: ChatError


class ClassAnswer(work_classes.WorkClass):
    """A class of work at a version."""

    version: Version


class AccountAnswer(Answer):
    """An account; its credentials are shown by short ids."""

    name: str
    role: accounts.Role
    credentials: list[str]
    version: Version


class DrainAnswer(Answer):
    """A mark that keeps new work from an upstream."""

    upstream: str
    by: str
    at: datetime.datetime
    version: Version


class ChangeAnswer(Answer):
    """One change of a class or an account."""

    version: int
    at: datetime.datetime
    by: str
    action: typing.Literal['created', 'changed', 'deleted']
    value: dict[str, typing.Any] | None


class ConflictProblem(Problem):
    """Refused change: what is there now and the change that won."""

    current: dict[str, typing.Any] | None
    change: ChangeAnswer | None


class ClassList(Answer):
    """All classes.

    :param malformed: names of those that can't be read
    """

    items: list[ClassAnswer]
    malformed: list[str]


class AccountList(Answer):
    """All accounts.

    :param malformed: names of those that can't be read
    """

    items: list[AccountAnswer]
    malformed: list[str]


class ChangeList(Answer):
    """The newest changes, the oldest first.

    :param is_complete: whether the change that is in force is among them
    """

    items: list[ChangeAnswer]
    is_complete: bool


class ProgramList(Answer):
    """A page of programs of all owners.

    :param next: value of ``after`` for the next page, empty on the last
    :param missing_entries: entries that gave no answer, with the reason
    """

    items: list[ProgramAnswer]
    next: str
    missing_entries: dict[str, str]


class CallSummaryAnswer(Answer):
    """A call without its content."""

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
    """The newest calls of a program, the oldest first."""

    items: list[CallSummaryAnswer]


class EntryAnswer(Answer):
    """State of an entry, as it tells itself."""

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
    """All entries."""

    items: list[EntryAnswer]
    missing_entries: dict[str, str]


class HostAnswer(Answer):
    """A host as the asked entry sees it."""

    name: str
    role: typing.Literal['entry', 'sidecar']
    data_centre: str
    is_reachable: bool
    is_leaving: bool


class HostList(Answer):
    """All hosts."""

    items: list[HostAnswer]


class DataCentreAnswer(Answer):
    """A data centre with its hosts counted."""

    name: str
    entries: int
    sidecars: int
    reachable: int


class DataCentreList(Answer):
    """All data centres."""

    items: list[DataCentreAnswer]


class UpstreamAnswer(Answer):
    """An upstream as its sidecar told the asked entry."""

    name: str
    data_centre: str
    kind: typing.Literal['', 'engine', 'service']
    serves: list[str]
    calls: int
    is_reachable: bool
    is_leaving: bool
    is_drained: bool


class UpstreamList(Answer):
    """All upstreams."""

    items: list[UpstreamAnswer]


class CounterAnswer(Answer):
    """A counter of one host."""

    host: str
    counter: str
    value: int


class CounterList(Answer):
    """Counters of the hosts asked."""

    items: list[CounterAnswer]
    missing_entries: dict[str, str]
