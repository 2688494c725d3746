/** A seeded series of faults, which may overlap, and their ends. */
import {Cut} from "../../standins/relay.js"
import {sleep} from "../../src/utils/common.js"
import {adapterCount} from "./callers.js"
import type {SoakDeployment} from "./deployment.js"

export interface Fault {
	name: string
	start: () => void | Promise<void>
	end: () => void | Promise<void>
}

/** Which kinds of faults a soak picks from. */
export enum FaultSet {
	/** Those of the earliest soaks, so that a seed stands for the same series. */
	First = "first",
	/** Also stores that return from a copy, leaving workers, and pauses. */
	All = "all",
	/** Also workers that state how many requests a second they take. */
	Limits = "limits",
	/** Also parts of prompts that crash engines until the faults end. */
	Prompts = "prompts",
	/** Those of `First`, and Members whose keys and quotas change. */
	Members = "members"
}

/** Picks the next fault of the deployment. */
export function pickFault(
	deployment: SoakDeployment,
	random: () => number,
	set: FaultSet
): Fault {
	if (set === FaultSet.Prompts && deployment.deadlyParts.size === 0) {
		return createPromptFault(deployment, random)
	}
	if (set === FaultSet.Members && random() < memberFaultShare) {
		return pick(listMemberFaults(deployment, random), random)
	}
	const hasLimits = set === FaultSet.Limits || set === FaultSet.Prompts
	if (hasLimits && random() < limitFaultShare) {
		return createLimitFault(deployment, random)
	}
	const hasStatements = set !== FaultSet.First && set !== FaultSet.Members
	if (hasStatements && random() < statementFaultShare) {
		return pick(listStatementFaults(deployment, random), random)
	}
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
	const callers = deployment.gateways.find(
		({process}) => process === child
	)?.callers
	const note = (): void => {
		if (callers !== undefined) deployment.noteDisturbance(callers)
	}
	const start = (): void => {
		note()
		if (!child.isRunning) child.start()
	}
	// Another fault may have started the process again before this one ends.
	let stopped: Promise<unknown> = Promise.resolve()
	return [
		{
			name: `kill ${name}`,
			start: () => {
				note()
				void child.kill()
			},
			end: start
		},
		{
			name: `stop ${name}`,
			start: () => {
				note()
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
				note()
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

/** Share of the faults that are about what the store and workers state. */
const statementFaultShare = 0.3
/** Time after which operator and workers notice and write again. */
const rewriteDelayMs = 800
const pauseMs = 1500

function listStatementFaults(
	deployment: SoakDeployment,
	random: () => number
): Fault[] {
	const {store} = deployment
	const site = pick(deployment.sites, random)
	const {worker} = site
	return [
		{
			name: "store returns from a copy",
			start: () => {
				store.saveCopy()
			},
			end: async () => {
				store.returnToCopy()
				await sleep(rewriteDelayMs)
				deployment.writeAgain()
			}
		},
		{
			name: `${worker.name} leaves`,
			start: () => {
				worker.isLeaving = true
			},
			end: async () => {
				const oldId = worker.id
				await worker.crash(false)
				store.remove("servers", oldId)
				if (!worker.isUp) await worker.start()
				deployment.writeEntry(site)
			}
		},
		{
			name: `${worker.name} turns work away`,
			start: () => {
				worker.pauseMs = pauseMs
			},
			end: () => {
				worker.pauseMs = 0
			}
		}
	]
}

const limitFaultShare = 0.25
/** A limit holds at least this long, so that it can be judged. */
const minLimitMs = 6000

function createLimitFault(
	deployment: SoakDeployment,
	random: () => number
): Fault {
	const {worker} = pick(deployment.sites, random)
	const perSecond = 0.5 + Math.floor(random() * 8) / 2
	return {
		name: `${worker.name} takes ${perSecond} a second`,
		start: () => {
			worker.perSecond = perSecond
		},
		end: async () => {
			await sleep(minLimitMs)
			worker.perSecond = 0
		}
	}
}

/** A part that several callers share; it is sound again when all faults end. */
function createPromptFault(
	deployment: SoakDeployment,
	random: () => number
): Fault {
	const part = `p${Math.floor(random() * adapterCount)}`
	return {
		name: `prompts with ${part} crash engines`,
		start: () => {
			deployment.deadlyParts.add(part)
		},
		end: () => undefined
	}
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

/** Share of the faults that are about Members. */
const memberFaultShare = 0.4
/** With the time of the fault, longer and shorter than keys may be used without proof. */
const longCutMs = 3000
const loweredShare = 0.5

function listMemberFaults(
	deployment: SoakDeployment,
	random: () => number
): Fault[] {
	const {members, gateways, sites} = deployment
	if (members === undefined) throw new TypeError("the soak has no Members")
	const {name} = pick(members.list(), random)
	const agents = sites.flatMap(({storeLink}) => storeLink ?? [])
	const gatewayLink = pick(gateways, random).storeLink
	const agentLink = pick(agents, random)
	const write = (): void => void deployment.applyConfig()
	const cut = (who: string, relay: typeof gatewayLink): Fault => ({
		name: `cut ${who} ${relay.address} from the store`,
		start: () => {
			relay.cut(Cut.Both)
		},
		end: async () => {
			await sleep(longCutMs)
			relay.heal()
		}
	})
	return [
		{
			name: `withdraw a key of ${name}`,
			start: () => {
				members.rotateKey(name)
				write()
			},
			end: () => undefined
		},
		{
			name: "add a Member",
			start: () => {
				members.add()
				write()
			},
			end: () => undefined
		},
		{
			name: "lower a quota",
			start: () => {
				members.scaleGreedyQuota(loweredShare)
				write()
			},
			end: () => {
				members.scaleGreedyQuota(1)
				write()
			}
		},
		cut("gateway", gatewayLink),
		cut("agent", agentLink)
	]
}
