/**
 * Log lines about the start and the end of a process. Exit codes alone don't tell
 * why a process ended, and standard error may not be kept.
 */
import {messageOf} from "../utils/common.js"
import {ExitCode} from "./exitCode.js"
import {printError} from "./logOutput.js"

export type LogEvent = (event: string, fields: Record<string, unknown>) => void

export enum EndReason {
	/** SIGTERM or SIGINT. */
	Signal = "signal",
	/** An operator had the host drained. */
	Order = "order",
	/** A newer process has the endpoints of this one. */
	Fenced = "fenced",
	SettingsInvalid = "settingsInvalid",
	/** Something that the process needs could not be had, such as a port. */
	StartFailed = "startFailed",
	StopFailed = "stopFailed",
	/** An exception that nothing caught, before the start had finished. */
	Fault = "fault",
	/** Nothing in the process asked for its end. */
	Unknown = "unknown"
}

export interface ProcessEnd {
	code: ExitCode
	reason: EndReason
	signal?: NodeJS.Signals
	/** What was thrown. */
	err?: unknown
}

let end: ProcessEnd | undefined

let logEvent: LogEvent | undefined

/** Logs the start of this process now, and its end when it ends by itself. */
export function logLife(version: string, log: LogEvent): void {
	const {pid, arch} = process
	log("process.starting", {pid, version, node: process.version, arch})
	logEnd(log)
}

/** Logs the end of this process when it ends by itself, to the last log given. */
export function logEnd(log: LogEvent): void {
	if (logEvent === undefined) process.on("exit", describeEnd)
	logEvent = log
}

function describeEnd(code: number): void {
	const {reason = EndReason.Unknown, signal, err} = end ?? {}
	const error = err === undefined ? undefined : messageOf(err)
	logEvent?.("process.ended", {
		pid: process.pid,
		code,
		reason,
		signal,
		error,
		uptimeSeconds: Math.round(process.uptime()),
		rssBytes: process.memoryUsage.rss()
	})
}

/** Ends this process; `logLife` logs why. */
export function endProcess(cause: ProcessEnd): never {
	end = cause
	process.exit(cause.code)
}

/** Ends this process once it has drained, or can't do so in order. */
export async function endAfter(
	drained: Promise<void>,
	cause: ProcessEnd
): Promise<never> {
	try {
		await drained
	} catch (err) {
		printError(`drain: ${messageOf(err)}`)
		const reason = EndReason.StopFailed
		endProcess({...cause, code: ExitCode.StopFailed, reason, err})
	}
	endProcess(cause)
}
