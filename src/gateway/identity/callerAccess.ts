/**
 * Decides by its key whether a request is accepted and, before each send, whether
 * it may still be sent.
 */
import type {ForwardRoute, Member} from "../../contract/fleet.js"
import {Access, decideAccess} from "../../policy/freshness/index.js"
import type {DecisionLog} from "../../program/decisionLog.js"
import type {FleetState} from "../fleet/fleetState.js"
import type {RoutedRequest} from "../gatewayContext.js"
import type {GatewayMetrics} from "../gatewayMetrics.js"
import type {RequestHead} from "../wire.js"
import type {ConfigFreshness} from "./configFreshness.js"
import type {Denial} from "./denial.js"

export interface CallerAccessOptions {
	fleet: FleetState
	freshness: ConfigFreshness
	log: DecisionLog
	metrics: GatewayMetrics
	random: () => number
}

export interface Identification {
	/** Undefined without a known key. */
	member: Member | undefined
	/** Set if the request is not accepted. */
	denial: Denial | undefined
}

export interface CallerDescription {
	/** Undefined without a known key. */
	memberName: string | undefined
	priority: number
}

type DeniedAccess = Exclude<Access, Access.Permitted>

const denialTexts: Record<DeniedAccess, string> = {
	[Access.MissingKey]: "a key is required",
	[Access.UnknownKey]: "key is not known",
	[Access.UnprovenKey]: "key is not known yet",
	[Access.RemovedKey]: "key was removed",
	[Access.Unproven]: "configuration is not proven to be the newest"
}
/** Proof is renewed twice a second where the store is read, and once elsewhere. */
const unprovenRetryAfterMs = 500

export class CallerAccess {
	private readonly watchers = new Set<() => void>()

	constructor(private readonly options: CallerAccessOptions) {
		options.fleet.addListener({
			onConfig: () => {
				for (const watcher of [...this.watchers]) watcher()
			}
		})
	}

	/** Whether requests with a known key may be sent now. */
	get canServeMembers(): boolean {
		const {fleet, freshness} = this.options
		return !fleet.hasMembers || freshness.isProven
	}

	/** Identifies the Member of a request that has just arrived. */
	identify(head: RequestHead, route: ForwardRoute): Identification {
		const member = this.findMember(head)
		if (!this.requiresKey(route)) return {member, denial: undefined}
		const isKnown = member !== undefined
		return {member, denial: this.check(head, route, isKnown, false)}
	}

	/** Returns why the request may not be sent now; undefined if it may. */
	checkSend({exchange, route, member}: RoutedRequest): Denial | undefined {
		// Without a Member, it was accepted when no key was required.
		if (!this.requiresKey(route) || member === undefined) return undefined
		const {head} = exchange
		return this.check(head, route, this.isKeyOf(head, member), true)
	}

	/** As `checkSend`, but only whether the request's key was removed. */
	checkKey(request: RoutedRequest): Denial | undefined {
		const {exchange, member} = request
		if (member === undefined || this.isKeyOf(exchange.head, member))
			return undefined
		return this.checkSend(request)
	}

	/** What a send of the request tells the endpoint of its caller. */
	describeCaller({exchange, route}: RoutedRequest): CallerDescription {
		const member = this.findMember(exchange.head)
		return {
			memberName: member?.name,
			priority: member?.priority ?? route.priority
		}
	}

	/**
	 * Calls `watcher` when another configuration is in force. Returns the function
	 * that ends this.
	 */
	watch(watcher: () => void): () => void {
		this.watchers.add(watcher)
		return () => {
			this.watchers.delete(watcher)
		}
	}

	/** A key that now belongs to another Member does not stand for this one. */
	private isKeyOf(head: RequestHead, {name}: Member): boolean {
		return this.findMember(head)?.name === name
	}

	private findMember({credential}: RequestHead): Member | undefined {
		if (credential === undefined) return undefined
		return this.options.fleet.findMember(credential)
	}

	private requiresKey({isPublic}: ForwardRoute): boolean {
		return this.options.fleet.hasMembers && !isPublic
	}

	private check(
		head: RequestHead,
		route: ForwardRoute,
		isKnown: boolean,
		wasAccepted: boolean
	): Denial | undefined {
		const {ageMs: proofAgeMs, maxProofAgeMs} = this.options.freshness
		const access = decideAccess({
			hasKey: head.credential !== undefined,
			isKnown,
			wasAccepted,
			proofAgeMs,
			maxProofAgeMs
		})
		if (access === Access.Permitted) return undefined
		this.recordDenial(access, head, route, proofAgeMs)
		return {
			reason: denialTexts[access],
			retryAfterMs: this.getRetryAfterMs(access)
		}
	}

	private recordDenial(
		reason: DeniedAccess,
		{id}: RequestHead,
		{name: route}: ForwardRoute,
		proofAgeMs: number
	): void {
		const {log, metrics, fleet} = this.options
		metrics.countDenial(reason)
		log.request("request.denied", id, {
			reason,
			route,
			configVersion: fleet.config?.version,
			proofAgeMs: Math.round(proofAgeMs)
		})
	}

	private getRetryAfterMs(access: DeniedAccess): number | undefined {
		const isTemporary =
			access === Access.Unproven || access === Access.UnprovenKey
		if (!isTemporary) return undefined
		return unprovenRetryAfterMs * (1 + this.options.random())
	}
}
