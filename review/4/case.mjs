/**
 * The store forgets its history while the operator names new versions of adapters, so
 * that gateways read the list of versions again while it changes.
 */
import {bounds, hasTrouble, runCase, sleep} from "../standins/deployment.mjs"
import {
	createConfig,
	createDeskWorker,
	createDraft,
	createWriter,
	model,
	statusCheck
} from "../standins/society.mjs"
import {Traffic} from "../standins/traffic.mjs"

/** All adapters of the model have had a version named: 20 pages of 500 records. */
const adapterCount = 10_000
const workerCount = 12
const slotCount = 4
/** Adapters that are in use, four at each worker. */
const usedAdapters = Array.from(
	{length: workerCount * slotCount},
	(_, index) => `a${100 + index}`
)
/** Time for which watches hear nothing before the history is gone. */
const silentMs = 1000
/** The operator names one new version after the other. */
const namedEachMs = 20
/** Bounds of the Society's grown site that differ. */
const grownBounds = {
	...bounds,
	stable_window_ms: 4000,
	ack_ms: 6000,
	catch_up_s: 6,
	drain_ms: 3000,
	config_apply_ms: 3000,
	max_stretch_ms: 6000,
	budget_extra: 100,
	recovery_s: 15,
	pass_ms: 200
}
const {version_ms: versionMs, stable_window_ms: stableMs} = grownBounds

await runCase(import.meta.dirname, async deployment => {
	const newest = new Map()
	const runs = []
	const record = entry => {
		const {worker, requestId, adapter, version, order} = entry
		if (adapter !== undefined) {
			runs.push(entry)
			deployment.log(`${worker} runs ${requestId} on ${adapter}@${version}`)
		} else if (order !== undefined)
			deployment.log(`${worker} is ordered to ${order}`)
	}
	deployment.bounds = grownBounds
	await deployment.open()
	const {store} = deployment
	const limits = {adapters: adapterCount, adapterSlots: slotCount}
	store.put("config", "main", createConfig(7, limits))
	const nameVersion = (adapter, version) => {
		store.put("versions", `${model}.${adapter}`, {model, adapter, version})
	}
	for (let index = 1; index <= adapterCount; index += 1)
		nameVersion(`a${index}`, 1)
	const writers = Array.from({length: workerCount}, (_, index) =>
		createWriter(index + 1, {
			record,
			adapterSlots: slotCount,
			adapters: usedAdapters.slice(index * slotCount, (index + 1) * slotCount),
			getNewest: adapter => newest.get(adapter)?.version ?? 1
		})
	)
	for (const writer of writers) await deployment.addWorker(writer)
	for (const index of [1, 2])
		await deployment.addWorker(createDeskWorker(index, record))
	deployment.startGateways(2)
	for (const writer of writers) deployment.startAgent(writer)
	await deployment.waitUntilReady()
	await sleep(4000)
	const drafts = usedAdapters.map(adapter => createDraft(adapter, 1))
	const traffic = new Traffic({
		deployment,
		clients: 60,
		perSecond: 40,
		kinds: [...drafts, {...statusCheck, share: 2}]
	})
	traffic.start()
	await sleep(4000)
	if (hasTrouble) store.silenceWatches()
	nameVersion("a9999", 2)
	await sleep(silentMs)
	const forgottenAt = performance.now()
	if (hasTrouble) {
		store.discardHistory()
		deployment.log("the store has forgotten its history")
	}
	for (const adapter of usedAdapters) {
		await sleep(namedEachMs)
		nameVersion(adapter, 2)
		newest.set(adapter, {version: 2, at: performance.now()})
		deployment.log(`version 2 of ${adapter} is acknowledged`)
	}
	await sleep(stableMs + versionMs + 7000)
	await traffic.stop()
	const stableAt = hasTrouble ? forgottenAt + stableMs : 0
	const late = runs.filter(({at, adapter, version}) => {
		const named = newest.get(adapter)
		if (named === undefined || version >= named.version) return false
		return at > Math.max(named.at, stableAt) + versionMs
	})
	for (const {requestId, worker, adapter, version, at} of late) {
		const afterMs = Math.round(at - newest.get(adapter).at)
		const what = `${requestId} began on ${adapter}@${version} at ${worker}`
		deployment.log(`VERSION ${what}, ${afterMs} ms after version 2`)
	}
	const adapters = new Set(late.map(({adapter}) => adapter))
	const after = runs.filter(({at}) => at > stableAt + versionMs).length
	return {
		isBroken: late.length > 0,
		text:
			`${late.length} of ${after} requests began on an older version of ` +
			`${adapters.size} of ${usedAdapters.length} adapters too late`
	}
})
