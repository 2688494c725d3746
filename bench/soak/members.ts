/**
 * The Members of a soak's configurations, as the operator changes them, and the keys
 * with which callers identify themselves.
 */
import type {MemberRecord} from "./identities.js"

export const memberBounds = {
	revokeMs: 5000,
	quotaWindowMs: 8000,
	quotaOverage: 0.1,
	quotaSlack: 4000
}

/** What `X-Token-Count` of a draft states. */
export const draftTokens = {prompt: 600, output: 20}
const plainTokens = 100
/** Callers of this Member ask for several times as much. */
const greedyName = "greedy"
const greedyQuota = {perSecond: 2000, burst: 2000}
const ampleQuota = {perSecond: 50_000, burst: 50_000}
const unknownKeyShare = 0.05
const withdrawnKeyShare = 0.05
const addedMemberShare = 0.1
/** Every third caller is one of the greedy Member. */
const callersPerGreedy = 3

export interface ShownKey {
	key: string
	/** Whether requests with it are refused in normal operation. */
	isRefusable: boolean
}

export class SoakMembers {
	private members: MemberRecord[] = [
		createMember(greedyName, greedyQuota),
		createMember("ample", ampleQuota),
		createMember("unlimited", {perSecond: 0, burst: 0})
	]
	private readonly withdrawnKeys: string[] = []
	private addedNames: string[] = []
	private nextKey = 1

	list(): readonly MemberRecord[] {
		return this.members
	}

	/** The `tenants` of the platform's configuration. */
	encode(): unknown[] {
		return this.members.map(({name, keys, quota}, index) => ({
			name,
			api_keys: keys,
			priority: index % 2,
			unit: "tokens",
			plain_tokens: quota.plainTokens,
			rate_per_s: quota.perSecond,
			burst: quota.burst
		}))
	}

	/** Replaces the oldest key of a Member. */
	rotateKey(name: string): void {
		this.change(name, member => {
			const [withdrawn = "", ...kept] = member.keys
			this.withdrawnKeys.push(withdrawn)
			return {...member, keys: [...kept, `${name}-new-${this.nextKey++}`]}
		})
	}

	add(): void {
		const name = `added-${this.addedNames.length + 1}`
		this.addedNames = [...this.addedNames, name]
		this.members = [...this.members, createMember(name, ampleQuota)]
	}

	/** Sets the greedy Member's quota to a share of what it is at first. */
	scaleGreedyQuota(share: number): void {
		const {perSecond, burst} = greedyQuota
		this.change(greedyName, member => ({
			...member,
			quota: {plainTokens, perSecond: perSecond * share, burst: burst * share}
		}))
	}

	/** The key of the next request of a caller. */
	draw(caller: number, random: () => number): ShownKey {
		const draw = random()
		if (draw < unknownKeyShare) {
			return {key: `unknown-${caller}`, isRefusable: true}
		}
		if (draw < unknownKeyShare + withdrawnKeyShare) {
			const key = pick(this.withdrawnKeys, random)
			if (key !== undefined) return {key, isRefusable: true}
		}
		const added = random() < addedMemberShare
		const others = added ? this.addedNames : ["ample", "unlimited"]
		const isGreedy = caller % callersPerGreedy === 0
		const name = isGreedy ? greedyName : pick(others, random)
		const member = this.members.find(one => one.name === name)
		const key = pick((member ?? this.members[1])?.keys ?? [], random) ?? ""
		return {key, isRefusable: isGreedy}
	}

	private change(
		name: string,
		update: (member: MemberRecord) => MemberRecord
	): void {
		this.members = this.members.map(member =>
			member.name === name ? update(member) : member
		)
	}
}

function createMember(
	name: string,
	{perSecond, burst}: {perSecond: number; burst: number}
): MemberRecord {
	const keys = [`${name}-1`, `${name}-2`]
	return {name, keys, quota: {plainTokens, perSecond, burst}}
}

function pick<T>(items: readonly T[], random: () => number): T | undefined {
	return items[Math.floor(random() * items.length)]
}
