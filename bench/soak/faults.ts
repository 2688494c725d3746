/** A seeded series of faults, which may overlap, and their ends. */
import {Cut} from "../../standins/relay.js"
import type {SoakDeployment} from "./deployment.js"

export interface Fault {
	name: string
	start: () => void | Promise<void>
	end: () => void | Promise<void>
}

/** Picks the next fault of the deployment. */
export function pickFault(
	deployment: SoakDeployment,
	random: () => number
): Fault {
	const faults = [
		...listProcessFaults(deployment, random),
		...listWorkerFaults(deployment, random),
		...listLinkFaults(deployment, random),
		...listStoreFaults(deployment, random)
	]
	return pick(faults, random)
}

function pick<T>(items: readonly T[], random: () => number): T {
	const item = items[Math.floor(random() * items.length)]
	if (item === undefined) throw new RangeError("nothing to pick from")
	return item
}

function listProcessFaults(
	deployment: SoakDeployment,
	random: () => number
): Fault[] {
	const gateway = pick(deployment.gateways, random).process
	const agents = deployment.sites.flatMap(({agent}) => agent ?? [])
	const agent = pick(agents, random)
	const child = random() < 0.5 ? gateway : agent
	const {name} = child
	const start = (): void => {
		if (!child.isRunning) child.start()
	}
	// Another fault may have started the process again before this one ends.
	let stopped: Promise<unknown> = Promise.resolve()
	return [
		{name: `kill ${name}`, start: () => void child.kill(), end: start},
		{
			name: `stop ${name}`,
			start: () => {
				stopped = child.terminate()
			},
			end: async () => {
				await stopped
				start()
			}
		},
		{
			name: `freeze ${name}`,
			start: () => {
				child.freeze()
			},
			end: () => {
				child.thaw()
			}
		},
		{
			name: `reload ${name}`,
			start: () => {
				child.signal("SIGHUP")
			},
			end: () => undefined
		}
	]
}

function listWorkerFaults(
	deployment: SoakDeployment,
	random: () => number
): Fault[] {
	const site = pick(deployment.sites, random)
	const {worker} = site
	const keepsId = random() < 0.3
	return [
		{
			name: `crash ${worker.name}`,
			start: async () => {
				const oldId = worker.id
				await worker.crash(keepsId)
				if (!keepsId) deployment.store.remove("servers", oldId)
			},
			end: async () => {
				if (!worker.isUp) await worker.start()
				deployment.writeEntry(site)
			}
		},
		{
			name: `drain ${worker.name}`,
			start: () => {
				site.state = "draining"
				deployment.writeEntry(site)
			},
			end: () => {
				site.state = "ready"
				deployment.writeEntry(site)
			}
		},
		{
			name: `lose answers of ${worker.name}`,
			start: () => {
				worker.answerLossRatio = 0.3
			},
			end: () => {
				worker.answerLossRatio = 0
			}
		},
		{
			name: `errors of ${worker.name}`,
			start: () => {
				worker.errorRatio = 0.4
			},
			end: () => {
				worker.errorRatio = 0
			}
		},
		{
			name: `late orders of ${worker.name}`,
			start: () => {
				worker.isDelayingOrders = true
			},
			end: () => {
				worker.isDelayingOrders = false
			}
		}
	]
}

function listLinkFaults(
	deployment: SoakDeployment,
	random: () => number
): Fault[] {
	const relays = [
		...deployment.sites.flatMap(({link, agentLink}) => [
			link,
			agentLink ?? link
		]),
		...deployment.gateways.map(({storeLink}) => storeLink)
	]
	const relay = pick(relays, random)
	const heal = (): void => {
		relay.heal()
	}
	const cut = pick([Cut.Both, Cut.ToTarget, Cut.ToClient], random)
	return [
		{
			name: `cut ${cut} ${relay.address}`,
			start: () => {
				relay.cut(cut)
			},
			end: heal
		},
		{
			name: `delay ${relay.address}`,
			start: () => {
				relay.delay(120)
			},
			end: heal
		},
		{
			name: `reset ${relay.address}`,
			start: () => {
				relay.reset()
			},
			end: () => undefined
		}
	]
}

function listStoreFaults(
	deployment: SoakDeployment,
	random: () => number
): Fault[] {
	const {store} = deployment
	const adapter = `a${Math.floor(random() * 9)}`
	return [
		{
			name: "store refuses",
			start: () => {
				store.failureStatus = random() < 0.5 ? 503 : 429
				store.closeConnections()
			},
			end: () => {
				store.failureStatus = 0
			}
		},
		{
			name: "store is silent",
			start: () => {
				store.isHanging = true
			},
			end: () => {
				store.isHanging = false
				store.closeConnections()
			}
		},
		{
			name: "store loses answers",
			start: () => {
				store.isDroppingWriteAnswers = true
			},
			end: () => {
				store.isDroppingWriteAnswers = false
			}
		},
		{
			name: "store forgets",
			start: () => {
				store.discardHistory()
			},
			end: () => undefined
		},
		{
			name: "configuration",
			start: () => void deployment.applyConfig(),
			end: () => void deployment.applyConfig()
		},
		{
			name: `version of ${adapter}`,
			start: () => {
				deployment.announce(adapter, 1 + Math.floor(random() * 1000))
			},
			end: () => undefined
		}
	]
}
