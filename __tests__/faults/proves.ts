/** Ties a test to the cell of the fault matrix that it proves. */
import {test} from "vitest"
import type {CellName} from "./cells.js"

/** Declares the test that proves a cell. */
export function proves(name: CellName, run: () => Promise<void>): void {
	test(name, run)
}
