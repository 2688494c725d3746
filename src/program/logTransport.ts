/** Hands the lines of a winston logger to a log output. */
import {Writable} from "node:stream"
import winston from "winston"
import type {LogOutput} from "./logOutput.js"

/** Returns a transport; `source` says in lines about dropped lines whose they are. */
export function createLogTransport(
	output: LogOutput,
	source: Readonly<Record<string, string>>
): winston.transport {
	const describeDropped = (lines: number): string =>
		JSON.stringify({
			...source,
			level: "warn",
			lines,
			message: "log.dropped",
			timestamp: new Date().toISOString()
		})
	const stream = new Writable({
		decodeStrings: false,
		write: (line: string, _encoding, done) => {
			output.write(line, describeDropped)
			done()
		}
	})
	// winston's declarations of transports disagree.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
	return new winston.transports.Stream({stream, eol: ""})
}
