"""Programs return just before their last turn expires."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))
from common import deployment as deployments
from common import turns

LINES = 40
# The first turns are spread over this time.
SPREAD_S = 6.0
# Pause between the end of a turn and the next turn; retain_s is 60.
PAUSE_S = 59.0
CALM_PAUSE_S = 50.0
# 16 events: a turn of 2.4 s, well inside the client's 4 s; pauses between
# events are under the route's gap_aim_ms of 300.
EVENT_S = 0.15


async def play(trouble, record):
    deployment = deployments.Deployment(record, gateways=2, keepers=3)
    try:
        return await run(deployment, trouble)
    finally:
        await deployment.close()


async def run(deployment, trouble):
    deployment.configure(1, [
        deployments.route('turns', 'streaming', 'llm', '/turns/',
                          retain=True, retain_s=turns.RETAIN_S, sticky=True,
                          gap_aim_ms=300),
    ], [deployments.engine_service('llm')])
    for number in range(6):
        server = await deployment.add_server('llm', f'zone-{"abc"[number % 3]}')
        server.event_s = lambda request_id: EVENT_S
    await deployment.start()
    await deployment.until_ready()
    lines = [turns.Line(deployment, number) for number in range(LINES)]

    async def converse(number, line):
        here, there = deployment.gateways
        await asyncio.sleep(SPREAD_S * number / LINES)
        await line.turn(here)
        pause = PAUSE_S if trouble else CALM_PAUSE_S
        await asyncio.sleep(line.ended_at + pause - time.monotonic())
        # The program returns within retain_s. Its next turn then arrives
        # through another zone.
        await line.turn(here)
        await asyncio.sleep(7.0)
        await line.turn(there)

    await asyncio.gather(*(
        converse(number, line) for number, line in enumerate(lines)))
    returned = sum(line.turns >= 2 for line in lines)
    deployment.log(f'{returned} of {LINES} programs returned and were served')
    if returned < LINES * 0.9:
        raise deployments.CannotRun(f'only {returned} programs were served')
    return [breach for line in lines for breach in line.breaches]


if __name__ == '__main__':
    deployments.main(play)
