/** Validation errors of configuration files, with file, line and field. */
import {Step, StepError} from "../errors.js"

/** One validation error in an operator's file. */
export interface ConfigFault {
	file: string
	/** 1-based line number. */
	line: number
	/** Field, such as `pools[1].slots`; empty when the whole file is meant. */
	path: string
	reason: string
}

/** The configuration is rejected; lists the faults of all files. */
export class ConfigError extends StepError {
	readonly faults: readonly ConfigFault[]

	constructor(faults: readonly ConfigFault[]) {
		super(faults.map(formatFault).join("\n"), {step: Step.ParseConfig})
		this.faults = faults
	}
}

/** Formats a fault as `file:line: path: reason`, which editors turn into a link. */
export function formatFault({file, line, path, reason}: ConfigFault): string {
	const location = path === "" ? "" : `${path}: `
	return `${file}:${line}: ${location}${reason}`
}
