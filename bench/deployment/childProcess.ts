/** One child process of a bench or test, controlled by its pid. */
import {type ChildProcess as NodeChild, spawn} from "node:child_process"
import {once} from "node:events"
import {closeSync, existsSync, fstatSync, openSync, readFileSync} from "node:fs"

export interface ChildOptions {
	name: string
	/** Path of the JavaScript file. */
	program: string
	args?: string[]
	env?: Record<string, string>
	/** File to which all starts append their standard output; dropped by default. */
	logPath?: string | undefined
}

/** How a process ended: `signal` is null when it exited by itself. */
export interface ChildExit {
	code: number | null
	signal: NodeJS.Signals | null
}

/** How a process ended that nobody had asked to end, and what it had logged. */
export interface UnaskedEnd extends ChildExit {
	/** Its standard output; empty if that was dropped. */
	output: string
}

const maxStderrChars = 64_000
const msPerTick = 10

export class ChildProcess {
	readonly name: string
	/** How processes ended that nobody had asked to end. */
	readonly unaskedEnds: UnaskedEnd[] = []
	private readonly options: ChildOptions
	private child: NodeChild | undefined
	private exit: Promise<ChildExit> = Promise.resolve({code: 0, signal: null})
	private text = ""
	/** The last process that was asked to end. */
	private asked: NodeChild | undefined
	/** CPU time of the processes that ended before the current one. */
	private endedCpuMs = 0

	constructor(options: ChildOptions) {
		this.name = options.name
		this.options = options
	}

	get isRunning(): boolean {
		const {child} = this
		return child?.exitCode === null && child.signalCode === null
	}

	get pid(): number {
		return this.child?.pid ?? 0
	}

	/** The last part of what all starts of this process wrote to stderr. */
	get stderr(): string {
		return this.text
	}

	/** Resolves when the current process has ended. */
	get exited(): Promise<ChildExit> {
		return this.exit
	}

	start(): void {
		if (this.isRunning) throw new Error(`${this.name} is running already`)
		const {program, args = [], env = {}, logPath} = this.options
		const log = logPath === undefined ? undefined : openSync(logPath, "a")
		const child = spawn(process.execPath, [program, ...args], {
			env: {...process.env, ...env},
			stdio: ["ignore", log ?? "ignore", "pipe"]
		})
		const logStart = log === undefined ? 0 : fstatSync(log).size
		if (log !== undefined) closeSync(log)
		this.child = child
		this.exit = once(child, "exit").then(([code, signal]) => ({
			code: code as number | null,
			signal: signal as NodeJS.Signals | null
		}))
		child.stderr?.setEncoding("utf8")
		child.stderr?.on("data", (text: string) => {
			this.text = (this.text + text).slice(-maxStderrChars)
		})
		running.add(this)
		void this.exit.then(exit => {
			running.delete(this)
			if (this.asked === child) return
			const hasLog = logPath !== undefined && existsSync(logPath)
			const output = hasLog
				? readFileSync(logPath).subarray(logStart).toString()
				: ""
			this.unaskedEnds.push({...exit, output})
		})
	}

	/** Ends the process at once and waits until it is gone. */
	async kill(): Promise<ChildExit> {
		return this.endWith("SIGKILL")
	}

	/** Asks for a graceful shutdown and waits until the process is gone. */
	async terminate(): Promise<ChildExit> {
		return this.endWith("SIGTERM")
	}

	freeze(): void {
		this.signal("SIGSTOP")
	}

	thaw(): void {
		this.signal("SIGCONT")
	}

	/** Kills the process when it runs, then starts it again. */
	async restart(): Promise<void> {
		if (this.isRunning) await this.kill()
		this.start()
	}

	/** CPU time of all starts, in milliseconds. */
	readCpuMs(): number {
		return this.endedCpuMs + this.readCurrentCpuMs()
	}

	signal(signal: NodeJS.Signals): void {
		if (this.isRunning) this.child?.kill(signal)
	}

	private async endWith(signal: NodeJS.Signals): Promise<ChildExit> {
		if (this.isRunning) {
			this.endedCpuMs += this.readCurrentCpuMs()
			this.asked = this.child
		}
		this.signal(signal)
		return this.exit
	}

	private readCurrentCpuMs(): number {
		if (!this.isRunning) return 0
		try {
			const stat = readFileSync(`/proc/${this.pid}/stat`, "utf8")
			// The name, in parentheses, may hold spaces.
			const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ")
			return (Number(fields[11]) + Number(fields[12])) * msPerTick
		} catch {
			return 0
		}
	}
}

const running = new Set<ChildProcess>()

/** Ends the program, and with it all child processes, on SIGINT or SIGTERM. */
export function exitOnSignal(): void {
	for (const signal of ["SIGINT", "SIGTERM"] as const) {
		process.once(signal, () => process.exit(1))
	}
}

function killRunning(): void {
	for (const child of running) child.signal("SIGKILL")
}

process.once("exit", killRunning)
// Without a listener, as in a worker of vitest, SIGTERM ends a process at once.
process.once("SIGTERM", () => {
	killRunning()
	process.kill(process.pid, "SIGTERM")
})
