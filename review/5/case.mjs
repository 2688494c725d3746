/**
 * The operator changes the load time of the model in the configuration to a number of
 * seconds that is no whole number of milliseconds in floating point.
 */
import {hasTrouble, runCase, sleep} from "../standins/deployment.mjs"
import {
	booking,
	createConfig,
	createDeskWorker,
	createDraft,
	createWriter,
	statusCheck
} from "../standins/society.mjs"
import {Traffic} from "../standins/traffic.mjs"

/** 2.01 * 1000 is 2009.9999999999998. */
const loadTimeS = hasTrouble ? 2.01 : 2
const slotCount = 5
/** The first of each worker are there from the start. */
const adapters = Array.from({length: 20}, (_, index) => `a${1 + index}`)
const askedForMs = 20_000
/** Adapters that are asked for at least so often, over at least so long, count. */
const countedAsks = 4
const countedSpanMs = 8000
const allowed = {count: 1, share: 0.1}

await runCase(import.meta.dirname, async deployment => {
	const adapterOf = new Map()
	const record = ({worker, requestId, adapter, order}) => {
		if (order !== undefined) deployment.log(`${worker} is ordered to ${order}`)
		if (requestId === undefined) return
		deployment.log(`${worker} runs ${requestId} ${adapter ?? ""}`)
	}
	await deployment.open()
	const {store} = deployment
	const limits = {adapterSlots: slotCount}
	store.put("config", "main", createConfig(7, limits))
	for (const index of [1, 2])
		await deployment.addWorker(createDeskWorker(index, record))
	const writers = [1, 2].map(index =>
		createWriter(index, {record, adapters: adapters.slice(0, slotCount)})
	)
	for (const writer of writers) await deployment.addWorker(writer)
	deployment.startGateways(2)
	for (const writer of writers) deployment.startAgent(writer)
	await deployment.waitUntilReady()
	await sleep(3000)
	const config = createConfig(9, limits)
	config.services[0].engine.models[0].load_time_s = loadTimeS
	store.put("config", "main", config)
	deployment.log(`configuration 9 is acknowledged, load_time_s ${loadTimeS}`)
	await sleep(4000)
	const drafts = adapters.map(adapter => ({
		...createDraft(adapter, 1),
		path: `/draft/${adapter}`
	}))
	for (const {path} of drafts) adapterOf.set(path, path.split("/").at(-1))
	const traffic = new Traffic({
		deployment,
		clients: 40,
		perSecond: 40,
		kinds: [...drafts, {...booking, share: 2}, {...statusCheck, share: 1}]
	})
	traffic.start()
	await sleep(askedForMs)
	await traffic.stop()
	const asked = adapters.map(adapter => {
		const results = traffic.results.filter(
			({path}) => adapterOf.get(path) === adapter
		)
		const times = results.map(({sentAt}) => sentAt)
		const spanMs = Math.max(...times) - Math.min(...times)
		const served = results.filter(({status}) => status === 200).length
		return {adapter, asks: results.length, spanMs, served}
	})
	const counted = asked.filter(
		({asks, spanMs}) => asks >= countedAsks && spanMs >= countedSpanMs
	)
	const never = counted.filter(({served}) => served === 0)
	for (const {adapter, asks} of never)
		deployment.log(`STARVED ${adapter}: asked for ${asks} times, never served`)
	return {
		isBroken: never.length > allowed.count + allowed.share * counted.length,
		text:
			`${never.length} of ${counted.length} adapters were never served in ` +
			`${askedForMs / 1000} s`
	}
})
