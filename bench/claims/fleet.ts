/**
 * Endpoint processes that serve one plain service each, with the ways of
 * keeping a call from running twice, and the faults that processes have.
 */
import {Step} from "../../src/contract/errors.js"
import {
	type ClaimCall,
	type ClaimResult,
	ClaimTask,
	type ClaimTaskOptions,
	type Send
} from "../../src/endpoint/claims/index.js"
import {
	ClaimRefusal,
	ClaimResultType,
	SendEnd
} from "../../src/policy/claimTypes.js"
import type {FakePlatform} from "./fakePlatform.js"
import {GatedPlatform, ProcessGate} from "./fakeProcess.js"
import type {FakeService} from "./fakeService.js"
import type {VirtualClock} from "./virtualClock.js"

/** How a booking is kept from running twice. */
export enum Way {
	/** Claims in the platform; refused in an outage. */
	Claims = "claims",
	/** Tickets minted by the endpoint process. */
	Tickets = "tickets",
	/** The key's home process remembers it; nothing is written. */
	HomeOnly = "home only"
}

export interface FakeHost {
	id: string
	incarnation: number
	gate: ProcessGate
	/** Undefined when keys are remembered in the process alone. */
	task?: ClaimTask
	run(call: ClaimCall, send: Send): Promise<ClaimResult>
}

export interface FleetOptions {
	clock: VirtualClock
	random: () => number
	platform: FakePlatform
	service: FakeService
	way: Way
	hosts: number
	buckets: number
	claims?: Partial<ClaimTaskOptions>
}

export const pool = "orders-desk"

export class FakeFleet {
	readonly hosts = new Map<string, FakeHost>()
	private started = 0

	constructor(readonly options: FleetOptions) {
		for (let i = 1; i <= options.hosts; i++) this.start(`host-${i}`)
	}

	get ids(): string[] {
		return [...this.hosts.keys()]
	}

	/** Starts a process, as the successor of the one with this id. */
	start(id: string): void {
		const {clock, platform, way} = this.options
		this.started += 1
		const incarnation = this.started
		const gate = new ProcessGate(clock)
		if (way === Way.HomeOnly) {
			const memory = new KeyMemory()
			const run: FakeHost["run"] = (call, send) => memory.run(call, send)
			this.hosts.set(id, {id, incarnation, gate, run})
			return
		}
		const task = new ClaimTask({
			platform: new GatedPlatform(platform, gate),
			pool,
			buckets: this.options.buckets,
			owner: {hostId: id, address: id, incarnation},
			now: () => clock.now,
			setTimer: gate.setTimer,
			processId: `p${incarnation}`,
			jitter: this.options.random(),
			...this.options.claims
		})
		const run: FakeHost["run"] = (call, send) => task.run(call, send)
		this.hosts.set(id, {id, incarnation, gate, task, run})
		task.prefetchLogs(this.allBuckets())
	}

	kill(id: string): void {
		const host = this.hosts.get(id)
		host?.task?.stop()
		host?.gate.kill()
	}

	pause(id: string): void {
		this.hosts.get(id)?.gate.pause()
	}

	resume(id: string): void {
		this.hosts.get(id)?.gate.resume()
	}

	/** Sends a booking at most as often as the runner asks for. */
	sendFrom(host: FakeHost, booking: string): Send {
		const {service} = this.options
		return async () => {
			await host.gate.pass(Promise.resolve())
			return host.gate.pass(service.call(booking))
		}
	}

	private allBuckets(): number[] {
		return Array.from({length: this.options.buckets}, (_, index) => index)
	}
}

/** Remembers keys in the process alone. */
class KeyMemory {
	private readonly results = new Map<string, Promise<ClaimResult>>()

	run(call: ClaimCall, send: Send): Promise<ClaimResult> {
		const known = this.results.get(call.key)
		if (known !== undefined) return known
		const result = this.sendOnce(call, send)
		this.results.set(call.key, result)
		return result
	}

	private async sendOnce(call: ClaimCall, send: Send): Promise<ClaimResult> {
		const result = await send()
		switch (result.end) {
			case SendEnd.Answered: {
				const {status, contentType, body} = result
				const type = ClaimResultType.Answered
				return {type, status, contentType, body, replayed: false}
			}
			case SendEnd.NotStarted: {
				this.results.delete(call.key)
				const {detail, retryAfterMs} = result
				const reason = ClaimRefusal.EndpointRefused
				return {type: ClaimResultType.NotRun, reason, detail, retryAfterMs}
			}
			case SendEnd.Unknown: {
				const {detail} = result
				return {type: ClaimResultType.Unknown, step: Step.Send, detail}
			}
		}
	}
}
