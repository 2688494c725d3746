/** Typed errors. Each names the processing step and the peer that failed. */

/** Step of a request or of a background task, named in errors. */
export enum Step {
	Receive = "receive",
	Admit = "admit",
	Claim = "claim",
	Forward = "forward",
	Queue = "queue",
	Load = "load",
	Send = "send",
	Stream = "stream",
	Answer = "answer",
	Record = "record",
	Settings = "settings",
	ParseConfig = "parseConfig",
	WriteParts = "writeParts",
	WriteRoot = "writeRoot",
	Spread = "spread",
	Drain = "drain",
	Platform = "platform"
}

export interface StepErrorOptions {
	step: Step
	/** Host id, address or URL of the peer; empty when no peer is involved. */
	peer?: string
	cause?: unknown
}

/** Base of all typed errors. */
export class StepError extends Error {
	readonly step: Step
	readonly peer: string

	constructor(message: string, {step, peer = "", cause}: StepErrorOptions) {
		super(message, cause === undefined ? undefined : {cause})
		this.name = new.target.name
		this.step = step
		this.peer = peer
	}
}

/** The platform refused a call, answered malformed data or did not answer. */
export class PlatformError extends StepError {}

/** A setting or flag is missing or malformed. */
export class SettingsError extends StepError {
	readonly faults: readonly string[]

	constructor(faults: readonly string[]) {
		super(faults.join("\n"), {step: Step.Settings})
		this.faults = faults
	}
}

/** A caller's request is invalid; `status` is the HTTP status of the answer. */
export class BadRequestError extends StepError {
	constructor(
		/** JSON path or header name of the invalid field. */
		readonly field: string,
		message: string,
		readonly status = 400
	) {
		super(message, {step: Step.Receive})
	}
}
