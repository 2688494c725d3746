/**
 * Log of entry and endpoint processes, as JSON lines on standard error. Single
 * requests are logged at `debug` only; the levels above are for state changes.
 */
import winston from "winston"
import {faultEvent, FaultRate} from "./faultRate.js"
import {getStandardError} from "./logOutput.js"
import {createLogTransport} from "./logTransport.js"

export type Log = winston.Logger

export interface LogOptions {
	role: string
	hostId: string
	level?: string
}

/** Creates the logger of one process. */
export function createLog({role, hostId, level = "info"}: LogOptions): Log {
	return winston.createLogger({
		level,
		defaultMeta: {role, hostId},
		format: winston.format.combine(
			winston.format.timestamp(),
			winston.format.json()
		),
		transports: [createLogTransport(getStandardError(), {role, hostId})]
	})
}

const faults = new FaultRate(() => performance.now())

/** Logs an exception that ended only what it was in; see `DecisionLog.fault`. */
export function logFault(log: Log, where: string, err: unknown): void {
	const fields = faults.admit(where, err)
	if (fields !== undefined) log.error(faultEvent, fields)
}
