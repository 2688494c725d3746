/** Takes the incarnation of this endpoint process, its fencing number. */
import {ulid} from "ulid"
import type {Platform} from "../link/platform.js"
import {
	type FencingAction,
	FencingActionType,
	type FencingEvent,
	FencingEventType,
	IncarnationTaker,
	incarnationKind,
	type StoredIncarnation
} from "../policy/fencing.js"
import type {Log} from "../program/log.js"
import {assertNever} from "../utils/common.js"

export interface IncarnationTaskOptions {
	platform: Platform
	/** The address that the process binds, which makes it the only holder. */
	address: string
	/** Fencing numbers that its endpoints report as used. */
	used: readonly number[]
	log: Log
	/** Another process took a higher number: this one must stop. */
	onSuperseded: (observed: number) => void
	/** How long to wait for the platform before starting without it. */
	startWaitMs?: number
}

const defaultStartWaitMs = 3000

export class IncarnationTask {
	private readonly options: IncarnationTaskOptions
	private readonly taker: IncarnationTaker
	private timer: NodeJS.Timeout | undefined
	private isClosed = false
	private resolve: ((incarnation: number) => void) | undefined

	constructor(options: IncarnationTaskOptions) {
		this.options = options
		const {startWaitMs = defaultStartWaitMs} = options
		this.taker = new IncarnationTaker({
			processId: ulid(),
			random: Math.random(),
			startDeadline: Date.now() + startWaitMs
		})
	}

	/** Resolves with the number; recording it goes on after an outage. */
	take(): Promise<number> {
		return new Promise(resolve => {
			this.resolve = resolve
			const {used} = this.options
			this.step({type: FencingEventType.Start, used})
		})
	}

	close(): void {
		this.isClosed = true
		clearTimeout(this.timer)
	}

	private step(event: FencingEvent): void {
		if (this.isClosed) return
		for (const action of this.taker.step(event, Date.now())) {
			void this.carryOut(action)
		}
		this.scheduleTick()
	}

	private async carryOut(action: FencingAction): Promise<void> {
		switch (action.type) {
			case FencingActionType.ReadStored:
				return this.readStored()
			case FencingActionType.WriteStored:
				return this.writeStored(action.value, action.expected)
			case FencingActionType.Use:
				if (!action.isRecorded) {
					const {incarnation} = action
					this.options.log.warn("incarnation not recorded yet", {incarnation})
				}
				this.resolve?.(action.incarnation)
				return
			case FencingActionType.Stop:
				this.options.onSuperseded(action.observed)
				return
			default:
				assertNever(action)
		}
	}

	private async readStored(): Promise<void> {
		const {platform, address} = this.options
		try {
			const object = await platform.read(incarnationKind, address)
			this.step({
				type: FencingEventType.Read,
				stored: object?.value as StoredIncarnation | undefined,
				version: object?.version ?? 0
			})
		} catch {
			this.step({type: FencingEventType.ReadFailed})
		}
	}

	private async writeStored(
		value: StoredIncarnation,
		expected: number
	): Promise<void> {
		const {platform, address} = this.options
		const {outcome, version} = await platform.write(
			incarnationKind,
			address,
			value,
			expected
		)
		this.step({type: FencingEventType.WriteEnded, outcome, version})
	}

	private scheduleTick(): void {
		clearTimeout(this.timer)
		const at = this.taker.nextTickAt()
		if (!Number.isFinite(at)) return
		const waitMs = Math.max(1, at - Date.now())
		this.timer = setTimeout(() => {
			this.step({type: FencingEventType.Tick})
		}, waitMs)
	}
}
