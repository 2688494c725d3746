/**
 * Last resort for exceptions and rejections that nothing caught: a fault in the
 * callback of one request must not end all others.
 */
import {ExitCode} from "./exitCode.js"
import {printError} from "./logOutput.js"
import {EndReason, endProcess} from "./processLife.js"

export type ReportFault = (where: string, err: unknown) => void

let hasStarted = false

/** Ends this process at a fault until it serves, and reports faults from then on. */
export function outliveFaults(report: ReportFault): void {
	process.on("uncaughtException", (err: unknown, origin) => {
		if (hasStarted) {
			report(origin, err)
			return
		}
		printError(err instanceof Error ? (err.stack ?? err.message) : String(err))
		endProcess({code: ExitCode.Fault, reason: EndReason.Fault, err})
	})
}

/** Must be called once the process serves. */
export function markStarted(): void {
	hasStarted = true
}
