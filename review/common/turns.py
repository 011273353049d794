"""Lines of turns of programs, and what the rules say of their answers."""

import asyncio
import time

from common import server as servers

RETAIN_S = 60.0


class Line:
    """One line of turns; each turn carries only its new input."""

    def __init__(self, deployment, number, path='/turns/stream',
                 input_bytes=0):
        self.deployment = deployment
        self.path = path
        self.input_bytes = input_bytes
        self.program = f'{deployment.prefix}p{number}'
        self.previous = ''
        self.ended_at = 0.0
        self.history = b''
        self.turns = 0
        self.breaches = []

    async def turn(self, gateway, tries=3, deadline_ms=4000, **headers):
        """Send the next turn as a program does; return the last answer.

        A turn that failed is sent again after .1 to .4 s, at most twice.
        """
        for number in range(tries):
            if number:
                await asyncio.sleep(0.3)
            answer = await self._send(gateway, deadline_ms, headers)
            if answer.served or answer.status in (400, 402, 404, 410):
                break
        return answer

    async def _send(self, gateway, deadline_ms, headers):
        deployment = self.deployment
        request_id = deployment.new_id()
        text = f'input of {request_id}\n'.encode()
        text += b'.' * (self.input_bytes - len(text))
        sent_at = time.monotonic()
        answer = await deployment.request(
            gateway, self.path, text, request_id=request_id,
            deadline_ms=deadline_ms,
            Program_Id=self.program, Session_Id=f'{self.program}s',
            Program_Deadline_Ms=120000,
            Previous_Turn=self.previous,
            **{'Token_Usage': '100,592', **headers})
        self._check_run(request_id, text)
        age = sent_at - self.ended_at
        if answer.status in (404, 410) and self.previous and age < RETAIN_S:
            self.breaches.append(
                f'LOST: turn {request_id} was answered {answer.status}, '
                f'although its Previous-Turn {self.previous} (turn number '
                f'{self.turns} of its line) was answered whole {age:.1f} s '
                f'before and retain_s is {RETAIN_S:.0f}')
        if answer.served:
            self.history += text + servers.output_of(
                request_id, answer.events)
            self.previous = request_id
            self.ended_at = time.monotonic()
            self.turns += 1
        return answer

    def _check_run(self, request_id, text):
        for server in self.deployment.servers:
            for _, ran, body in server.runs:
                if ran == request_id and body != self.history + text:
                    self.breaches.append(
                        f'UNASKED: {server.name} ran {request_id} with '
                        'another body than the chain and the new input')
