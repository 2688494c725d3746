/** Interface through which a gateway keeps the builds of pools on the platform. */
import type {BuildRecord} from "../../policy/streams/index.js"

export abstract class BuildStore {
	/** Latest era of the store that is known. */
	abstract get era(): number

	/**
	 * The records of all pools, by pool; a pool without one has none on the platform.
	 * Rejects on failure.
	 */
	abstract readAll(): Promise<Map<string, BuildRecord>>

	/**
	 * Replaces the record if its revision is `expected`; 0 creates it if it is absent.
	 * Resolves to undefined on a conflict, and rejects if it is not known whether the
	 * write was carried out.
	 */
	abstract write(
		pool: string,
		builds: readonly string[],
		expected: number
	): Promise<BuildRecord | undefined>
}
