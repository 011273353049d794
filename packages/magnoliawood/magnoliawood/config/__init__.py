"""Configuration set by operators: work classes, accounts and drains."""

from magnoliawood.config.account import Account
from magnoliawood.config.account import Role
from magnoliawood.config.change import Change
from magnoliawood.config.change import ChangeLog
from magnoliawood.config.configuration import Configuration
from magnoliawood.config.drain import Drain
from magnoliawood.config.work_class import WorkClass

__all__ = [
    'Account',
    'Change',
    'ChangeLog',
    'Configuration',
    'Drain',
    'Role',
    'WorkClass',
]
