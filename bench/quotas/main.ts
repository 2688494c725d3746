/**
 * Compares three ways to hold Members to their quotas, in virtual time:
 * `main.js [seed]`. Prints how much of the quotas a skewed load can use, how far
 * they are exceeded, and calls to the store.
 */
import type {QuotaBounds, QuotaTerms} from "../../src/policy/quotas/index.js"
import {createRandom, drawExponential} from "../policy/random.js"
import {VirtualClock} from "../policy/virtualClock.js"
import {
	type DesignOptions,
	PartDesign,
	type QuotaDesign,
	ShareDesign,
	StoreDesign
} from "./designs.js"
import {findBusiest, getBound, QuotaFleet} from "./quotaFleet.js"

const bounds: QuotaBounds = {windowMs: 8000, overage: 0.1, slack: 17_000}
const gatewayCount = 21
const agentCount = 26
const domainCount = 3
const memberCount = 16
/** Sizes of Members, and the load of gateways, fall by this power of their rank. */
const skew = 1.2
const requestTokens = 2400
/** Requests a second of all Members at their usual rate. */
const usualRequests = 150
const quotaFactor = 1.8
/** Load in quotas; above 1, so that all of a quota can be used. */
const loadFactor = 1.2
const warmUpMs = 10_000
const endMs = 70_000
/** Time from the request's arrival until an endpoint gets it, at most. */
const maxSendMs = 400

interface Scenario {
	name: string
	isPartitioned: boolean
}

interface Row {
	design: string
	scenario: string
	/** Of all quotas, and of the Member that could use the least of its own. */
	used: number
	leastUsed: number
	/** Largest use within a window, in bounds of the page. */
	ofBound: number
	storeCallsPerSecond: number
	messagesPerSecond: number
}

const scenarios: Scenario[] = [
	{name: "calm", isPartitioned: false},
	{name: "a third cut off", isPartitioned: true}
]
const designs = ["store", "equal shares", "parts"]

function listWeights(count: number): number[] {
	const weights = Array.from({length: count}, (_, n) => 1 / (n + 1) ** skew)
	const total = weights.reduce((sum, weight) => sum + weight, 0)
	return weights.map(weight => weight / total)
}

function createMembers(): {name: string; terms: QuotaTerms}[] {
	return listWeights(memberCount).map((weight, n) => {
		const usual = usualRequests * requestTokens * weight
		const perSecond = usual * quotaFactor
		const burst = 2 * perSecond
		const terms = {version: 1, perSecond, burst, countsRequests: false}
		return {name: `m${n}`, terms}
	})
}

function drawIndex(weights: readonly number[], random: () => number): number {
	let left = random()
	const index = weights.findIndex(weight => (left -= weight) < 0)
	return index < 0 ? weights.length - 1 : index
}

function run(
	design: string,
	{name, isPartitioned}: Scenario,
	seed: number
): Row {
	const clock = new VirtualClock()
	const random = createRandom(seed)
	const cutDomain = domainCount - 1
	const options: DesignOptions = {
		clock,
		gateways: gatewayCount,
		isCut: n =>
			isPartitioned && clock.now >= warmUpMs && n % domainCount === cutDomain
	}
	const agents = agentCount
	const fleet = new QuotaFleet({
		clock,
		random,
		bounds,
		agents,
		domains: domainCount
	})
	const parts = new PartDesign(options, fleet)
	const chosen: QuotaDesign =
		design === "store"
			? new StoreDesign(options)
			: design === "parts"
				? parts
				: new ShareDesign(options)
	const gatewayWeights = listWeights(gatewayCount)
	const members = createMembers()
	const offer = (member: string, terms: QuotaTerms): void => {
		const meanMs = (requestTokens * 1000) / (terms.perSecond * loadFactor)
		clock.schedule(clock.now + drawExponential(random, meanMs), () => {
			const gateway = drawIndex(gatewayWeights, random)
			const waitMs = random() * maxSendMs
			chosen.serve({gateway, member, terms, tokens: requestTokens, waitMs})
			offer(member, terms)
		})
	}
	for (let at = 0; at < 1000 && design === "parts"; at += 100) {
		clock.run(at)
		parts.search()
	}
	for (const member of members) offer(member.name, member.terms)
	clock.run(warmUpMs)
	if (isPartitioned) fleet.cut(cutDomain)
	clock.run(endMs)
	return measure(design, name, chosen, design === "parts" ? parts.messages : 0)
}

function measure(
	design: string,
	scenario: string,
	{sent, storeCalls}: QuotaDesign,
	messages: number
): Row {
	const members = createMembers()
	const seconds = (endMs - warmUpMs) / 1000
	const uses = members.map(({name, terms}) => {
		const own = sent.filter(({member}) => member === name)
		const amount = own
			.filter(({at}) => at >= warmUpMs && at < endMs)
			.reduce((sum, one) => sum + one.amount, 0)
		const ofBound = findBusiest(own, bounds.windowMs) / getBound(terms, bounds)
		return {amount, quota: terms.perSecond * seconds, ofBound}
	})
	const total = uses.reduce((sum, {amount}) => sum + amount, 0)
	const quota = uses.reduce((sum, use) => sum + use.quota, 0)
	return {
		design,
		scenario,
		used: total / quota,
		leastUsed: Math.min(...uses.map(use => use.amount / use.quota)),
		ofBound: Math.max(...uses.map(use => use.ofBound)),
		storeCallsPerSecond: (storeCalls * 1000) / endMs,
		messagesPerSecond: (messages * 1000) / endMs
	}
}

function formatRow(row: Row): string {
	const cells = [
		row.design,
		row.scenario,
		row.used.toFixed(3),
		row.leastUsed.toFixed(3),
		row.ofBound.toFixed(3),
		row.storeCallsPerSecond.toFixed(1),
		row.messagesPerSecond.toFixed(0)
	]
	return `| ${cells.join(" | ")} |`
}

const seed = Number(process.argv[2] ?? "1")
console.log(
	"| design | scenario | used | least used of a Member | largest window, of the bound | store calls a second | asks a second |"
)
console.log("| --- | --- | --- | --- | --- | --- | --- |")
for (const design of designs) {
	for (const scenario of scenarios)
		console.log(formatRow(run(design, scenario, seed)))
}
