"""Options that all commands of ``magnoliactl`` share."""

import dataclasses
import typing

import typer

from magnoliawood_cli import client as clients
from magnoliawood_cli import output as outputs


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """Global options of one run of the command line.

    :param entry: address of the entry that requests are sent to, HOST:PORT
    :param token: bearer token of the account
    :param output: format in which results are printed
    """

    entry: str
    token: str
    output: outputs.OutputFormat

    @property
    def client(self) -> clients.AdminClient:
        """Client of the entry.

        :raises typer.BadParameter: if the entry or the token is invalid
        """
        try:
            address = clients.Address.from_text(self.entry)
        except ValueError as error:
            raise typer.BadParameter(
                f'{error} (can also be set in MAGNOLIACTL_ENTRY)',
                param_hint='--entry',
            ) from None
        token = self.token
        if not (token and token.isascii() and token.isprintable()):
            raise typer.BadParameter(
                'the token is empty or contains invalid characters (can also '
                'be set in MAGNOLIACTL_TOKEN)',
                param_hint='--token',
            )
        return clients.AdminClient(address, token)

    def write(self, value: typing.Any, *columns: str) -> None:
        """Print a result in the selected format."""
        outputs.write(value, list(columns), self.output)

    def write_result(self, text: str) -> None:
        """Print a text as the result of a request with an empty response."""
        self.write({'result': text}, 'result')
