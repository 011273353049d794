"""What the commands of one run share."""

import dataclasses
import typing

import typer

from magnoliawood_cli import client as clients
from magnoliawood_cli import output as outputs


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """Where to send requests and how to write the answers.

    :param entry: host and port of an entry
    :param token: bearer token
    """

    entry: str
    token: str
    output: outputs.OutputFormat

    @property
    def client(self) -> clients.AdminClient:
        """A client of the entry.

        :raises typer.BadParameter: if the entry or the token can't be used
        """
        try:
            address = clients.Address.from_text(self.entry)
        except ValueError as error:
            raise typer.BadParameter(
                f'{error} (or set MAGNOLIACTL_ENTRY)', param_hint='--entry'
            ) from None
        token = self.token
        if not (token and token.isascii() and token.isprintable()):
            raise typer.BadParameter(
                'it is empty or holds characters that no token has (or set '
                'MAGNOLIACTL_TOKEN)',
                param_hint='--token',
            )
        return clients.AdminClient(address, token)

    def write(self, value: typing.Any, *columns: str) -> None:
        """Print an answer."""
        outputs.write(value, list(columns), self.output)

    def done(self, text: str) -> None:
        """Report a change that has no answer of its own."""
        self.write({'result': text}, 'result')
