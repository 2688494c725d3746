/** Errors of an apply that did not change the accepted configuration. */
import type {ConfigChange} from "../contract/config/index.js"
import {Step, StepError} from "../contract/errors.js"

/** The apply would change the source of existing adapter versions. */
export class ImmutableVersionError extends StepError {
	constructor(readonly changes: readonly ConfigChange[]) {
		const names = changes.map(({name}) => name).join(", ")
		const message = `the source of existing adapter versions can't change: ${names}; add new versions instead`
		super(message, {step: Step.WriteParts})
	}
}

/** The apply failed, and its root was not written. */
export class NotAppliedError extends StepError {}
