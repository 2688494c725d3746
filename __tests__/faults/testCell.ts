import {test} from "vitest"
import type {CellName} from "./cells.js"

/** Declares the test of a cell of the fault matrix, under the cell's name. */
export function testCell(name: CellName, run: () => Promise<void>): void {
	test(name, run)
}
