/** Faults of configuration files, each with the place it was found at. */
import {Step, StepError} from "../errors.js"

/** One fault in an operator's file. */
export interface ConfigFault {
	file: string
	/** Counted from 1. */
	line: number
	/** Such as `pools[1].slots`; empty for the file as a whole. */
	path: string
	reason: string
}

/** The files are refused as a whole; carries every fault. */
export class ConfigError extends StepError {
	readonly faults: readonly ConfigFault[]

	constructor(faults: readonly ConfigFault[]) {
		super(faults.map(formatFault).join("\n"), {step: Step.ParseConfig})
		this.faults = faults
	}
}

/** One line of text, in the form that editors jump to. */
export function formatFault({file, line, path, reason}: ConfigFault): string {
	const place = path === "" ? "" : `${path}: `
	return `${file}:${line}: ${place}${reason}`
}
