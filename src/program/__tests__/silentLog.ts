import {Writable} from "node:stream"
import winston from "winston"
import {DecisionLog} from "../decisionLog.js"

/** Creates a log that discards its lines. */
export function createSilentLog(): DecisionLog {
	const stream = new Writable({
		write: (_chunk, _encoding, done) => {
			done()
		}
	})
	const transport = new winston.transports.Stream({stream})
	// eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
	return new DecisionLog({role: "test", host: "h", transport})
}
