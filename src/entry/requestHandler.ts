/** The handlers of callers' requests that `CallerServer` calls. */
import type {RequestHandlerOptions} from "./callerHandler.js"
import {GenerationHandler} from "./generationHandler.js"
import {ServiceHandler} from "./serviceHandler.js"

export class RequestHandler {
	readonly generations: GenerationHandler
	readonly services: ServiceHandler

	constructor(options: RequestHandlerOptions) {
		this.generations = new GenerationHandler(options)
		this.services = new ServiceHandler(options)
	}
}
