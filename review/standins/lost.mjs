/** The check of the rule LOST on requests of kept connections. */
export const allowedCuts = 3

/**
 * Requests of kept connections that a sound worker ran and whose connection ended
 * without any byte of an answer. `arrivals` holds the worker by request.
 */
export function findCuts(results, arrivals, isSound) {
	return results.filter(({id, status, hasBegun, isKept, reason}) => {
		const worker = arrivals.get(id)
		const isCut = status === 0 && !hasBegun && reason !== "deadline"
		return isCut && isKept && worker !== undefined && isSound(worker)
	})
}

export function logCuts(deployment, cuts, arrivals) {
	for (const {id, method, path} of cuts)
		deployment.log(`LOST ${method} ${path} ${id}, run by ${arrivals.get(id)}`)
}
