/**
 * Counters of one process: kept in memory for status calls, and sent to a
 * statsd address when one is set.
 */
import {StatsD} from "hot-shots"

export interface CountersOptions {
	/** `ip:port` of a statsd server; empty for none. */
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
				this.bump("statsd.errors")
			}
		})
	}

	/** Adds `by` to the counter `name`. */
	add(name: string, by = 1): void {
		this.bump(name, by)
		this.client.increment(name, by)
	}

	/** Records the current value of a gauge. */
	set(name: string, value: number): void {
		this.values.set(name, value)
		this.client.gauge(name, value)
	}

	/** Records a duration in milliseconds; kept as a sum and a count. */
	time(name: string, ms: number): void {
		this.bump(`${name}.sum_ms`, ms)
		this.bump(`${name}.count`)
		this.client.timing(name, ms)
	}

	get(name: string): number {
		return this.values.get(name) ?? 0
	}

	/** All values by name. */
	snapshot(): Record<string, number> {
		return Object.fromEntries(this.values)
	}

	close(): void {
		this.client.close()
	}

	private bump(name: string, by = 1): void {
		this.values.set(name, (this.values.get(name) ?? 0) + by)
	}
}
