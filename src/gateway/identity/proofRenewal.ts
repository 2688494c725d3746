/**
 * Renews the proof that this gateway's configuration is the newest by asking the
 * gateways that watch the store. Does nothing while the configuration has no Members.
 */
import type {ConfirmAnswer} from "../../contract/gen/fleet_pb.js"
import {ConfirmPlan} from "../../policy/freshness/index.js"
import type {FleetState} from "../fleet/fleetState.js"
import type {GatewayMetrics} from "../gatewayMetrics.js"
import type {ConfigFreshness} from "./configFreshness.js"

export interface ProofRenewalOptions {
	fleet: FleetState
	freshness: ConfigFreshness
	metrics: GatewayMetrics
	/** Addresses of the gateways that can be asked now. */
	listSources: () => readonly string[]
	/** Asks one of them; the callback gets no answer if the call failed. */
	confirm: (
		source: string,
		onAnswer: (answer: ConfirmAnswer | undefined) => void
	) => void
	/** Whether this gateway watches the store itself. */
	isPublisher: boolean
	random: () => number
}

/** How an answer was used; a metrics label. */
export enum ConfirmResult {
	Proof = "proof",
	/** The other gateway has no recent proof, or has another version. */
	NoProof = "noProof",
	Failed = "failed"
}

const tickMs = 100
/**
 * From this age on, a gateway that watches the store asks the others too. Its watches
 * renew the proof at an age of 1 s at most while the store responds.
 */
const publisherAskAgeMs = 1500
/** Age from which the next question is not put off. */
const hurryAgeMs = 2000
/** A proof of this age is of no use: the store would give a newer one. */
const recentMs = 2500

export class ProofRenewal {
	private readonly plan = new ConfirmPlan()
	private timer: NodeJS.Timeout | undefined
	private confirmedAt = Number.NEGATIVE_INFINITY

	constructor(private readonly options: ProofRenewalOptions) {}

	start(): void {
		this.timer = setInterval(() => {
			this.tick()
		}, tickMs)
	}

	stop(): void {
		clearInterval(this.timer)
	}

	/** Whether other gateways have confirmed the configuration recently. */
	get isConfirmed(): boolean {
		return this.options.freshness.now() - this.confirmedAt < recentMs
	}

	private tick(): void {
		const {fleet, freshness, isPublisher, listSources, random} = this.options
		if (!fleet.hasMembers) {
			// Gives the other gateways time to confirm the first one that has.
			this.confirmedAt = freshness.now()
			return
		}
		freshness.report()
		const {ageMs} = freshness
		if (isPublisher && ageMs < publisherAskAgeMs) return
		if (ageMs > hurryAgeMs) this.plan.hurry()
		const source = this.plan.next(listSources(), freshness.now(), random())
		if (source !== undefined) this.ask(source)
	}

	private ask(source: string): void {
		const {freshness, metrics, confirm} = this.options
		const askedAt = freshness.now()
		confirm(source, answer => {
			if (answer === undefined) {
				metrics.countConfirm(ConfirmResult.Failed)
				return
			}
			const {hasProof, version, ageMs} = answer
			const isProof = freshness.applyConfirmation(
				{version, ageMs: hasProof ? ageMs : undefined, askedAt},
				source
			)
			const isRecent = isProof && ageMs < recentMs
			metrics.countConfirm(
				isRecent ? ConfirmResult.Proof : ConfirmResult.NoProof
			)
			this.plan.applyAnswer(source, isRecent, askedAt)
			if (isRecent) this.confirmedAt = Math.max(this.confirmedAt, askedAt)
		})
	}
}
