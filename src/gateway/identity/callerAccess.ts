/**
 * Decides by its key whether a request is accepted and, before each send, whether
 * it may still be sent.
 */
import type {ForwardRoute, Member} from "../../contract/fleet.js"
import type {DecisionLog} from "../../program/decisionLog.js"
import type {FleetState} from "../fleetState.js"
import type {RoutedRequest} from "../gatewayContext.js"
import type {GatewayMetrics} from "../gatewayMetrics.js"
import type {RequestHead} from "../wire.js"
import type {Denial} from "./denial.js"

export interface CallerAccessOptions {
	fleet: FleetState
	log: DecisionLog
	metrics: GatewayMetrics
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

/** Why a request is denied; a metrics label. */
export enum DenialReason {
	MissingKey = "missingKey",
	UnknownKey = "unknownKey",
	RemovedKey = "removedKey"
}

const denialTexts: Record<DenialReason, string> = {
	[DenialReason.MissingKey]: "a key is required",
	[DenialReason.UnknownKey]: "key is not known",
	[DenialReason.RemovedKey]: "key was removed"
}

export class CallerAccess {
	private readonly watchers = new Set<() => void>()

	constructor(private readonly options: CallerAccessOptions) {
		options.fleet.addListener({
			onConfig: () => {
				for (const watcher of [...this.watchers]) watcher()
			}
		})
	}

	/** Identifies the Member of a request that has just arrived. */
	identify(head: RequestHead, route: ForwardRoute): Identification {
		const {credential} = head
		const member = this.findMember(head)
		if (!this.requiresKey(route) || member !== undefined)
			return {member, denial: undefined}
		const reason =
			credential === undefined
				? DenialReason.MissingKey
				: DenialReason.UnknownKey
		return {member, denial: this.deny(reason, head, route)}
	}

	/** Returns why the request may not be sent now; undefined if it may. */
	checkSend({exchange, route, member}: RoutedRequest): Denial | undefined {
		// Without a Member, it was accepted when no key was required.
		if (!this.requiresKey(route) || member === undefined) return undefined
		const {head} = exchange
		// A key that now belongs to another Member does not stand for this one.
		if (this.findMember(head)?.name === member.name) return undefined
		return this.deny(DenialReason.RemovedKey, head, route)
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

	private findMember({credential}: RequestHead): Member | undefined {
		if (credential === undefined) return undefined
		return this.options.fleet.findMember(credential)
	}

	private requiresKey({isPublic}: ForwardRoute): boolean {
		return this.options.fleet.hasMembers && !isPublic
	}

	private deny(
		reason: DenialReason,
		{id}: RequestHead,
		route: ForwardRoute
	): Denial {
		const {log, metrics, fleet} = this.options
		metrics.countDenial(reason)
		log.request("request.denied", id, {
			reason,
			route: route.name,
			configVersion: fleet.config?.version
		})
		return {reason: denialTexts[reason], retryAfterMs: undefined}
	}
}
