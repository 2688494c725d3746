/**
 * Runs a daemon from its command line: parses flags and settings, prints help
 * and version, and shuts down gracefully. All programs share the exit codes.
 */
import {cac} from "cac"
import {SettingsError} from "../contract/errors.js"
import {messageOf} from "../utils/common.js"
import {ExitCode} from "./exitCode.js"
import {restoreFlagText} from "./flagText.js"
import {markStarted, outliveFaults} from "./lastResort.js"
import {type Log, logFault} from "./log.js"
import {printError} from "./logOutput.js"
import {MemoryWatch} from "./memoryWatch.js"
import {
	endAfter,
	EndReason,
	endProcess,
	type LogEvent,
	logLife
} from "./processLife.js"
import {
	formatFlagName,
	readSettings,
	type SettingSpecs,
	type SettingsOf,
	formatVariableName
} from "./settings.js"

export const programVersion = "0.1.0"

/** A running daemon. */
export interface RunningService {
	/**
	 * Stops accepting work; resolves when all running work has ended or the drain
	 * timeout has passed.
	 */
	drain(): Promise<void>
	/** Bytes that the process counts as held for others. */
	getBufferedBytes?(): number
}

export interface DaemonOptions<S extends SettingSpecs> {
	name: string
	description: string
	/** A valid command line, shown in help. */
	example: string
	specs: S
	/** Log of the start and the end of the process. */
	createLog?(settings: SettingsOf<S>): Log
	start(settings: SettingsOf<S>): Promise<RunningService>
}

/** Parses the command line and runs a daemon until SIGTERM or SIGINT. */
export async function runDaemon<S extends SettingSpecs>(
	options: DaemonOptions<S>
): Promise<void> {
	const flags = parseFlags(options)
	if (flags === undefined) return
	let settings: SettingsOf<S>
	try {
		settings = readSettings(options.specs, flags, process.env)
	} catch (err) {
		exitOnFault(options.name, err)
	}
	const stopEnding = endOnSignal()
	const log = options.createLog?.(settings)
	if (log !== undefined) {
		const logEvent: LogEvent = (event, fields) => log.info(event, fields)
		logLife(programVersion, logEvent)
		outliveFaults((where, err) => {
			logFault(log, where, err)
		})
		new MemoryWatch({log: logEvent}).start()
	}
	try {
		const service = await options.start(settings)
		drainOnSignal(service)
		stopEnding()
		markStarted()
	} catch (err) {
		endFailedStart(options.name, err)
	}
}

/**
 * Ends a process whose start threw. `start` reads files and checks combinations of
 * settings, so that may be a SettingsError too.
 */
export function endFailedStart(name: string, err: unknown): never {
	if (err instanceof SettingsError) exitOnFault(name, err)
	printError(`${name}: ${messageOf(err)}`)
	endProcess({code: ExitCode.Failed, reason: EndReason.StartFailed, err})
}

function parseFlags<S extends SettingSpecs>(
	options: DaemonOptions<S>
): Record<string, unknown> | undefined {
	const cli = cac(options.name)
	const command = cli.command("", options.description)
	for (const [key, spec] of Object.entries(options.specs)) {
		const value = spec.placeholder ?? "value"
		const text = `${spec.description} (${formatVariableName(key)})`
		command.option(`--${formatFlagName(key)} <${value}>`, text)
	}
	command.example(options.example)
	cli.help()
	cli.version(programVersion)
	try {
		const {argv} = process
		const {options: parsed} = cli.parse(argv, {run: false})
		const flags = restoreFlagText(parsed, argv)
		if (flags.help === true || flags.version === true) return undefined
		if (cli.args.length > 0) {
			throw new SettingsError([`unexpected argument ${String(cli.args[0])}`])
		}
		return flags
	} catch (err) {
		exitOnFault(options.name, err)
	}
}

/** Prints every fault and exits with the usage code. */
export function exitOnFault(name: string, err: unknown): never {
	const faults = err instanceof SettingsError ? err.faults : [messageOf(err)]
	for (const fault of faults) printError(`${name}: ${fault}`)
	const reason = EndReason.SettingsInvalid
	endProcess({code: ExitCode.Usage, reason, err})
}

/**
 * Until the returned function is called, a signal to end does so at once: a process
 * that has not started holds nothing.
 */
export function endOnSignal(): () => void {
	const end = (signal: NodeJS.Signals): void => {
		endProcess({code: ExitCode.Ok, reason: EndReason.Signal, signal})
	}
	process.on("SIGTERM", end)
	process.on("SIGINT", end)
	return () => {
		process.off("SIGTERM", end)
		process.off("SIGINT", end)
	}
}

/** Rejects also where the drain throws at once. */
async function drainAsync(service: RunningService): Promise<void> {
	await service.drain()
}

/** On the first SIGTERM or SIGINT, drains the service and exits. */
export function drainOnSignal(service: RunningService): void {
	let isDraining = false
	const drain = (signal: NodeJS.Signals): void => {
		if (isDraining) return
		isDraining = true
		const reason = EndReason.Signal
		void endAfter(drainAsync(service), {code: ExitCode.Ok, reason, signal})
	}
	process.on("SIGTERM", drain)
	process.on("SIGINT", drain)
}
