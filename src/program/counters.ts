/**
 * Counters and gauges of one process. They are kept in memory for status calls
 * and, if an address is set, sent to a StatsD server.
 */
import {StatsD} from "hot-shots"

export interface CountersOptions {
	/** `ip:port` of a StatsD server; empty for none. */
	statsd?: string
	role: string
	hostId: string
}

const defaultStatsdPort = 8125

export class Counters {
	private readonly values = new Map<string, number>()
	private readonly client: StatsD

	constructor({statsd = "", role, hostId}: CountersOptions) {
		const [host = "127.0.0.1", port] = statsd.split(":")
		this.client = new StatsD({
			host,
			port: port === undefined ? defaultStatsdPort : Number(port),
			prefix: "goldcrestloom.",
			globalTags: {role, host: hostId},
			mock: statsd === "",
			errorHandler: () => {
				this.addToValue("statsd.errors")
			}
		})
	}

	/** Adds `by` to a counter. */
	add(name: string, by = 1): void {
		this.addToValue(name, by)
		this.client.increment(name, by)
	}

	/** Sets the value of a gauge. */
	set(name: string, value: number): void {
		this.values.set(name, value)
		this.client.gauge(name, value)
	}

	/** Records a duration, as a sum (`NAME.sum_ms`) and a count (`NAME.count`). */
	time(name: string, ms: number): void {
		this.addToValue(`${name}.sum_ms`, ms)
		this.addToValue(`${name}.count`)
		this.client.timing(name, ms)
	}

	get(name: string): number {
		return this.values.get(name) ?? 0
	}

	/** Returns all values by name. */
	snapshot(): Record<string, number> {
		return Object.fromEntries(this.values)
	}

	close(): void {
		this.client.close()
	}

	private addToValue(name: string, by = 1): void {
		this.values.set(name, (this.values.get(name) ?? 0) + by)
	}
}
