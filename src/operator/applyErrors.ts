/** Errors of an apply; the configuration in force is unchanged after each. */
import type {ConfigChange} from "../contract/config/index.js"
import {Step, StepError} from "../contract/errors.js"

/** A version's source would change in place. */
export class ImmutableVersionError extends StepError {
	constructor(readonly changes: readonly ConfigChange[]) {
		const names = changes.map(({name}) => name).join(", ")
		const message = `the source of existing adapter versions would change: ${names}; add new versions instead`
		super(message, {step: Step.WriteParts})
	}
}

/** The platform failed before the root was written: nothing has changed. */
export class NotAppliedError extends StepError {}
