/** A path that exists was called with a method that it does not take. */
import {BadRequestError} from "../contract/errors.js"

const methodNotAllowed = 405

export class MethodError extends BadRequestError {
	constructor(
		method: string,
		path: string,
		/** Methods that the path takes. */
		readonly allowed: readonly string[]
	) {
		const reason = `${path} takes ${allowed.join(", ")}, not ${method}`
		super("method", reason, methodNotAllowed)
	}
}
