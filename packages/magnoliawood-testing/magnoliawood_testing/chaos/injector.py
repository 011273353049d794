"""Injects the faults of a schedule into a deployment."""

import signal

import curio

from magnoliawood_testing.chaos import schedule as schedules
from magnoliawood_testing.cluster import deployment as deployments

_LOST_REPLY_RATE = 0.3
_SLOW_STORE_SECONDS = 0.4


class Injector:
    """Injects faults into the processes of a deployment and reverts them.

    A fault is skipped while another one affects the same process.
    """

    def __init__(self, deployment: deployments.Deployment) -> None:
        self._deployment = deployment
        self._faulty: set[str] = set()

    async def run(self, faults: list[schedules.Fault]) -> None:
        """Apply all faults and return once all have been reverted."""
        async with curio.TaskGroup(wait=all) as group:
            for fault in faults:
                await group.spawn(self._apply, fault)

    async def _apply(self, fault: schedules.Fault) -> None:
        await curio.sleep(fault.start_seconds)
        node = self._target(fault)
        if node.name in self._faulty:
            return
        self._faulty.add(node.name)
        try:
            self._inject(fault, node)
            await curio.sleep(fault.duration_seconds)
            self._revert(fault, node)
        finally:
            self._faulty.discard(node.name)

    def _target(self, fault: schedules.Fault) -> deployments.Node:
        return fault.pick(self._candidates(fault.kind))

    def _candidates(self, kind: schedules.FaultKind) -> list[deployments.Node]:
        deployment = self._deployment
        kinds = schedules.FaultKind
        match kind:
            case kinds.KILL_ENTRY | kinds.FREEZE_ENTRY:
                return list(deployment.entries.values())
            case kinds.KILL_SIDECAR | kinds.FREEZE_SIDECAR:
                return list(deployment.sidecars.values())
            case kinds.KILL_ENGINE:
                return deployment.engines()
            case kinds.SERVICE_LOSES_REPLY:
                return deployment.services()
        return [deployment.platform]

    def _inject(self, fault: schedules.Fault, node: deployments.Node) -> None:
        kinds = schedules.FaultKind
        deployment = self._deployment
        match fault.kind:
            case kinds.KILL_ENTRY | kinds.KILL_SIDECAR | kinds.KILL_ENGINE:
                node.process.kill()
            case kinds.FREEZE_ENTRY | kinds.FREEZE_SIDECAR:
                node.process.send_signal(signal.SIGSTOP)
            case kinds.STORE_OUTAGE:
                deployment.set_faults(node, outage=True)
            case kinds.STORE_SLOW:
                deployment.set_faults(node, delay_seconds=_SLOW_STORE_SECONDS)
            case kinds.STORE_LOSES_REPLIES:
                deployment.set_faults(node, lost_reply_rate=_LOST_REPLY_RATE)
            case kinds.SERVICE_LOSES_REPLY:
                deployment.set_faults(node, lost_replies=1)

    def _revert(self, fault: schedules.Fault, node: deployments.Node) -> None:
        kinds = schedules.FaultKind
        deployment = self._deployment
        match fault.kind:
            case kinds.KILL_ENTRY | kinds.KILL_SIDECAR | kinds.KILL_ENGINE:
                node.process.start()
            case kinds.FREEZE_ENTRY | kinds.FREEZE_SIDECAR:
                node.process.send_signal(signal.SIGCONT)
            case kinds.STORE_OUTAGE:
                deployment.set_faults(node, outage=False)
            case kinds.STORE_SLOW:
                deployment.set_faults(node, delay_seconds=0.0)
            case kinds.STORE_LOSES_REPLIES:
                deployment.set_faults(node, lost_reply_rate=0.0)
