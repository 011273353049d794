"""Programs, their calls, histories and budgets."""

from magnoliawood.programs.budget import Budget
from magnoliawood.programs.budget import BudgetLedger
from magnoliawood.programs.call import Call
from magnoliawood.programs.call import CallOutcome
from magnoliawood.programs.call import ModelRequest
from magnoliawood.programs.call import ServiceRequest
from magnoliawood.programs.identity import CallId
from magnoliawood.programs.identity import ProgramKey
from magnoliawood.programs.message import Message
from magnoliawood.programs.program import Program
from magnoliawood.programs.table import ProgramTable

__all__ = [
    'Budget',
    'BudgetLedger',
    'Call',
    'CallId',
    'CallOutcome',
    'Message',
    'ModelRequest',
    'Program',
    'ProgramKey',
    'ProgramTable',
    'ServiceRequest',
]
