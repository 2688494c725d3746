/** Interface through which an agent keeps leases on the platform. */
import type {
	LeaseRecord,
	LeaseValue,
	LeaseWritten
} from "../policy/limits/index.js"

export abstract class LeaseStore {
	/** The record of that name; undefined if there is none. Rejects on failure. */
	abstract read(name: string): Promise<LeaseRecord | undefined>

	/**
	 * Replaces the record if its revision is `expected`; 0 creates it if it is absent.
	 * Resolves to undefined on a conflict, and rejects if it is not known whether the
	 * write was carried out.
	 */
	abstract write(
		name: string,
		value: LeaseValue,
		expected: number
	): Promise<LeaseWritten | undefined>
}
