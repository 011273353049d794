"""Decisions on a request at its arrival, before any work is done for it."""

import typing

from magnoliawood_server.gateway import job as jobs


class Gate(typing.Protocol):
    """Admits requests or refuses them at once."""

    def admit(self, job: jobs.Job) -> None:
        """Admit a request.

        :raises MagnoliawoodError: if it is refused; it has not run
        """
        ...

    def end(self, job: jobs.Job) -> None:
        """Record the end of a request that was admitted, however it ended."""
        ...


class Gates:
    """Gates that a request passes one after the other."""

    def __init__(self, gates: tuple[Gate, ...] = ()) -> None:
        self._gates = gates

    def admit(self, job: jobs.Job) -> None:
        """Admit a request at all gates or at none.

        :raises MagnoliawoodError: if one of them refuses it
        """
        passed: list[Gate] = []
        try:
            for gate in self._gates:
                gate.admit(job)
                passed.append(gate)
        except BaseException:
            for gate in passed:
                gate.end(job)
            raise

    def end(self, job: jobs.Job) -> None:
        """Record the end of a request that was admitted."""
        for gate in self._gates:
            gate.end(job)
