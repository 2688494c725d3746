/** Thrown when a request's path exists but does not support its method. */
import {BadRequestError} from "../contract/errors.js"

const methodNotAllowed = 405

export class MethodError extends BadRequestError {
	constructor(
		method: string,
		path: string,
		/** Methods that the path supports, for the `allow` header. */
		readonly allowed: readonly string[]
	) {
		const reason = `${path} takes ${allowed.join(", ")}, not ${method}`
		super("method", reason, methodNotAllowed)
	}
}
