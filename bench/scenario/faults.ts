/** Carries out the faults of a scenario. */
import {HostState} from "../../src/host/host.js"
import {sleep} from "../../src/utils/common.js"
import {callJson, type Deployment} from "../deployment/index.js"
import {FaultAction, type FaultStep} from "./scenarios.js"

/** Carries out each step at its time; resolves after the last one. */
export async function runFaults(
	deployment: Deployment,
	steps: readonly FaultStep[],
	startAt: number,
	durationMs: number,
	onStep: (text: string) => void
): Promise<void> {
	for (const {atShare, action} of steps) {
		await sleep(startAt + atShare * durationMs - Date.now())
		onStep(action)
		await carryOut(deployment, action)
	}
}

async function carryOut(
	deployment: Deployment,
	action: FaultAction
): Promise<void> {
	const {platformUrl, weightStoreUrl} = deployment
	switch (action) {
		case FaultAction.ColdRestart:
			return restartEnginesCold(deployment)
		case FaultAction.SlowStore:
			return setFaults(weightStoreUrl, {speed: 0.5, failRatio: 0.1})
		case FaultAction.RestoreStore:
			return setFaults(weightStoreUrl, {speed: 1, failRatio: 0})
		case FaultAction.PlatformDown:
			return setFaults(platformUrl, {outage: true})
		case FaultAction.PlatformUp:
			return setFaults(platformUrl, {outage: false})
		case FaultAction.KillEntry:
			await deployment.child(firstEntry(deployment)).kill()
			return
		case FaultAction.RestartEntry:
			return deployment.child(firstEntry(deployment)).restart()
		case FaultAction.KillEndpoints:
			for (const id of firstEndpoints(deployment)) {
				await deployment.child(id).kill()
			}
			return
		case FaultAction.RestartEndpoints:
			for (const id of firstEndpoints(deployment)) {
				await deployment.child(id).restart()
			}
			return
		case FaultAction.RollingRestart:
			for (const id of deployment.programNames) {
				await replace(deployment, id)
			}
	}
}

export async function setFaults(url: string, faults: object): Promise<void> {
	await callJson(`${url}/control/faults`, {method: "POST", body: faults})
}

function firstEntry(deployment: Deployment): string {
	return deployment.entries[0]?.id ?? ""
}

/** The first endpoint host of each pool. */
function firstEndpoints({endpoints}: Deployment): string[] {
	const byPool = new Map<string, string>()
	for (const {id, pool} of endpoints) {
		if (!byPool.has(pool)) byPool.set(pool, id)
	}
	return [...byPool.values()]
}

async function restartEnginesCold(deployment: Deployment): Promise<void> {
	const urls = deployment.endpoints[0]?.workerUrls ?? []
	for (const url of urls) await setFaults(url, {coldRestart: true})
}

/** Stops a process as planned and starts its replacement. */
async function replace(deployment: Deployment, id: string): Promise<void> {
	const child = deployment.child(id)
	await deployment.setHostState(id, HostState.Leaving)
	await child.terminate()
	child.start()
	await deployment.waitReady([id])
	await deployment.setHostState(id, HostState.Live)
}
