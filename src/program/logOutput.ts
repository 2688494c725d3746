/**
 * Where the log lines of a process go. A log whose reader is slow or gone must not
 * hold up, fill or end the process: lines above a bound of what waits are dropped
 * and counted, and so are lines that can't be written.
 */
import {writeSync} from "node:fs"
import {Socket} from "node:net"
import type {Writable} from "node:stream"

export interface LogOutputOptions {
	/** Bytes that may wait for the reader. */
	maxWaitingBytes?: number
}

/**
 * Over 3000 lines: a reader that starts anew within seconds misses none, and the
 * smallest process, of 120 MB, has room for that.
 */
const defaultMaxWaitingBytes = 1_048_576

export abstract class LogOutput {
	private dropped = 0

	/** Bytes that were logged and that nobody has read yet. */
	abstract get waitingBytes(): number

	/**
	 * Writes a line or drops it; never throws. A line after dropped ones is preceded
	 * by that which `describeDropped` returns for their number.
	 */
	write(line: string, describeDropped: (lines: number) => string): void {
		const {dropped} = this
		const note = dropped === 0 ? "" : `${describeDropped(dropped)}\n`
		const text = Buffer.from(`${note}${line}\n`)
		this.dropped = 0
		const drop = (): void => {
			this.dropped += dropped + 1
		}
		try {
			this.send(text, drop)
		} catch {
			drop()
		}
	}

	/** Calls `onFailed`, now or later, or throws if the text can't be written. */
	protected abstract send(text: Buffer, onFailed: () => void): void
}

/** A pipe, socket or terminal. */
export class StreamOutput extends LogOutput {
	private readonly maxWaitingBytes: number

	constructor(
		private readonly stream: Writable,
		{maxWaitingBytes = defaultMaxWaitingBytes}: LogOutputOptions = {}
	) {
		super()
		this.maxWaitingBytes = maxWaitingBytes
		// What is lost is counted for each write.
		stream.on("error", () => undefined)
	}

	override get waitingBytes(): number {
		return this.stream.writableLength
	}

	protected override send(text: Buffer, onFailed: () => void): void {
		if (this.waitingBytes + text.length > this.maxWaitingBytes) {
			onFailed()
			return
		}
		this.stream.write(text, err => {
			if (err != null) onFailed()
		})
	}
}

/**
 * A file or device. It is written synchronously, so that the last lines before a
 * process is killed are there, and not through the stream of Node.js, which writes
 * nothing any more once a write has failed, as on a full disk.
 */
export class FileOutput extends LogOutput {
	readonly waitingBytes = 0
	/** Whether the last line was written in part. */
	private isCut = false

	constructor(private readonly fd: number) {
		super()
	}

	protected override send(text: Buffer): void {
		let rest = this.isCut ? Buffer.concat([Buffer.from("\n"), text]) : text
		while (rest.length > 0) {
			const written = writeSync(this.fd, rest)
			rest = rest.subarray(written)
			if (written > 0) this.isCut = rest.length > 0
		}
	}
}

const outputs = new Map<number, LogOutput>()

/** The log output on standard output, one for the process. */
export function getStandardOutput(): LogOutput {
	return getOutput(1, () => process.stdout)
}

/** The log output on standard error, one for the process. */
export function getStandardError(): LogOutput {
	return getOutput(2, () => process.stderr)
}

/** Prints a line on standard error, for errors of a start; never throws. */
export function printError(line: string): void {
	getStandardError().write(line, lines => `${lines} lines were dropped`)
}

/**
 * Lets a program that prints a result do its work and end with the exit code of that
 * when the reader has left, as `head` does.
 */
export function outliveReaders(): void {
	for (const stream of [process.stdout, process.stderr])
		stream.on("error", () => undefined)
}

function getOutput(fd: number, getStream: () => Writable): LogOutput {
	const known = outputs.get(fd)
	if (known !== undefined) return known
	const stream = getStream()
	const output =
		stream instanceof Socket ? new StreamOutput(stream) : new FileOutput(fd)
	outputs.set(fd, output)
	return output
}
