"""What both roles share: settings, logs, listeners and answers."""

from magnoliawood_server.runtime.answer import AnswerBuffer
from magnoliawood_server.runtime.settings import EntrySettings
from magnoliawood_server.runtime.settings import SidecarSettings

__all__ = ['AnswerBuffer', 'EntrySettings', 'SidecarSettings']
