/**
 * Simulated endpoint processes of one pool, in front of the same plain service.
 * They use one of the mechanisms that keep a call from running twice, and can
 * be killed, restarted, paused and resumed.
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
import {ProcessPlatform, SimulatedProcess} from "./fakeProcess.js"
import type {FakeService} from "./fakeService.js"
import type {VirtualClock} from "./virtualClock.js"

/** The mechanism that keeps a booking from running twice. */
export enum Way {
	/** Claims stored on the platform; calls are refused during its outage. */
	Claims = "claims",
	/**
	 * Tickets that an endpoint process mints and whose results it remembers; a
	 * booking makes no platform call.
	 */
	Tickets = "tickets",
	/**
	 * The memory of the key's home process alone, for comparison: bookings run
	 * twice after a restart or when entries disagree on the home.
	 */
	HomeOnly = "home only"
}

export interface FakeHost {
	id: string
	incarnation: number
	process: SimulatedProcess
	/** Undefined when the process keeps keys only in its memory. */
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
	private startedProcesses = 0

	constructor(readonly options: FleetOptions) {
		for (let i = 1; i <= options.hosts; i++) this.start(`host-${i}`)
	}

	get ids(): string[] {
		return [...this.hosts.keys()]
	}

	/** Starts a process; it replaces the one with this id, if there is one. */
	start(id: string): void {
		const {clock, platform, way} = this.options
		this.startedProcesses += 1
		const incarnation = this.startedProcesses
		const process = new SimulatedProcess(clock)
		if (way === Way.HomeOnly) {
			const memory = new InMemoryDeduplicator()
			const run: FakeHost["run"] = (call, send) => memory.run(call, send)
			this.hosts.set(id, {id, incarnation, process, run})
			return
		}
		const task = new ClaimTask({
			platform: new ProcessPlatform(platform, process),
			pool,
			buckets: this.options.buckets,
			owner: {hostId: id, address: id, incarnation},
			now: () => clock.now,
			setTimer: process.setTimer,
			processId: `p${incarnation}`,
			jitter: this.options.random(),
			...this.options.claims
		})
		const run: FakeHost["run"] = (call, send) => task.run(call, send)
		this.hosts.set(id, {id, incarnation, process, task, run})
		task.prefetchLogs(this.listBuckets())
	}

	kill(id: string): void {
		const host = this.hosts.get(id)
		host?.task?.stop()
		host?.process.kill()
	}

	pause(id: string): void {
		this.hosts.get(id)?.process.pause()
	}

	resume(id: string): void {
		this.hosts.get(id)?.process.resume()
	}

	/** Returns the function with which `host` sends a booking to the service. */
	createSend(host: FakeHost, booking: string): Send {
		const {service} = this.options
		return async () => {
			await host.process.deliver(Promise.resolve())
			return host.process.deliver(service.call(booking))
		}
	}

	private listBuckets(): number[] {
		return Array.from({length: this.options.buckets}, (_, index) => index)
	}
}

/** Returns the first result of each key again, except for not started calls. */
class InMemoryDeduplicator {
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
