"""Records of programs: turns, chains of turns and token charges."""

from magnoliawood.core import lazy

__getattr__ = lazy.exports(
    __name__,
    {
        'Charge': 'ledger',
        'ChargeRecord': 'records',
        'Ledger': 'ledger',
        'RecordTable': 'table',
        'TurnRecord': 'records',
    },
)
