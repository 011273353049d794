"""Records of programs: turns, chains of turns and token charges."""

from magnoliawood.turns.ledger import Charge
from magnoliawood.turns.ledger import Ledger
from magnoliawood.turns.records import ChargeRecord
from magnoliawood.turns.records import TurnRecord
from magnoliawood.turns.table import RecordTable

__all__ = ['Charge', 'ChargeRecord', 'Ledger', 'RecordTable', 'TurnRecord']
