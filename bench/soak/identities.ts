/**
 * Judges from what callers and workers saw whether keys were checked, withdrawn ones
 * ran no longer, workers heard of the right Member, and quotas held.
 */
import type {WorkerArrival, WorkerRun} from "../../standins/fleet/index.js"
import type {CallRecord} from "./callers.js"

export interface MemberRecord {
	name: string
	keys: readonly string[]
	/** `perSecond` is 0 without a limit. */
	quota: {plainTokens: number; perSecond: number; burst: number}
}

/** The Members of a configuration, and when the store acknowledged its write. */
export interface ConfigRecord {
	at: number
	members: readonly MemberRecord[]
}

export interface IdentityBounds {
	revokeMs: number
	quotaWindowMs: number
	quotaOverage: number
	quotaSlack: number
}

export interface IdentityEvidence {
	records: readonly CallRecord[]
	arrivals: readonly WorkerArrival[]
	runs: readonly WorkerRun[]
	/** In the order of their writes; the first one was there at the start. */
	configs: readonly ConfigRecord[]
	bounds: IdentityBounds
}

const httpUnauthorized = 401

export function judgeIdentities(evidence: IdentityEvidence): string[] {
	return [
		...judgeKeys(evidence),
		...judgeNames(evidence),
		...judgeRejections(evidence),
		...judgeQuotas(evidence)
	]
}

/** Finds runs with keys that were never known, or withdrawn too long ago. */
function judgeKeys({
	records,
	runs,
	configs,
	bounds
}: IdentityEvidence): string[] {
	const byId = new Map(records.map(record => [record.id, record]))
	return runs.flatMap(({requestId, startedAt}) => {
		const record = byId.get(requestId)
		if (record === undefined) return []
		const {credential = "", sentAt} = record
		const known = configs.filter(
			config => config.at <= startedAt && holdsKey(config, credential)
		)
		if (known.length === 0)
			return [`${requestId}: ran with a key that no configuration held`]
		const withdrawnAt = findWithdrawal(configs, credential, sentAt)
		if (withdrawnAt === undefined || sentAt <= withdrawnAt + bounds.revokeMs)
			return []
		const lateMs = Math.round(sentAt - withdrawnAt)
		return [`${requestId}: ran, sent ${lateMs} ms after its key was withdrawn`]
	})
}

/** Finds arrivals with another Member's name than the caller's, or with a key. */
function judgeNames({records, arrivals, configs}: IdentityEvidence): string[] {
	const byId = new Map(records.map(record => [record.id, record]))
	return arrivals.flatMap(({requestId, member, hasCredential}) => {
		const record = byId.get(requestId)
		if (record === undefined) return []
		const owner = findOwner(configs, record.credential)
		const breaches: string[] = []
		if (hasCredential) breaches.push(`${requestId}: its key reached a worker`)
		if (member !== owner) {
			const [told, right] = [member ?? "nobody", owner ?? "nobody"]
			breaches.push(`${requestId}: a worker was told ${told}, not ${right}`)
		}
		return breaches
	})
}

/** Finds 401 for keys that each configuration held that a gateway may have used. */
function judgeRejections({
	records,
	configs,
	bounds
}: IdentityEvidence): string[] {
	return records.flatMap(({id, status, credential = "", sentAt, endedAt}) => {
		if (status !== httpUnauthorized) return []
		const used = listInForce(configs, sentAt - bounds.revokeMs, endedAt)
		if (!used.every(config => holdsKey(config, credential))) return []
		return [`${id}: 401 for a key that all configurations held`]
	})
}

/**
 * Finds Members whose requests ran beyond their quota in some window. A request
 * counts once, when it first ran. A lower quota holds one window after its write.
 */
function judgeQuotas(evidence: IdentityEvidence): string[] {
	const {configs, bounds} = evidence
	const {quotaWindowMs, quotaOverage, quotaSlack} = bounds
	const breaches: string[] = []
	for (const [name, costs] of listCosts(evidence)) {
		let first = 0
		let sum = 0
		let worst = {excess: 0, sum: 0, allowed: 0}
		for (const {at, cost} of costs) {
			sum += cost
			let oldest = costs[first]
			while (oldest !== undefined && oldest.at <= at - quotaWindowMs) {
				sum -= oldest.cost
				first += 1
				oldest = costs[first]
			}
			const used = listInForce(configs, at - 2 * quotaWindowMs, at)
			const quota = Math.max(
				...used.map(config => getQuota(config, name, quotaWindowMs))
			)
			const allowed = quota * (1 + quotaOverage) + quotaSlack
			if (sum - allowed > worst.excess)
				worst = {excess: sum - allowed, sum, allowed}
		}
		if (worst.excess <= 0) continue
		const limit = Math.round(worst.allowed)
		breaches.push(`${name}: ${worst.sum} ran in a window, ${limit} allowed`)
	}
	return breaches
}

interface RunCost {
	at: number
	cost: number
}

/** What each Member's requests count, in the order in which they first ran. */
function listCosts({
	records,
	runs,
	configs
}: IdentityEvidence): Map<string, RunCost[]> {
	const byId = new Map(records.map(record => [record.id, record]))
	const counted = new Set<string>()
	const costs = new Map<string, RunCost[]>()
	const ordered = [...runs].sort((a, b) => a.startedAt - b.startedAt)
	for (const {requestId, startedAt} of ordered) {
		const record = byId.get(requestId)
		const name = findOwner(configs, record?.credential)
		if (record === undefined || name === undefined || counted.has(requestId))
			continue
		counted.add(requestId)
		const cost = record.tokens ?? findPlainTokens(configs, name)
		const known = costs.get(name) ?? []
		known.push({at: startedAt, cost})
		costs.set(name, known)
	}
	return costs
}

function findPlainTokens(
	configs: readonly ConfigRecord[],
	name: string
): number {
	const members = configs.flatMap(config => config.members)
	return members.find(one => one.name === name)?.quota.plainTokens ?? 0
}

/** What a Member may use in a window, without overage; infinite without a limit. */
function getQuota(
	{members}: ConfigRecord,
	name: string,
	windowMs: number
): number {
	const quota = members.find(one => one.name === name)?.quota
	if (quota === undefined) return 0
	if (quota.perSecond <= 0) return Number.POSITIVE_INFINITY
	return (quota.perSecond * windowMs) / 1000 + quota.burst
}

function holdsKey({members}: ConfigRecord, key: string): boolean {
	return members.some(({keys}) => keys.includes(key))
}

/** Each key belongs to one Member for the whole of a soak. */
function findOwner(
	configs: readonly ConfigRecord[],
	key: string | undefined
): string | undefined {
	if (key === undefined) return undefined
	return configs
		.flatMap(({members}) => members)
		.find(({keys}) => keys.includes(key))?.name
}

/** Configurations that were the newest at some time from `from` to `until`. */
function listInForce(
	configs: readonly ConfigRecord[],
	from: number,
	until: number
): ConfigRecord[] {
	return configs.filter(({at}, index) => {
		const replacedAt = configs[index + 1]?.at ?? Number.POSITIVE_INFINITY
		return at <= until && replacedAt > from
	})
}

/** When the key was withdrawn that the newest configuration at `at` doesn't hold. */
function findWithdrawal(
	configs: readonly ConfigRecord[],
	key: string,
	at: number
): number | undefined {
	const written = configs.filter(config => config.at <= at)
	const last = written.findLastIndex(config => holdsKey(config, key))
	return last < 0 ? undefined : written[last + 1]?.at
}
