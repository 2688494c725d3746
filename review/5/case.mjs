/**
 * The store cuts off the watches that wait. A little later the entry of a worker
 * is removed that goes on serving for a while, as some do.
 */
import {bounds, hasTrouble, runCase, sleep} from "../standins/deployment.mjs"
import {
	booking,
	createConfig,
	createDeskWorker,
	createDraft,
	createWriter,
	statusCheck
} from "../standins/society.mjs"
import {Traffic} from "../standins/traffic.mjs"

/** Time from the cut of the watches to the removal of the entry. */
const removedAfterMs = 1500
/** The worker serves for `drain_ms` and a little longer, and ends. */
const servesForMs = bounds.drain_ms + 100

await runCase(import.meta.dirname, async deployment => {
	const arrivals = []
	const record = entry => {
		const {worker, requestId, method} = entry
		if (requestId === undefined) return
		arrivals.push(entry)
		deployment.log(`${worker} runs ${method ?? "stream"} ${requestId}`)
	}
	await deployment.open()
	const {store} = deployment
	store.put("config", "main", createConfig(7))
	const desks = [1, 2].map(index => createDeskWorker(index, record))
	for (const worker of desks) await deployment.addWorker(worker)
	const writer = createWriter(1, {record, adapters: ["a1"]})
	await deployment.addWorker(writer)
	deployment.startGateways(2)
	deployment.startAgent(writer)
	await deployment.waitUntilReady()
	await sleep(4000)
	const traffic = new Traffic({
		deployment,
		clients: 150,
		perSecond: 220,
		kinds: [booking, statusCheck, createDraft("a1", 0.1)]
	})
	traffic.start()
	await sleep(5000)
	if (hasTrouble) {
		const cut = store.cutWatches()
		deployment.log(`the store has cut off ${cut} watches`)
	}
	await sleep(removedAfterMs)
	const [leaving] = desks
	deployment.unregister(leaving)
	const removedAt = performance.now()
	deployment.log(`the entry of ${leaving.id} is removed`)
	await sleep(servesForMs)
	leaving.stop()
	deployment.log(`${leaving.id} has ended`)
	await sleep(4000)
	await traffic.stop()
	const after = arrivals
		.filter(({worker, at}) => worker === leaving.id && at > removedAt)
		.map(({at, ...rest}) => ({...rest, afterMs: Math.round(at - removedAt)}))
	const late = after.filter(({afterMs}) => afterMs > bounds.drain_ms)
	for (const {requestId, method, afterMs} of late)
		deployment.log(`DRAIN ${method} ${requestId} arrived ${afterMs} ms after`)
	const lateIds = new Set(late.map(({requestId}) => requestId))
	const lost = traffic.results.filter(
		({id, path, status}) =>
			lateIds.has(id) && path === booking.path && status !== 200
	)
	for (const {id, status} of lost)
		deployment.log(`LOST booking ${id}: the worker ended, answer ${status}`)
	const lastMs = Math.max(0, ...after.map(({afterMs}) => afterMs))
	return {
		isBroken: late.length > 0,
		text:
			`${late.length} requests reached the worker later than ` +
			`${bounds.drain_ms} ms after the removal, the last one after ${lastMs} ms; ${lost.length} ` +
			"bookings among them were cut by its end"
	}
})
