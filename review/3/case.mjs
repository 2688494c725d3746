/** An agent's host is frozen while a new version of an adapter is named. */
import {bounds, hasTrouble, runCase, sleep} from "../standins/deployment.mjs"
import {
	createConfig,
	createDeskWorker,
	createSummary,
	createWriter,
	model,
	statusCheck
} from "../standins/society.mjs"
import {Traffic} from "../standins/traffic.mjs"

const frozenMs = 7000
/** Time from the freeze to the naming of the version. */
const namedAfterMs = 150
const adapter = "a1"
const {version_ms: versionMs} = bounds

await runCase(import.meta.dirname, async deployment => {
	const runs = []
	const record = entry => {
		const {worker, requestId, version, order} = entry
		if (order !== undefined) deployment.log(`${worker} is ordered to ${order}`)
		if (version === undefined) return
		runs.push(entry)
		deployment.log(`${worker} runs ${requestId} on ${adapter}@${version}`)
	}
	await deployment.open()
	const {store} = deployment
	store.put("config", "main", createConfig(7))
	const nameVersion = version => {
		store.put("versions", `${model}.${adapter}`, {model, adapter, version})
		return performance.now()
	}
	nameVersion(1)
	let newest = 1
	const writers = [1, 2].map(index =>
		createWriter(index, {
			record,
			adapters: [adapter],
			events: 57,
			eventMs: 150,
			getNewest: () => newest
		})
	)
	for (const writer of writers) await deployment.addWorker(writer)
	await deployment.addWorker(createDeskWorker(1, record))
	deployment.startGateways(2)
	for (const writer of writers) deployment.startAgent(writer)
	await deployment.waitUntilReady()
	await sleep(4000)
	const traffic = new Traffic({
		deployment,
		clients: 110,
		perSecond: 10,
		kinds: [createSummary(adapter, 0.9), {...statusCheck, share: 0.1}]
	})
	traffic.start()
	await sleep(4000)
	const [frozen] = writers
	const agent = deployment.findProcess(frozen)
	if (hasTrouble) {
		agent.child.kill("SIGSTOP")
		deployment.log(`${agent.name} is frozen`)
	}
	await sleep(namedAfterMs)
	const namedAt = nameVersion(2)
	newest = 2
	deployment.log(`version 2 of ${adapter} is acknowledged`)
	await sleep(frozenMs - namedAfterMs)
	if (hasTrouble) {
		agent.child.kill("SIGCONT")
		deployment.log(`${agent.name} goes on`)
	}
	await sleep(5000)
	await traffic.stop()
	const late = runs
		.filter(({at, version}) => version < 2 && at > namedAt + versionMs)
		.map(({at, ...run}) => ({...run, afterMs: Math.round(at - namedAt)}))
	for (const {requestId, worker, version, afterMs} of late) {
		const what = `${requestId} began on ${adapter}@${version} at ${worker}`
		deployment.log(`VERSION ${what}, ${afterMs} ms after version 2`)
	}
	const lastMs = Math.max(0, ...late.map(({afterMs}) => afterMs))
	return {
		isBroken: late.length > 0,
		text:
			`${late.length} requests began on version 1 later than ${versionMs} ms ` +
			`after version 2, the last one after ${lastMs} ms`
	}
})
