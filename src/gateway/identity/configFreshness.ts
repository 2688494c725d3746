/** Keeps and reports the proof that a gateway's configuration is the newest. */
import type {FleetConfig} from "../../contract/fleet.js"
import {
	ConfigProof,
	type Confirmation,
	ContinuousTime,
	getMaxProofAgeMs
} from "../../policy/freshness/index.js"
import type {DecisionLog} from "../../program/decisionLog.js"
import type {FleetState} from "../fleet/fleetState.js"
import type {GatewayMetrics} from "../gatewayMetrics.js"

export interface ConfigFreshnessOptions {
	fleet: FleetState
	log: DecisionLog
	metrics: GatewayMetrics
	/** Whether keyed requests need proof. */
	isStrict: boolean
	/** Time after which a key that was removed must not be used any more. */
	revokeMs: number
	/** Monotonic milliseconds. */
	now: () => number
	/** Time of day in milliseconds, to notice that the host was suspended. */
	wallNow: () => number
}

export class ConfigFreshness {
	/** Age of proof from which no keyed request may be sent; undefined for any. */
	readonly maxProofAgeMs: number | undefined
	private readonly time = new ContinuousTime()
	private readonly proof = new ConfigProof()
	private wasProven = false

	constructor(private readonly options: ConfigFreshnessOptions) {
		const {fleet, metrics, isStrict, revokeMs} = options
		this.maxProofAgeMs = isStrict ? getMaxProofAgeMs(revokeMs) : undefined
		metrics.setProofAgeSource(() => this.ageMs)
		fleet.addListener({
			onConfig: ({version}: FleetConfig) => {
				this.proof.applyVersion(version)
				this.report("config")
			}
		})
	}

	/** Milliseconds, including the time for which the host was suspended. */
	now(): number {
		const {now, wallNow} = this.options
		return this.time.read({at: now(), wallAt: wallNow()})
	}

	/** Age of the proof; infinite if there is none. */
	get ageMs(): number {
		return this.proof.getAgeMs(this.now())
	}

	/** Whether keyed requests may be sent, as far as the age of the proof goes. */
	get isProven(): boolean {
		return this.maxProofAgeMs === undefined || this.ageMs < this.maxProofAgeMs
	}

	/** Records a read of the store that was sent at `sentAt` and is in force. */
	applyRead(sentAt: number): void {
		this.proof.applyRead(sentAt)
		this.report("store")
	}

	/** Records another gateway's answer; see `ConfigProof.applyConfirmation`. */
	applyConfirmation(confirmation: Confirmation, source: string): boolean {
		const version = this.options.fleet.config?.version ?? -Infinity
		const isProof = this.proof.applyConfirmation(confirmation, version)
		if (isProof) this.report(source)
		return isProof
	}

	/** Logs when the proof becomes too old for keyed requests, and when it is renewed. */
	report(source = ""): void {
		const {fleet, log} = this.options
		const {isProven, ageMs, maxProofAgeMs} = this
		if (!fleet.hasMembers || maxProofAgeMs === undefined) return
		if (isProven === this.wasProven) return
		this.wasProven = isProven
		const configVersion = fleet.config?.version
		const fields = {ageMs: Math.round(ageMs), maxProofAgeMs, configVersion}
		if (isProven) log.decide("proof.regained", {source, ...fields})
		else log.decide("proof.lost", fields)
	}
}
