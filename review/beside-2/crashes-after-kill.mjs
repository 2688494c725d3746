/**
 * A request crashes each worker that runs it, and comes again every four seconds. Then
 * all processes of the system are killed at the same moment and start again.
 */
import {
	awaitReady,
	bounds,
	controlAddress,
	isTrouble,
	pickIp,
	runCase,
	sleep,
	Store
} from "../kit-2/kit.mjs"
import {ModelWorker, streamParts} from "../kit-2/model.mjs"
import {createConfig, PlainWorker, sendRequest} from "../kit-2/plain.mjs"

const deadlyIntervalMs = 4000
const soundIntervalMs = 25
/** "The worker is back after some seconds." */
const backMs = 2000
const killAtMs = 18_000
const lengthMs = 48_000
const permittedRetries = 3

class CrashingWorker extends PlainWorker {
	handle(req, res) {
		if (!req.url.includes("deadly")) {
			super.handle(req, res)
			return
		}
		this.onDeadly(req.headers["x-request-id"])
		void this.crash().then(async () => {
			await sleep(backMs)
			await this.start()
		})
	}
}

await runCase(import.meta.url, async (scene, record) => {
	const store = await Store.start(await pickIp())
	scene.stops.push(() => store.stop())
	store.put("config", "main", createConfig(7, streamParts))
	const crashes = []
	for (const id of ["i-1", "i-2", "i-3", "i-4"]) {
		const worker = new CrashingWorker({store, ip: await pickIp(), id})
		worker.workMs = 43
		worker.onDeadly = requestId => {
			crashes.push({requestId, at: performance.now()})
			record.add("worker crashes", {worker: id, requestId})
		}
		await worker.start()
		scene.stops.push(() => worker.stop())
	}
	const machines = []
	for (const id of ["w-a", "w-b"]) {
		const ip = await pickIp()
		const worker = new ModelWorker({store, ip, id, record})
		await worker.start()
		scene.stops.push(() => worker.stop())
		machines.push({
			name: `side-${id}`,
			ip,
			role: "agent",
			seeds: [],
			storeAddress: store.address,
			app: `${ip}:${worker.port}`
		})
	}
	const ips = [await pickIp(), await pickIp()]
	const seeds = ips.map(controlAddress)
	for (const machine of machines) machine.child = scene.start(machine)
	const gateways = []
	for (const [index, ip] of ips.entries()) {
		gateways.push(
			await scene.addGateway(`front-${index + 1}`, {
				ip,
				seeds,
				storeAddress: store.address
			})
		)
	}
	machines.push(...gateways)
	for (const gateway of gateways) await awaitReady(gateway)
	await sleep(2000)

	const beganAt = performance.now()
	const until = beganAt + lengthMs
	let startedAt = beganAt
	const sentAtById = new Map()
	const statuses = new Map()
	let sent = 0
	const send = async (kind, index) => {
		sent += 1
		const id = `${kind}${sent}`
		sentAtById.set(id, performance.now())
		const {status} = await sendRequest({
			front: gateways[index % gateways.length].front,
			method: "POST",
			path: `/booking/${kind}`,
			id,
			deadlineMs: 1500,
			body: '{"slot":1}'
		})
		if (kind === "deadly") record.add("deadly request answered", {id, status})
		else statuses.set(status, (statuses.get(status) ?? 0) + 1)
	}
	const pending = []
	const sendAll = async (kind, intervalMs) => {
		for (let index = 0; performance.now() < until; index += 1) {
			pending.push(send(kind, index))
			await sleep(intervalMs)
		}
	}
	const senders = [
		sendAll("deadly", deadlyIntervalMs),
		sendAll("sound", soundIntervalMs)
	]
	await sleep(killAtMs)
	if (isTrouble) {
		record.add("all processes killed")
		for (const {child} of machines) child.kill("SIGKILL")
		await sleep(500)
		for (const machine of machines) machine.child = scene.start(machine)
		startedAt = performance.now()
	}
	await Promise.all(senders)
	await Promise.all(pending)

	const [, , third] = crashes
	const countedFrom = Math.max(
		(third?.at ?? Number.POSITIVE_INFINITY) + bounds.stableWindowMs,
		startedAt === beganAt ? 0 : startedAt + bounds.stableWindowMs
	)
	const countedBefore = startedAt === beganAt ? 0 : startedAt - 500
	const counted = crashes.filter(({requestId, at}) => {
		const sentAt = sentAtById.get(requestId) ?? 0
		const isBeforeKill =
			at < countedBefore &&
			third !== undefined &&
			sentAt > third.at + bounds.stableWindowMs
		return sentAt > countedFrom || isBeforeKill
	})
	record.add("crashes", {
		all: crashes.length,
		counted: counted.length,
		sound: JSON.stringify([...statuses])
	})
	return counted.length > permittedRetries
		? `BUDGET: the request reached workers in ${counted.length} retries after it had crashed the third`
		: undefined
})
