/** Workers spoil answers: the status line of some begins with a wrong digit. */
import {hasTrouble, runCase, sleep} from "../standins/deployment.mjs"
import {allowedCuts, findCuts, logCuts} from "../standins/lost.mjs"
import {
	booking,
	createConfig,
	createDeskWorker,
	createDraft,
	createWriter,
	statusCheck
} from "../standins/society.mjs"
import {Traffic} from "../standins/traffic.mjs"

/** One answer in 50 of half of the workers, for 5.5 s. */
const spoiltEach = 50
const spoiltForMs = 5500

await runCase(import.meta.dirname, async deployment => {
	const arrivals = new Map()
	const record = ({worker, requestId, spoilt}) => {
		if (requestId !== undefined) arrivals.set(requestId, worker)
		if (requestId !== undefined) deployment.log(`${worker} runs ${requestId}`)
		else if (spoilt !== undefined) deployment.log(`${worker} spoils ${spoilt}`)
	}
	await deployment.open()
	deployment.store.put("config", "main", createConfig(7))
	const desks = [1, 2, 3, 4].map(index => createDeskWorker(index, record))
	for (const worker of desks) await deployment.addWorker(worker)
	const writer = createWriter(1, {record, adapters: ["a1"]})
	await deployment.addWorker(writer)
	deployment.startGateways(2)
	deployment.startAgent(writer)
	await deployment.waitUntilReady()
	await sleep(4000)
	const traffic = new Traffic({
		deployment,
		clients: 160,
		perSecond: 240,
		kinds: [booking, statusCheck, createDraft("a1", 0.1)]
	})
	traffic.start()
	await sleep(5000)
	const faulty = desks.slice(0, 2)
	const faultyIds = faulty.map(({id}) => id)
	if (hasTrouble) {
		deployment.log(`${faultyIds.join(", ")} begin to spoil answers`)
		let answers = 0
		for (const worker of faulty)
			worker.spoils = () => (answers += 1) % spoiltEach === 0
	}
	await sleep(spoiltForMs)
	for (const worker of faulty) worker.spoils = () => false
	deployment.log("no worker spoils answers any more")
	await sleep(5000)
	await traffic.stop()
	const isSound = worker => !faultyIds.includes(worker)
	const cuts = findCuts(traffic.results, arrivals, isSound)
	logCuts(deployment, cuts, arrivals)
	const bookings = cuts.filter(({path}) => path === booking.path).length
	return {
		isBroken: cuts.length > allowedCuts,
		text:
			`${cuts.length} requests of kept connections that sound workers ran were ` +
			`cut without an answer (${bookings} of them bookings); gateways ended by ` +
			`themselves ${deployment.ownEnds.length} times`
	}
})
