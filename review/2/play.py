"""A rolling restart of the storage machines, then the chain ages."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))
from common import deployment as deployments
from common import turns

PROGRAMS = 6


async def play(trouble, record):
    deployment = deployments.Deployment(record, gateways=2, keepers=3)
    try:
        return await run(deployment, trouble)
    finally:
        await deployment.close()


async def run(deployment, trouble):
    deployment.configure(1, [
        deployments.route('turns', 'streaming', 'llm', '/turns/',
                          retain=True, retain_s=turns.RETAIN_S, sticky=True),
    ], [deployments.engine_service('llm')])
    for zone in ('zone-a', 'zone-b'):
        await deployment.add_server('llm', zone)
    await deployment.start()
    await deployment.until_ready()
    lines = [turns.Line(deployment, number) for number in range(PROGRAMS)]
    began = time.monotonic()

    def clock():
        return time.monotonic() - began

    async def converse(line):
        # A turn about each second while the machines are restarted, then
        # one every 6 s; all of them through one gateway.
        while clock() < 84:
            await line.turn(deployment.gateways[0])
            await asyncio.sleep(0.6 if clock() < 26 else 6.0)

    async def restart():
        # One machine at a time; the next one only after the one before has
        # been back for longer than catch_up_s.
        for keeper in deployment.keepers:
            await asyncio.sleep(1.0)
            if trouble:
                await keeper.stop()
                await asyncio.sleep(1.5)
                keeper.start()
            await asyncio.sleep(deployments.BOUNDS['catch_up_s'] + 0.6)

    await asyncio.gather(restart(), *(converse(line) for line in lines))
    await asyncio.sleep(max(0.0, 92 - clock()))
    # The same lines of turns arrive through another zone.
    for line in lines:
        await line.turn(deployment.gateways[1])
    served = sum(line.turns for line in lines)
    deployment.log(f'{served} turns served in {PROGRAMS} lines')
    if served < 20 * PROGRAMS:
        raise deployments.CannotRun(f'only {served} turns were served')
    return [breach for line in lines for breach in line.breaches]


if __name__ == '__main__':
    deployments.main(play)
