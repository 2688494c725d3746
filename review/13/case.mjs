/**
 * The store turns a third of the gateways away, those that the settings name as seeds,
 * and serves the others. The operator then moves a route to another service. The
 * gateways that the store serves have to follow within `config_apply_ms`.
 */
import {hasTrouble, heartbeatMs, runCase, sleep} from "../kit-3/deployment.mjs"
import {PlainWorker} from "../kit-3/workers.mjs"

const host = "shop.example"
const configApplyMs = 2000
const gatewayCount = 9
const seedCount = 3
const kinds = ["config", "versions", "servers"]
const workerCount = 12

function config(version, service, added) {
	const route = {
		host,
		kind: "unsafe",
		timeout_ms: 1500,
		target_latency_ms: 193,
		priority: 2,
		max_attempts: 1
	}
	const services = ["desk-a", "desk-b"].map(name => ({
		name,
		health_path: "/health",
		max_conns: 100,
		protocol: "h1",
		tls: false
	}))
	return {
		version,
		routes: [
			{...route, name: "bookings", path_prefix: "/bookings/", service},
			...added.map(name => ({
				...route,
				name,
				path_prefix: `/${name}/`,
				service
			}))
		],
		services,
		limits: {
			max_header_bytes: 16_384,
			max_body_bytes: 4_194_304,
			header_timeout_ms: 3000,
			idle_timeout_ms: 15_000
		}
	}
}

/**
 * Waits for a moment at which the seeds have just been answered: their watches of
 * kinds that don't change return every 1.5 s, at about the same time.
 */
async function untilAnswered(seeds) {
	const until = performance.now() + 20_000
	for (let maxAgeMs = 100; performance.now() < until; maxAgeMs += 0.2) {
		const now = performance.now()
		const ages = seeds.flatMap(({relay}) =>
			kinds.map(kind => now - (relay.answeredAt.get(kind) ?? 0))
		)
		if (Math.max(...ages) < maxAgeMs) return Math.max(...ages)
		await sleep(10)
	}
	throw new Error("the seeds' watches don't meet")
}

await runCase(
	new URL("record.txt", import.meta.url).pathname,
	{configApplyMs},
	async deployment => {
		const {note} = deployment
		const broken = []
		const sent = new Map()
		let ackAt = Number.POSITIVE_INFINITY
		const onRun = (worker, {id}) => {
			const {sentAt, gateway} = sent.get(id)
			const lateMs = sentAt - ackAt
			note(`${worker.service} runs ${id} of ${gateway}`)
			if (worker.service === "desk-a" && lateMs > configApplyMs)
				broken.push(
					`${id}, sent by ${gateway} ${lateMs.toFixed(0)} ms after the acknowledgement, is run by the old service`
				)
		}
		deployment.putConfig(config(7, "desk-a", []))
		for (let n = 0; n < workerCount; n += 1) {
			const machine = 11 + n
			const service = n % 2 === 0 ? "desk-a" : "desk-b"
			const worker = new PlainWorker({
				id: `i-${machine}`,
				ip: deployment.ip(machine),
				port: deployment.ports[5],
				service,
				zone: "zone-a",
				onRun,
				note
			})
			await worker.start()
			deployment.register(worker)
			// Each worker has heartbeats of its own.
			await sleep(heartbeatMs / workerCount)
		}
		const machines = Array.from({length: gatewayCount}, (_, n) => n + 1)
		const controls = machines
			.slice(0, seedCount)
			.map(machine => deployment.control(machine))
		const gateways = []
		for (const machine of machines)
			gateways.push(await deployment.startGateway(machine, controls))
		await deployment.waitReady(gateways)
		// Until all are in touch.
		await sleep(6000)

		const answers = []
		let count = 0
		const served = gateways.slice(seedCount)
		const clients = setInterval(() => {
			for (const {callers, name} of served) {
				count += 1
				const id = `r${count}`
				const path = count % 2 === 0 ? "/bookings/1" : "/refunds/1"
				const sentAt = deployment.now
				sent.set(id, {sentAt, gateway: name})
				const answer = deployment.send(callers, {
					id,
					path,
					host,
					body: `body of ${id}`,
					ms: 1500
				})
				answers.push(answer)
				void answer.then(({status}) => {
					note(`client ${id} ${path} at ${name}: ${status}`)
					const lateMs = sentAt - ackAt
					if (status === 404 && lateMs > configApplyMs)
						broken.push(
							`${id}, sent to ${name} ${lateMs.toFixed(0)} ms after the acknowledgement, gets 404 though its route is there`
						)
				})
			}
		}, 100)
		await sleep(1000)
		if (hasTrouble) {
			const seeds = gateways.slice(0, seedCount)
			const ageMs = await untilAnswered(seeds)
			for (const {relay} of seeds) relay.cut()
			note(`seeds are cut off, ${ageMs.toFixed(0)} ms after their last answers`)
			await sleep(50)
		}
		deployment.putConfig(config(8, "desk-b", ["refunds"]))
		ackAt = deployment.now
		await sleep(6000)
		clearInterval(clients)
		const all = await Promise.all(answers)
		const good = all.filter(({status}) => status === 200).length
		note(`${good} of ${all.length} requests served`)
		if (good < all.length / 3) throw new Error("too few requests are served")
		return broken
	}
)
